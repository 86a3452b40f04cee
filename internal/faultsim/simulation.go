package faultsim

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/weldline/weldline/internal/virtualtime"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	controlCount  = 4
	voterCount    = 3
	operatorCount = 3

	electionTimeout   = 500 * time.Millisecond
	heartbeatInterval = 50 * time.Millisecond
	leaseMargin       = 50 * time.Millisecond
	replaceAfter      = 2 * time.Second
	machineTimeout    = 3 * time.Second
	compactEvery      = 40

	// Faults start once the cluster is up and have all healed by faultsEnd. The cluster must converge
	// by simulationEnd.
	faultsBegin   = 4 * time.Second
	faultsEnd     = 18 * time.Second
	trafficEnd    = 20 * time.Second
	simulationEnd = 42 * time.Second
)

// Mutation disables one rule of the system, to show that a check detects it.
type Mutation string

// The mutations.
const (
	MutationNone Mutation = ""
	// MutationNoSync: disks lose the newest records in a crash.
	MutationNoSync Mutation = "no-sync"
	// MutationNoFence: engines accept orders with stale fencing tokens.
	MutationNoFence Mutation = "no-fence"
	// MutationStaleRead: reads are served without a lease.
	MutationStaleRead Mutation = "stale-read"
	// MutationLongLease: leaders overestimate the duration of their lease.
	MutationLongLease Mutation = "long-lease"
	// MutationEarlyNotRun: routers report "not run" before the claim is closed, and then send the
	// request.
	MutationEarlyNotRun Mutation = "early-not-run"
	// MutationRevert: watchers apply changes older than their revision.
	MutationRevert Mutation = "revert"
	// MutationEarlyFree: a reservation is freed when the unload is decided, not when the engine
	// confirms it.
	MutationEarlyFree Mutation = "early-free"
	// MutationTrustDigest: a digest counts as proof that its server is up to date, and a control node
	// that is isolated from the leader serves polls.
	MutationTrustDigest Mutation = "digest-vouches"
	// MutationUnsharedCrashes: routers do not record engine crashes in the log.
	MutationUnsharedCrashes Mutation = "crashes-not-shared"
	// MutationIgnorePromptParts: routers do not record prompt parts.
	MutationIgnorePromptParts Mutation = "prompt-parts-ignored"
	// MutationKeepPartSuspicion: neither completed requests nor other parts exonerate a prompt part.
	MutationKeepPartSuspicion Mutation = "prompt-parts-never-cleared"
	// MutationForgetQuarantine: a new leader deletes the quarantines of the previous one.
	MutationForgetQuarantine Mutation = "conviction-forgotten-by-new-leader"
	// MutationResetCountsAsCrash: a connection reset counts as an engine crash.
	MutationResetCountsAsCrash Mutation = "reset-counts-as-crash"
	// MutationMonotonicLease: leases are measured by a clock that stops while the machine is
	// suspended.
	MutationMonotonicLease Mutation = "lease-on-steady-clock"
	// MutationLateDrains: delayed drain orders are accepted and written without a revision check.
	MutationLateDrains Mutation = "late-drains"
	// MutationIgnoreBackoff: routers keep sending to engines that requested a backoff.
	MutationIgnoreBackoff Mutation = "rests-ignored"
	// MutationIgnoreLimits: routers do not request permits.
	MutationIgnoreLimits Mutation = "limits-ignored"
	// MutationLiveRouters: routers divide the slack of the retry budget by the routers that the leader has heard of lately.
	MutationLiveRouters Mutation = "live-routers"
	// MutationKeepRequests: routers without paths to engines forward no requests.
	MutationKeepRequests Mutation = "nothing-forwarded"
	// MutationOwnZoneOnly: routers learn of other routers in their own zone only.
	MutationOwnZoneOnly Mutation = "routers-of-own-zone"
)

// Mutations lists all mutations but MutationNone. None makes a node forget its vote: with pre-votes that
// has an effect only with two simultaneous candidates, which the tests of package raft cover.
var Mutations = []Mutation{
	MutationNoSync, MutationNoFence, MutationStaleRead, MutationLongLease,
	MutationEarlyNotRun, MutationRevert, MutationEarlyFree, MutationTrustDigest,
	MutationUnsharedCrashes, MutationForgetQuarantine, MutationResetCountsAsCrash, MutationIgnorePromptParts, MutationKeepPartSuspicion, MutationMonotonicLease,
	MutationLateDrains, MutationIgnoreBackoff, MutationIgnoreLimits, MutationKeepRequests, MutationOwnZoneOnly,
	MutationLiveRouters,
}

// simulation is one simulated cluster.
type simulation struct {
	shape Shape
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
	// drainer is nil until the first drain.
	drainer  *drainer
	ledger   *ledger
	list     machineList
	store    weightStore
	register *register

	faults map[string]int
	// crashOnVote makes every node that grants a vote crash and restart.
	crashOnVote bool
	// hasPoison is set if the schedule has poison requests: broken connections are then reported to
	// routers, and clients retry.
	hasPoison bool
	// hasPoisonPart is set if the schedule has requests with a harmful prompt part: all requests then have
	// prompt parts.
	hasPoisonPart bool
	// hasDrains enables stall detection on control nodes.
	hasDrains                   bool
	inferenceCount, poisonCount int
	orderDelay                  time.Duration
}

var zones = []string{"zone-a", "zone-b", "zone-c", "zone-d"}

func newSimulation(schedule Schedule) *simulation {
	s := &simulation{
		seed: schedule.Seed, mutation: schedule.Mutation, shape: schedule.Shape.orDefault(), random: rand.New(rand.NewPCG(schedule.Seed, 1)),
		faults: map[string]int{}, network: network{late: baseLateRate, cutZones: map[[2]string]bool{}},
	}
	s.checks = newChecks(s)
	s.hasPoisonPart = schedule.has(FaultCrashingPart)
	s.hasPoison = s.hasPoisonPart || schedule.has(FaultCrashingRequest)
	s.hasDrains = schedule.has(FaultDrainZone)
	s.register = &register{sim: s}
	s.ledger = newLedger(s)
	s.store = weightStore{slowdown: 1}
	for position := range controlCount {
		s.controls = append(s.controls, s.newControlNode(uint64(position+1), zones[position%len(zones)]))
	}
	for position := range s.shape.Machines {
		s.machines = append(s.machines, s.newMachine(position, zones[position%len(zones)]))
	}
	for position := range s.shape.Routers {
		s.routers = append(s.routers, s.newRouterNode(position, zones[position%len(zones)]))
	}
	s.list.begin(s)
	for _, control := range s.controls {
		control.start(bootstrap())
	}
	for _, router := range s.routers {
		router.start()
	}
	s.startOperators()
	s.startTraffic()
	s.observe()
	return s
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

// observe runs the cluster-wide checks periodically.
func (s *simulation) observe() {
	const interval = 10 * time.Millisecond
	s.After(interval, func() {
		s.checks.checkCluster()
		s.observe()
	})
}

func (s *simulation) control(id uint64) *controlNode {
	if id == 0 || id > uint64(len(s.controls)) {
		return nil
	}
	return s.controls[id-1]
}

// leader returns the control node that holds a lease in the highest term, or nil.
func (s *simulation) leader() *controlNode {
	var best *controlNode
	for _, candidate := range s.controls {
		if candidate.holdsLease() && (best == nil || candidate.term() > best.term()) {
			best = candidate
		}
	}
	return best
}

func (s *simulation) randomDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(s.random.Int64N(int64(longest-shortest)+1))
}

func numbered(prefix string, number int) string {
	return prefix + "-" + strconv.Itoa(number)
}
