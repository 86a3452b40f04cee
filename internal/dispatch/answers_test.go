package dispatch

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

func TestTrafficShare(t *testing.T) {
	tests := []struct {
		name       string
		own, peers ResponseCounts
		min, max   float64
	}{
		{"nothing is known", ResponseCounts{}, ResponseCounts{}, 1, 1},
		{"no errors", ResponseCounts{20, 0}, ResponseCounts{100, 5}, 1, 1},
		{"one error is chance", ResponseCounts{20, 1}, ResponseCounts{100, 1}, 1, 1},
		{"all errors", ResponseCounts{4, 4}, ResponseCounts{100, 1}, 0.04, 0.06},
		{"the first two are errors", ResponseCounts{2, 2}, ResponseCounts{20, 0}, 0.04, 0.06},
		{"20 in 100, few seen", ResponseCounts{10, 2}, ResponseCounts{100, 2}, 0.5, 0.9},
		{"40 in 100, many seen", ResponseCounts{50, 20}, ResponseCounts{200, 4}, 0.1, 0.2},
		{"5 in 100 beside 2", ResponseCounts{40, 2}, ResponseCounts{200, 4}, 1, 1},
		{"as bad as the others", ResponseCounts{50, 7}, ResponseCounts{200, 28}, 1, 1},
		{"40 in 100 where 14 are usual", ResponseCounts{40, 16}, ResponseCounts{200, 28}, 0.2, 0.4},
		{"all are bad", ResponseCounts{20, 20}, ResponseCounts{100, 100}, 1, 1},
	}
	for _, test := range tests {
		if share := test.own.trafficShare(test.peers); share < test.min || share > test.max {
			t.Errorf("%s: got a traffic share of %.3f, want %.2f to %.2f", test.name, share, test.min, test.max)
		}
	}
}

// failingFleet simulates routers and machines with given error rates. Requests end immediately;
// response counts are distributed every digestInterval.
type failingFleet struct {
	now        time.Time
	random     *rand.Rand
	routers    []*Scheduler
	errorRates []float64
	counts     map[string]ResponseCounts
	nextID     uint64
}

const digestInterval = 500 * time.Millisecond

func newFailingFleet(routers int, errorRates ...float64) *failingFleet {
	fleet := &failingFleet{now: time.Unix(0, 0), random: rand.New(rand.NewPCG(7, uint64(routers))), errorRates: errorRates, counts: map[string]ResponseCounts{}}
	var targets []Target
	for position := range errorRates {
		name := strconv.Itoa(position)
		targets = append(targets, Target{Replica: name, Version: "v", Machine: name, MaxConcurrent: 100})
	}
	for position := range routers {
		scheduler := New(Config{MaxWaiting: 10, SharedSlots: true, LeastWork: true, Seed: uint64(position) << 32})
		scheduler.SetTargets(fleet.now, targets)
		fleet.routers = append(fleet.routers, scheduler)
	}
	return fleet
}

// run submits requests for a while and returns the share that each machine gets.
func (f *failingFleet) run(t *testing.T, duration time.Duration) []float64 {
	t.Helper()
	const perSecond = 60
	const decaySeconds = 5.0
	shares := make([]float64, len(f.errorRates))
	requests := int(duration.Seconds() * perSecond)
	for number := range requests {
		f.now = f.now.Add(time.Second / perSecond)
		f.nextID++
		router := f.routers[f.random.IntN(len(f.routers))]
		outcome := router.Submit(f.now, &Request{ID: f.nextID, Version: "v", Work: 1000, Arrived: f.now, Deadline: f.now.Add(time.Second)})
		if len(outcome.Grants) != 1 {
			t.Fatalf("request %d was not granted: %+v", number, outcome)
		}
		grant := outcome.Grants[0]
		position, _ := strconv.Atoi(grant.Target.Machine)
		shares[position] += 1 / float64(requests)
		result := ResultOK
		entry := f.counts[grant.Target.Machine]
		entry.Total++
		if f.random.Float64() < f.errorRates[position] {
			result = ResultError
			entry.Errors++
		}
		f.counts[grant.Target.Machine] = entry
		router.Release(f.now, grant, result)
		if number%(perSecond/2) == 0 {
			f.sendDigest(math.Exp(-digestInterval.Seconds() / decaySeconds))
		}
	}
	return shares
}

