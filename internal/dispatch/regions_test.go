package dispatch

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/weldline/weldline/internal/places"
)

// TestMain fixes the seed, so that the verdict is the same on every run.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// regionNames are the regions of the tests; the empty one stands for a place that is not known.
var regionNames = []string{"a", "b", "c", ""}

// regionTrial drives a core with requests under constraints through whatever may happen, and
// checks each grant.
type regionTrial struct {
	t       *rapid.T
	core    *Scheduler
	now     time.Time
	nextID  uint64
	running []Grant
	waiting map[uint64]*Request
}

func newRegionTrial(t *rapid.T) *regionTrial {
	config := Config{
		MaxWaiting: 6, RoundRobin: rapid.Bool().Draw(t, "round robin"), SharedSlots: rapid.Bool().Draw(t, "shared slots"),
		LeastWork: rapid.Bool().Draw(t, "by work"), PlacedAdapters: rapid.Bool().Draw(t, "placed adapters"),
	}
	return &regionTrial{t: t, core: New(config), now: beginning.Add(time.Hour), waiting: map[uint64]*Request{}}
}

// take checks what follows from an event.
func (r *regionTrial) take(outcome Outcome) {
	for _, grant := range outcome.Grants {
		if !grant.Request.Allowed.Allows(grant.Target.Region) {
			r.t.Fatalf("a request that is bound to %v goes to region %q", grant.Request.Allowed.Regions(), grant.Target.Region)
		}
		delete(r.waiting, grant.Request.ID)
		r.running = append(r.running, grant)
	}
	for _, refusal := range outcome.Refusals {
		delete(r.waiting, refusal.Request.ID)
	}
}

func (r *regionTrial) constraint(label string) places.Constraint {
	return places.RestrictTo(rapid.SliceOfN(rapid.SampledFrom(regionNames[:3]), 0, 2).Draw(r.t, label)...)
}

func (r *regionTrial) targets() {
	var targets []Target
	for number := range rapid.IntRange(0, 6).Draw(r.t, "targets") {
		targets = append(targets, Target{
			Replica: "r" + strconv.Itoa(number), Version: "v", Machine: "m" + strconv.Itoa(number%4), MaxConcurrent: 1 + number%2,
			Region: rapid.SampledFrom(regionNames).Draw(r.t, "region"), Suspect: rapid.Bool().Draw(r.t, "suspect"),
		})
	}
	r.take(r.core.SetTargets(r.now, targets))
}

func (r *regionTrial) submit() {
	r.nextID++
	request := &Request{
		ID: r.nextID, Version: "v", Priority: int32(r.nextID % 2), Arrived: r.now, Deadline: r.now.Add(time.Minute), Work: 100,
		PrefixHash: rapid.Uint64Range(0, 3).Draw(r.t, "prefix"), Allowed: r.constraint("route").Intersect(r.constraint("tenant")),
	}
	r.waiting[request.ID] = request
	r.take(r.core.Submit(r.now, request))
}

// end ends a request in flight, which may come again, under whatever constraint is then in force.
func (r *regionTrial) end() {
	if len(r.running) == 0 {
		return
	}
	position := rapid.IntRange(0, len(r.running)-1).Draw(r.t, "ends")
	ended := r.running[position]
	r.running = slices.Delete(r.running, position, position+1)
	r.take(r.core.Release(r.now, ended, Result(rapid.IntRange(0, int(ResultUnreachable)).Draw(r.t, "result"))))
	if !rapid.Bool().Draw(r.t, "comes again") {
		return
	}
	request := ended.Request
	request.Avoid = ended.Target.Replica
	if rapid.Bool().Draw(r.t, "tried") {
		request.TriedMachines = append(request.TriedMachines, ended.Target.Machine)
	}
	request.Allowed = request.Allowed.Intersect(r.constraint("narrower"))
	r.waiting[request.ID] = request
	r.take(r.core.Resubmit(r.now, request))
}

