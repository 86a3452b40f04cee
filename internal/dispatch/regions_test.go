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

// TestMain fixes the seed, so that runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// regionNames are the regions used by the tests; the empty one is an unknown region.
var regionNames = []string{"a", "b", "c", ""}

// softwareVersions are the versions used by the tests; the empty one is unknown, or any.
var softwareVersions = []string{"", "v1", "v2"}

// regionModel drives a scheduler with random events and checks the region of each grant.
type regionModel struct {
	t         *rapid.T
	scheduler *Scheduler
	now       time.Time
	nextID    uint64
	running   []Grant
	waiting   map[uint64]*Request
}

func newRegionModel(t *rapid.T) *regionModel {
	config := Config{
		MaxWaiting: 6, RoundRobin: rapid.Bool().Draw(t, "round robin"), SharedSlots: rapid.Bool().Draw(t, "shared slots"),
		LeastWork: rapid.Bool().Draw(t, "by work"), PlacedAdapters: rapid.Bool().Draw(t, "placed adapters"),
	}
	return &regionModel{t: t, scheduler: New(config), now: epoch.Add(time.Hour), waiting: map[uint64]*Request{}}
}

func (r *regionModel) apply(outcome Outcome) {
	for _, grant := range outcome.Grants {
		if !grant.Request.Allowed.Allows(grant.Target.Region) {
			r.t.Fatalf("a request constrained to %v was granted in region %q", grant.Request.Allowed.Regions(), grant.Target.Region)
		}
		if software := grant.Request.Software; software != "" && software != grant.Target.Software {
			r.t.Fatalf("a request that needs software %q was granted at %q", software, grant.Target.Software)
		}
		delete(r.waiting, grant.Request.ID)
		r.running = append(r.running, grant)
	}
	for _, refusal := range outcome.Refusals {
		delete(r.waiting, refusal.Request.ID)
	}
}

func (r *regionModel) constraint(label string) places.Constraint {
	return places.RestrictTo(rapid.SliceOfN(rapid.SampledFrom(regionNames[:3]), 0, 2).Draw(r.t, label)...)
}

func (r *regionModel) targets() {
	var targets []Target
	for number := range rapid.IntRange(0, 6).Draw(r.t, "targets") {
		targets = append(targets, Target{
			Replica: "r" + strconv.Itoa(number), Version: "v", Machine: "m" + strconv.Itoa(number%4), MaxConcurrent: 1 + number%2,
			Region: rapid.SampledFrom(regionNames).Draw(r.t, "region"), Software: rapid.SampledFrom(softwareVersions).Draw(r.t, "software"), Suspect: rapid.Bool().Draw(r.t, "suspect"),
		})
	}
	r.apply(r.scheduler.SetTargets(r.now, targets))
}

func (r *regionModel) submit() {
	r.nextID++
	request := &Request{
		ID: r.nextID, Version: "v", Priority: int32(r.nextID % 2), Arrived: r.now, Deadline: r.now.Add(time.Minute), Work: 100,
		PrefixHash: rapid.Uint64Range(0, 3).Draw(r.t, "prefix"), Allowed: r.constraint("route").Intersect(r.constraint("tenant")),
		Software: rapid.SampledFrom(softwareVersions).Draw(r.t, "needed software"),
	}
	r.waiting[request.ID] = request
	r.apply(r.scheduler.Submit(r.now, request))
}

// end ends a request in flight, which may be resubmitted under a narrower constraint.
func (r *regionModel) end() {
	if len(r.running) == 0 {
		return
	}
	position := rapid.IntRange(0, len(r.running)-1).Draw(r.t, "ended")
	ended := r.running[position]
	r.running = slices.Delete(r.running, position, position+1)
	r.apply(r.scheduler.Release(r.now, ended, Result(rapid.IntRange(0, int(ResultUnreachable)).Draw(r.t, "result"))))
	if !rapid.Bool().Draw(r.t, "resubmit") {
		return
	}
	request := ended.Request
	request.Avoid = ended.Target.Replica
	if rapid.Bool().Draw(r.t, "tried") {
		request.TriedMachines = append(request.TriedMachines, ended.Target.Machine)
	}
	request.Allowed = request.Allowed.Intersect(r.constraint("narrower"))
	r.waiting[request.ID] = request
	r.apply(r.scheduler.Resubmit(r.now, request))
}