func (f *failingFleet) sendDigest(decay float64) {
	digest := map[string]ResponseCounts{}
	for machine, entry := range f.counts {
		digest[machine] = ResponseCounts{Total: math.Round(entry.Total), Errors: math.Round(entry.Errors)}
		f.counts[machine] = ResponseCounts{Total: entry.Total * decay, Errors: entry.Errors * decay}
	}
	for _, router := range f.routers {
		router.SetResponseCounts(f.now, digest)
	}
}

// TestFailingMachineIsAvoided guards against routing to a machine with an elevated error rate,
// against never probing it again, and against avoiding machines that are no worse than their
// peers.
func TestFailingMachineIsAvoided(t *testing.T) {
	const equalShare = 1.0 / 6
	tests := []struct {
		name       string
		errorRates []float64
		min, max   float64
	}{
		{"sound", []float64{0, 0, 0, 0, 0, 0}, equalShare / 2, 2 * equalShare},
		{"5 in 100", []float64{0.05, 0, 0, 0, 0, 0}, equalShare / 5, 2 * equalShare},
		{"40 in 100", []float64{0.4, 0.01, 0.01, 0.01, 0.01, 0.01}, 0.002, equalShare / 3},
		{"100 in 100", []float64{1, 0, 0, 0, 0, 0}, 0.002, equalShare / 5},
		{"14 in 100 everywhere", []float64{0.14, 0.14, 0.14, 0.14, 0.14, 0.14}, equalShare / 3, 2 * equalShare},
		{"all fail", []float64{1, 1, 1, 1, 1, 1}, equalShare / 2, 2 * equalShare},
	}
	for _, routers := range []int{1, 3, 94} {
		for _, test := range tests {
			fleet := newFailingFleet(routers, test.errorRates...)
			fleet.run(t, 5*time.Second)
			share := fleet.run(t, 20*time.Second)[0]
			if share < test.min || share > test.max {
				t.Errorf("%d routers, %s: got a traffic share of %.3f, want %.3f to %.3f", routers, test.name, share, test.min, test.max)
			}
			fleet.errorRates = make([]float64, len(test.errorRates))
			fleet.run(t, 15*time.Second)
			if share := fleet.run(t, 20*time.Second)[0]; share < equalShare/2 {
				t.Errorf("%d routers, %s: got a traffic share of %.3f after recovery", routers, test.name, share)
			}
		}
	}
}

// TestStaleResponseCountsAreIgnored guards against judging machines by old counts when no digests
// arrive.
func TestStaleResponseCountsAreIgnored(t *testing.T) {
	fleet := newFailingFleet(1, 0, 0)
	scheduler := fleet.routers[0]
	scheduler.SetResponseCounts(fleet.now, map[string]ResponseCounts{"0": {20, 20}, "1": {20, 0}})
	targets := scheduler.version("v").targets
	if kept := scheduler.excludeFailing(fleet.now.Add(responseCountsMaxAge), &Request{ID: 1}, targets); len(kept) == len(targets) {
		t.Error("current counts are ignored")
	}
	if kept := scheduler.excludeFailing(fleet.now.Add(responseCountsMaxAge+1), &Request{ID: 1}, targets); len(kept) != len(targets) {
		t.Error("stale counts are used")
	}
}

// TestTimeoutIsNotAnError: repeated timeouts eject a machine but don't count towards its error
// rate.
func TestTimeoutIsNotAnError(t *testing.T) {
	scheduler := newFailingFleet(1, 0, 0).routers[0]
	now := time.Unix(0, 0)
	for id := uint64(1); id <= ejectionThreshold; id++ {
		target := scheduler.targets["0"]
		target.inFlight++
		scheduler.Release(now, Grant{Request: &Request{ID: id, Version: "v"}, Target: target.Target}, ResultTimedOut)
	}
	if !scheduler.targets["0"].health.ejected(now) {
		t.Error("a machine that timed out is not ejected")
	}
	if counted := scheduler.ResponseCounts(); len(counted) != 0 {
		t.Errorf("timeouts were counted: %v", counted)
	}
}