// rebind changes what binds a request that waits.
func (r *regionTrial) rebind() {
	ids := slices.Sorted(maps.Keys(r.waiting))
	if len(ids) == 0 {
		return
	}
	request := r.waiting[rapid.SampledFrom(ids).Draw(r.t, "rebound")]
	r.take(r.core.SetConstraint(r.now, request, r.constraint("now")))
}

func (r *regionTrial) pass() {
	r.now = r.now.Add(time.Duration(rapid.IntRange(1, 20_000).Draw(r.t, "ms")) * time.Millisecond)
	r.take(r.core.Tick(r.now))
}

func (r *regionTrial) loads() {
	loads := map[string]int{}
	for number := range 4 {
		loads["m"+strconv.Itoa(number)] = rapid.IntRange(0, 3).Draw(r.t, "load")
	}
	r.take(r.core.SetLoads(r.now, loads, 2))
}

// checkNobodyWaits: no request waits beside a free and healthy target that it may use. Without
// placed adapters the first that waits may hold up the others, but not if it waits for its region.
func (r *regionTrial) checkNobodyWaits() {
	first := r.core.version("v").queue.first()
	if first == nil || !r.core.config.PlacedAdapters && !first.Allowed.IsRestrictive() {
		return
	}
	for _, request := range r.waiting {
		for _, held := range r.core.version("v").targets {
			if r.core.usable(r.now, held, request, true) {
				r.t.Fatalf("request %d, bound to %v, waits beside %s in region %q", request.ID, request.Allowed.Regions(), held.Replica, held.Region)
			}
		}
	}
}

// TestGrantsStayInAllowedRegions: whatever fails, is ejected, suspect, full or tried again, no
// request is granted a place outside its regions, and one that waits for its region does not
// hold up those behind it.
func TestGrantsStayInAllowedRegions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trial := newRegionTrial(t)
		trial.targets()
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			switch rapid.SampledFrom([]string{"submit", "submit", "submit", "end", "end", "targets", "pass", "loads", "rebind"}).Draw(t, "event") {
			case "submit":
				trial.submit()
			case "end":
				trial.end()
			case "targets":
				trial.targets()
			case "pass":
				trial.pass()
			case "rebind":
				trial.rebind()
			case "loads":
				trial.loads()
			}
			trial.checkNobodyWaits()
		}
	})
}

func bound(id uint64, regions ...string) *Request {
	return &Request{ID: id, Version: "v", Arrived: beginning, Deadline: beginning.Add(time.Minute), Allowed: places.RestrictTo(regions...)}
}

// TestOnlyAllowedTargetIsTriedThoughEjected, as the only target at all is.
func TestOnlyAllowedTargetIsTriedThoughEjected(t *testing.T) {
	core := New(Config{MaxWaiting: 10})
	now := beginning.Add(time.Hour)
	core.SetTargets(now, []Target{
		{Replica: "r-a", Version: "v", Machine: "m-a", MaxConcurrent: 1, Region: "a"},
		{Replica: "r-b", Version: "v", Machine: "m-b", MaxConcurrent: 1, Region: "b"},
	})
	first := bound(1, "a")
	first.Deadline = now.Add(time.Minute)
	granted := core.Submit(now, first)
	if len(granted.Grants) != 1 {
		t.Fatalf("%+v", granted)
	}
	core.Release(now, granted.Grants[0], ResultUnreachable)
	second := bound(2, "a")
	second.Deadline = now.Add(time.Minute)
	if again := core.Submit(now, second); len(again.Grants) != 1 || again.Grants[0].Target.Region != "a" {
		t.Errorf("%+v", again)
	}
}