func (r *regionModel) setConstraint() {
	ids := slices.Sorted(maps.Keys(r.waiting))
	if len(ids) == 0 {
		return
	}
	request := r.waiting[rapid.SampledFrom(ids).Draw(r.t, "constrained request")]
	r.apply(r.scheduler.SetConstraint(r.now, request, r.constraint("constraint")))
}

func (r *regionModel) advance() {
	r.now = r.now.Add(time.Duration(rapid.IntRange(1, 20_000).Draw(r.t, "ms")) * time.Millisecond)
	r.apply(r.scheduler.Tick(r.now))
}

func (r *regionModel) loads() {
	loads := map[string]int{}
	for number := range 4 {
		loads["m"+strconv.Itoa(number)] = rapid.IntRange(0, 3).Draw(r.t, "load")
	}
	r.apply(r.scheduler.SetLoads(r.now, loads, 2))
}

// checkNoneWaits checks that no request waits while a healthy target with capacity may serve it.
// Without placed adapters, an unconstrained request at the head of the queue may block the others.
func (r *regionModel) checkNoneWaits() {
	first := r.scheduler.version("v").queue.first()
	if first == nil || !r.scheduler.config.PlacedAdapters && !first.isConstrained() {
		return
	}
	for _, request := range r.waiting {
		for _, candidate := range r.scheduler.version("v").targets {
			if r.scheduler.usable(r.now, candidate, request, true) {
				r.t.Fatalf("request %d, constrained to %v, waits while %s in region %q has capacity", request.ID, request.Allowed.Regions(), candidate.Replica, candidate.Region)
			}
		}
	}
}

// TestGrantsStayInAllowedRegions checks, over random failures, retries and constraint changes,
// that no request is granted outside its regions, and that one waiting for its region does not
// block the queue.
func TestGrantsStayInAllowedRegions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newRegionModel(t)
		model.targets()
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			switch rapid.SampledFrom([]string{"submit", "submit", "submit", "end", "end", "targets", "advance", "loads", "set constraint"}).Draw(t, "event") {
			case "submit":
				model.submit()
			case "end":
				model.end()
			case "targets":
				model.targets()
			case "advance":
				model.advance()
			case "set constraint":
				model.setConstraint()
			case "loads":
				model.loads()
			}
			model.checkNoneWaits()
		}
	})
}

func constrained(id uint64, regions ...string) *Request {
	return &Request{ID: id, Version: "v", Arrived: epoch, Deadline: epoch.Add(time.Minute), Allowed: places.RestrictTo(regions...)}
}

// TestOnlyAllowedTargetIsTriedThoughEjected: being the only target in the allowed regions counts
// as being the only target.
func TestOnlyAllowedTargetIsTriedThoughEjected(t *testing.T) {
	scheduler := New(Config{MaxWaiting: 10})
	now := epoch.Add(time.Hour)
	scheduler.SetTargets(now, []Target{
		{Replica: "r-a", Version: "v", Machine: "m-a", MaxConcurrent: 1, Region: "a"},
		{Replica: "r-b", Version: "v", Machine: "m-b", MaxConcurrent: 1, Region: "b"},
	})
	first := constrained(1, "a")
	first.Deadline = now.Add(time.Minute)
	granted := scheduler.Submit(now, first)
	if len(granted.Grants) != 1 {
		t.Fatalf("%+v", granted)
	}
	scheduler.Release(now, granted.Grants[0], ResultUnreachable)
	second := constrained(2, "a")
	second.Deadline = now.Add(time.Minute)
	if again := scheduler.Submit(now, second); len(again.Grants) != 1 || again.Grants[0].Target.Region != "a" {
		t.Errorf("%+v", again)
	}
}

