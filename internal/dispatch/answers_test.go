package dispatch

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

func TestTrust(t *testing.T) {
	tests := []struct {
		name        string
		own, peers  ResponseCounts
		least, most float64
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
		if trust := test.own.trust(test.peers); trust < test.least || trust > test.most {
			t.Errorf("%s: %.3f, wanted %.2f to %.2f", test.name, trust, test.least, test.most)
		}
	}
}

// failingFleet is some routers before machines that fail shares of their requests. All
// requests end at once; counts are spread every half second, as digests are.
type failingFleet struct {
	now     time.Time
	random  *rand.Rand
	routers []*Scheduler
	errors  []float64
	counts  map[string]ResponseCounts
	nextID  uint64
}

const digestEvery = 500 * time.Millisecond

func newFailingFleet(routers int, errors ...float64) *failingFleet {
	fleet := &failingFleet{now: time.Unix(0, 0), random: rand.New(rand.NewPCG(7, uint64(routers))), errors: errors, counts: map[string]ResponseCounts{}}
	var targets []Target
	for position := range errors {
		name := strconv.Itoa(position)
		targets = append(targets, Target{Replica: name, Version: "v", Machine: name, MaxConcurrent: 100})
	}
	for position := range routers {
		core := New(Config{MaxWaiting: 10, SharedSlots: true, LeastWork: true, Seed: uint64(position) << 32})
		core.SetTargets(fleet.now, targets)
		fleet.routers = append(fleet.routers, core)
	}
	return fleet
}

// run lets requests come for a while and returns each machine's share of them.
func (f *failingFleet) run(t *testing.T, span time.Duration) []float64 {
	t.Helper()
	const perSecond = 60
	const memory = 5.0
	shares := make([]float64, len(f.errors))
	requests := int(span.Seconds() * perSecond)
	for number := range requests {
		f.now = f.now.Add(time.Second / perSecond)
		f.nextID++
		router := f.routers[f.random.IntN(len(f.routers))]
		outcome := router.Submit(f.now, &Request{ID: f.nextID, Version: "v", Work: 1000, Arrived: f.now, Deadline: f.now.Add(time.Second)})
		if len(outcome.Grants) != 1 {
			t.Fatalf("request %d got no machine: %+v", number, outcome)
		}
		grant := outcome.Grants[0]
		position, _ := strconv.Atoi(grant.Target.Machine)
		shares[position] += 1 / float64(requests)
		result := ResultOK
		entry := f.counts[grant.Target.Machine]
		entry.Total++
		if f.random.Float64() < f.errors[position] {
			result = ResultError
			entry.Errors++
		}
		f.counts[grant.Target.Machine] = entry
		router.Release(f.now, grant, result)
		if number%(perSecond/2) == 0 {
			f.spread(math.Exp(-digestEvery.Seconds() / memory))
		}
	}
	return shares
}

func (f *failingFleet) spread(keep float64) {
	digest := map[string]ResponseCounts{}
	for machine, entry := range f.counts {
		digest[machine] = ResponseCounts{Total: math.Round(entry.Total), Errors: math.Round(entry.Errors)}
		f.counts[machine] = ResponseCounts{Total: entry.Total * keep, Errors: entry.Errors * keep}
	}
	for _, router := range f.routers {
		router.SetResponseCounts(f.now, digest)
	}
}

// TestFailingMachineIsAvoided: a machine that fails part of its requests is left within
// seconds by few and by many routers alike, keeps some probes, and comes back; one that
// is as the others keeps its share, however bad all are.
func TestFailingMachineIsAvoided(t *testing.T) {
	const even = 1.0 / 6
	tests := []struct {
		name        string
		errors      []float64
		least, most float64
	}{
		{"sound", []float64{0, 0, 0, 0, 0, 0}, even / 2, 2 * even},
		{"5 in 100", []float64{0.05, 0, 0, 0, 0, 0}, even / 5, 2 * even},
		{"40 in 100", []float64{0.4, 0.01, 0.01, 0.01, 0.01, 0.01}, 0.002, even / 3},
		{"100 in 100", []float64{1, 0, 0, 0, 0, 0}, 0.002, even / 5},
		{"14 in 100 everywhere", []float64{0.14, 0.14, 0.14, 0.14, 0.14, 0.14}, even / 3, 2 * even},
		{"all fail", []float64{1, 1, 1, 1, 1, 1}, even / 2, 2 * even},
	}
	for _, routers := range []int{1, 3, 94} {
		for _, test := range tests {
			fleet := newFailingFleet(routers, test.errors...)
			fleet.run(t, 5*time.Second)
			share := fleet.run(t, 20*time.Second)[0]
			if share < test.least || share > test.most {
				t.Errorf("%d routers, %s: a share of %.3f, wanted %.3f to %.3f", routers, test.name, share, test.least, test.most)
			}
			fleet.errors = make([]float64, len(test.errors))
			fleet.run(t, 15*time.Second)
			if share := fleet.run(t, 20*time.Second)[0]; share < even/2 {
				t.Errorf("%d routers, %s: after it has recovered, a share of %.3f", routers, test.name, share)
			}
		}
	}
}

// TestOldCountsAreNotUsed: without digests a machine is not judged by the past for ever.
func TestOldCountsAreNotUsed(t *testing.T) {
	fleet := newFailingFleet(1, 0, 0)
	core := fleet.routers[0]
	core.SetResponseCounts(fleet.now, map[string]ResponseCounts{"0": {20, 20}, "1": {20, 0}})
	targets := core.version("v").targets
	if kept := core.withoutFailing(fleet.now.Add(answersLifetime), &Request{ID: 1}, targets); len(kept) == len(targets) {
		t.Error("fresh counts are not used")
	}
	if kept := core.withoutFailing(fleet.now.Add(answersLifetime+1), &Request{ID: 1}, targets); len(kept) != len(targets) {
		t.Error("old counts are used")
	}
}

// TestSilenceIsNoError: an engine that does not answer in time is left alone for a
// while, but its requests are not moved for good: it may only have too much to do.
func TestSilenceIsNoError(t *testing.T) {
	core := newFailingFleet(1, 0, 0).routers[0]
	now := time.Unix(0, 0)
	for id := uint64(1); id <= ejectAfter; id++ {
		target := core.targets["0"]
		target.inFlight++
		core.Release(now, Grant{Request: &Request{ID: id, Version: "v"}, Target: target.Target}, ResultTimedOut)
	}
	if !core.targets["0"].health.ejected(now) {
		t.Error("a silent machine gets requests")
	}
	if counted := core.ResponseCounts(); len(counted) != 0 {
		t.Errorf("silence was counted: %v", counted)
	}
}