// TestNoAlternativeOutsideAllowedRegions: a machine elsewhere is none for a request that is bound.
func TestNoAlternativeOutsideAllowedRegions(t *testing.T) {
	core := New(Config{MaxWaiting: 10})
	core.SetTargets(beginning, []Target{
		{Replica: "r-a", Version: "v", Machine: "m-a", MaxConcurrent: 1, Region: "a"},
		{Replica: "r-b", Version: "v", Machine: "m-b", MaxConcurrent: 1, Region: "b"},
	})
	if core.HasAlternative(beginning, bound(1, "a"), "m-a") {
		t.Error("a machine outside the allowed regions counts as an alternative")
	}
	if !core.HasAlternative(beginning, bound(2, "a", "b"), "m-a") {
		t.Error("a machine in an allowed region does not count as an alternative")
	}
}

// TestEstimateOfElsewhereIsNoneForABoundRequest: a request that is bound is neither refused by
// when a replica elsewhere will be ready, nor taken to have one that is.
func TestEstimateOfElsewhereIsNoneForABoundRequest(t *testing.T) {
	core := New(Config{MaxWaiting: 10})
	core.SetEstimates(beginning, map[string]*Estimate{})
	core.Submit(beginning, bound(1, "a"))
	late := beginning.Add(time.Hour)
	outcome := core.SetEstimates(beginning, map[string]*Estimate{"v": {ReadyAt: late, EarliestAt: late}})
	if len(outcome.Refusals) != 0 {
		t.Errorf("refused by an estimate that is not for its regions: %+v", outcome.Refusals)
	}
	core.SetTargets(beginning, []Target{{Replica: "r-b", Version: "v", Machine: "m-b", MaxConcurrent: 1, Region: "b"}})
	outcome = core.SetEstimates(beginning, map[string]*Estimate{"v": {Refused: true, Reason: "too large"}})
	if len(outcome.Refusals) != 1 || outcome.Refusals[0].Reason != RefusedNotLoadable {
		t.Errorf("kept by a replica elsewhere though nothing can hold the model: %+v", outcome)
	}
}

// TestDemandIsToldApartByConstraint: what is bound is part of its version's demand, and told
// again by constraint; a request that comes again under a narrower one waits under that.
func TestDemandIsToldApartByConstraint(t *testing.T) {
	core := New(Config{MaxWaiting: 10})
	core.SetTargets(beginning, []Target{{Replica: "r-a", Version: "v", Machine: "m-a", MaxConcurrent: 1, Region: "a"}})
	running := core.Submit(beginning, bound(1, "a", "b")).Grants[0]
	core.Submit(beginning, bound(2, "c"))
	core.Submit(beginning, &Request{ID: 3, Version: "v", Arrived: beginning, Deadline: beginning.Add(time.Minute)})
	tell := func() string {
		var told []string
		for _, demand := range core.Demand(beginning.Add(time.Second)) {
			told = append(told, fmt.Sprintf("%s%v: %d waiting, %d running, %d so far, oldest %s",
				demand.Version, demand.Allowed.Regions(), demand.Waiting, demand.Running, demand.Arrivals, demand.OldestWait))
		}
		return strings.Join(told, "\n")
	}
	const before = "v[]: 2 waiting, 1 running, 3 so far, oldest 1s\n" +
		"v[a b]: 0 waiting, 1 running, 1 so far, oldest 0s\nv[c]: 1 waiting, 0 running, 1 so far, oldest 1s"
	if told := tell(); told != before {
		t.Errorf("%s", told)
	}
	core.Cancel(&Request{ID: 3, Version: "v"})
	core.Release(beginning, running, ResultNotRun)
	running.Request.Allowed = places.RestrictTo("b")
	core.Resubmit(beginning, running.Request)
	const after = "v[]: 2 waiting, 0 running, 3 so far, oldest 1s\nv[a b]: 0 waiting, 0 running, 1 so far, oldest 0s\n" +
		"v[b]: 1 waiting, 0 running, 0 so far, oldest 1s\nv[c]: 1 waiting, 0 running, 1 so far, oldest 1s"
	if told := tell(); told != after {
		t.Errorf("%s", told)
	}
}