// TestNoAlternativeOutsideAllowedRegions guards against retries that wait for a machine that must
// not serve the request.
func TestNoAlternativeOutsideAllowedRegions(t *testing.T) {
	scheduler := New(Config{MaxWaiting: 10})
	scheduler.SetTargets(epoch, []Target{
		{Replica: "r-a", Version: "v", Machine: "m-a", MaxConcurrent: 1, Region: "a"},
		{Replica: "r-b", Version: "v", Machine: "m-b", MaxConcurrent: 1, Region: "b"},
	})
	if scheduler.HasAlternative(epoch, constrained(1, "a"), "m-a") {
		t.Error("a machine outside the allowed regions counts as an alternative")
	}
	if !scheduler.HasAlternative(epoch, constrained(2, "a", "b"), "m-a") {
		t.Error("a machine in an allowed region does not count as an alternative")
	}
}

// TestEstimateElsewhereDoesNotAffectConstrainedRequest: a constrained request is not refused
// because of an estimate for the whole version, nor kept because of a replica outside its regions.
func TestEstimateElsewhereDoesNotAffectConstrainedRequest(t *testing.T) {
	scheduler := New(Config{MaxWaiting: 10})
	scheduler.SetEstimates(epoch, map[string]*Estimate{})
	scheduler.Submit(epoch, constrained(1, "a"))
	late := epoch.Add(time.Hour)
	outcome := scheduler.SetEstimates(epoch, map[string]*Estimate{"v": {ReadyAt: late, EarliestAt: late}})
	if len(outcome.Refusals) != 0 {
		t.Errorf("refused by an estimate for other regions: %+v", outcome.Refusals)
	}
	scheduler.SetTargets(epoch, []Target{{Replica: "r-b", Version: "v", Machine: "m-b", MaxConcurrent: 1, Region: "b"}})
	outcome = scheduler.SetEstimates(epoch, map[string]*Estimate{"v": {Refused: true, Reason: "too large"}})
	if len(outcome.Refusals) != 1 || outcome.Refusals[0].Reason != RefusedNotLoadable {
		t.Errorf("kept for a replica outside its regions: %+v", outcome)
	}
}

// TestDemandByConstraint: constrained demand is included in the version's demand and reported
// again by constraint; a resubmitted request waits under its new constraint.
func TestDemandByConstraint(t *testing.T) {
	scheduler := New(Config{MaxWaiting: 10})
	scheduler.SetTargets(epoch, []Target{{Replica: "r-a", Version: "v", Machine: "m-a", MaxConcurrent: 1, Region: "a"}})
	running := scheduler.Submit(epoch, constrained(1, "a", "b")).Grants[0]
	scheduler.Submit(epoch, constrained(2, "c"))
	scheduler.Submit(epoch, &Request{ID: 3, Version: "v", Arrived: epoch, Deadline: epoch.Add(time.Minute)})
	describe := func() string {
		var lines []string
		for _, demand := range scheduler.Demand(epoch.Add(time.Second)) {
			lines = append(lines, fmt.Sprintf("%s%v: %d waiting, %d running, %d so far, oldest %s",
				demand.Version, demand.Allowed.Regions(), demand.Waiting, demand.Running, demand.Arrivals, demand.OldestWait))
		}
		return strings.Join(lines, "\n")
	}
	const before = "v[]: 2 waiting, 1 running, 3 so far, oldest 1s\n" +
		"v[a b]: 0 waiting, 1 running, 1 so far, oldest 0s\nv[c]: 1 waiting, 0 running, 1 so far, oldest 1s"
	if got := describe(); got != before {
		t.Errorf("got demand:\n%s", got)
	}
	scheduler.Cancel(&Request{ID: 3, Version: "v"})
	scheduler.Release(epoch, running, ResultNotRun)
	running.Request.Allowed = places.RestrictTo("b")
	scheduler.Resubmit(epoch, running.Request)
	const after = "v[]: 2 waiting, 0 running, 3 so far, oldest 1s\nv[a b]: 0 waiting, 0 running, 1 so far, oldest 0s\n" +
		"v[b]: 1 waiting, 0 running, 0 so far, oldest 1s\nv[c]: 1 waiting, 0 running, 1 so far, oldest 1s"
	if got := describe(); got != after {
		t.Errorf("got demand:\n%s", got)
	}
}
