package faultsim

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/weldline/weldline/internal/virtualtime"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// The shape of the simulated cluster: small, so that everything meets.
const (
	controlCount  = 4
	voterCount    = 3
	routerCount   = 4
	machineCount  = 5
	modelCount    = 5
	operatorCount = 3

	electionTimeout   = 500 * time.Millisecond
	heartbeatInterval = 50 * time.Millisecond
	leaseMargin       = 50 * time.Millisecond
	replaceAfter      = 2 * time.Second
	machineTimeout    = 3 * time.Second
	compactEvery      = 40

	// Faults begin after the cluster is up and end with faultsEnd; everything
	// heals then, and has until simulationEnd to converge.
	faultsBegin   = 4 * time.Second
	faultsEnd     = 18 * time.Second
	trafficEnd    = 20 * time.Second
	simulationEnd = 42 * time.Second
)

// Mutation breaks one rule of the system, to show that a check notices.
type Mutation string

// The mutations.
const (
	MutationNone Mutation = ""
	// MutationNoSync: disks lose the newest records at a crash.
	MutationNoSync Mutation = "no-sync"
	// MutationNoFence: engines take any order.
	MutationNoFence Mutation = "no-fence"
	// MutationStaleRead: reads are answered without a lease.
	MutationStaleRead Mutation = "stale-read"
	// MutationLongLease: leaders believe their lease to last thrice as long.
	MutationLongLease Mutation = "long-lease"
	// MutationEarlyNotRun: routers say "not run" before the claim is closed
	// and go on to send.
	MutationEarlyNotRun Mutation = "early-not-run"
	// MutationRevert: watchers apply whatever comes.
	MutationRevert Mutation = "revert"
	// MutationEarlyFree: a reservation is freed when the unload is decided,
	// not when the engine confirms it.
	MutationEarlyFree Mutation = "early-free"
	// MutationTrustDigest: a digest is taken for proof that its server is up to date, and a
	// control node serves although the leader does not hear it.
	MutationTrustDigest Mutation = "digest-vouches"
	// MutationUnsharedCrashes: routers keep to themselves which engines ended under which
	// requests.
	MutationUnsharedCrashes Mutation = "crashes-not-shared"
	// MutationForgetQuarantine: a new leader begins without the convictions of the last.
	MutationForgetQuarantine Mutation = "conviction-forgotten-by-new-leader"
	// MutationResetCountsAsCrash: a connection that broke is taken for an engine that ended.
	MutationResetCountsAsCrash Mutation = "reset-counts-as-crash"
	// MutationMonotonicLease: leases are measured by a clock that stands still during a sleep.
	MutationMonotonicLease Mutation = "lease-on-steady-clock"
	// MutationLateDrains: orders about zones are taken however old they are, and written whatever
	// came in between.
	MutationLateDrains Mutation = "late-drains"
	// MutationIgnoreBackoff: routers go on sending to engines that asked for a rest.
	MutationIgnoreBackoff Mutation = "rests-ignored"
	// MutationIgnoreLimits: routers ask for no permits.
	MutationIgnoreLimits Mutation = "limits-ignored"
)

// Mutations lists all but MutationNone. A forgotten vote is not among them:
// with pre-votes it takes two candidates at the same instant, which the tables
// of the raft package bring about by hand.
var Mutations = []Mutation{
	MutationNoSync, MutationNoFence, MutationStaleRead, MutationLongLease,
	MutationEarlyNotRun, MutationRevert, MutationEarlyFree, MutationTrustDigest,
	MutationUnsharedCrashes, MutationForgetQuarantine, MutationResetCountsAsCrash, MutationMonotonicLease,
	MutationLateDrains, MutationIgnoreBackoff, MutationIgnoreLimits,
}

// world is one simulated cluster.
type world struct {
	virtualtime.Scheduler
	seed     uint64
	random   *rand.Rand
	mutation Mutation
	network  network
	checks   *checks

	controls  []*controlNode
	routers   []*routerNode
	machines  []*machine
	operators []*operator
	// drainer drains zones; nil until the first is.
	drainer  *drainer
	ledger   *ledger
	list     machineList
	store    weightStore
	register *register

	faults map[string]int
	// crashOnVote makes every node that grants a vote crash and restart.
	crashOnVote bool
	// breaksRuns is set where requests learn that their engine has ended, or that their
	// connection was reset, and their callers come back.
	breaksRuns bool
	// drainsZones is set where control nodes watch for stalls of their own.
	drainsZones bool
	// inferences and culprits count the requests of either sort.
	inferences, culprits int
	// orderDelay holds orders to engines back, as a slow link would.
	orderDelay time.Duration
}

var zones = []string{"zone-a", "zone-b", "zone-c", "zone-d"}

func newWorld(schedule Schedule) *world {
	w := &world{
		seed: schedule.Seed, mutation: schedule.Mutation, random: rand.New(rand.NewPCG(schedule.Seed, 1)),
		faults: map[string]int{}, network: network{late: usuallyLate, cutZones: map[[2]string]bool{}},
	}
	w.checks = newChecks(w)
	w.breaksRuns = schedule.has(FaultCrashingRequest)
	w.drainsZones = schedule.has(FaultDrainZone)
	w.register = &register{world: w}
	w.ledger = newLedger(w)
	w.store = weightStore{slowness: 1}
	for position := range controlCount {
		w.controls = append(w.controls, w.newControlNode(uint64(position+1), zones[position%len(zones)]))
	}
	for position := range machineCount {
		w.machines = append(w.machines, w.newMachine(position, zones[position%len(zones)]))
	}
	for position := range routerCount {
		w.routers = append(w.routers, w.newRouterNode(position, zones[position%len(zones)]))
	}
	w.list.begin(w)
	for _, control := range w.controls {
		control.start(bootstrap())
	}
	for _, router := range w.routers {
		router.start()
	}
	w.startOperators()
	w.startTraffic()
	w.observe()
	return w
}

func bootstrap() *wirepb.Membership {
	membership := &wirepb.Membership{}
	for id := uint64(1); id <= controlCount; id++ {
		if id <= voterCount {
			membership.Voters = append(membership.Voters, id)
		} else {
			membership.Learners = append(membership.Learners, id)
		}
	}
	return membership
}

// observe looks at the whole cluster regularly.
func (w *world) observe() {
	const interval = 10 * time.Millisecond
	w.After(interval, func() {
		w.checks.lookAround()
		w.observe()
	})
}

func (w *world) control(id uint64) *controlNode {
	if id == 0 || id > uint64(len(w.controls)) {
		return nil
	}
	return w.controls[id-1]
}

// leader returns the control node that leads in the highest term, or nil.
func (w *world) leader() *controlNode {
	var best *controlNode
	for _, candidate := range w.controls {
		if candidate.leads() && (best == nil || candidate.term() > best.term()) {
			best = candidate
		}
	}
	return best
}

func (w *world) span(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(w.random.Int64N(int64(longest-shortest)+1))
}

func numbered(prefix string, number int) string {
	return prefix + "-" + strconv.Itoa(number)
}
