package dispatch

import (
	"maps"
	"slices"
	"sort"
	"time"
)

// Config bounds a Core.
type Config struct {
	// MaxWaiting bounds the waiting requests of the whole router.
	MaxWaiting int
	// RoundRobin takes the targets of a version in turn, without regard to
	// load and affinity: a baseline for comparisons.
	RoundRobin bool
	// SharedSlots is set where the replicas on a machine share its slots.
	SharedSlots bool
	// ByWork takes targets by the work that their machines have before them,
	// instead of by their requests.
	ByWork bool
	// Seed tells routers apart where targets are alike.
	Seed uint64
	// PlacedAdapters is set where a request for an adapter can only run where
	// the adapter is.
	PlacedAdapters bool
}

// Core is the dispatch state of one router. It is not safe for concurrent
// use.
type Core struct {
	config   Config
	targets  map[string]*target
	versions map[string]*versionState
	waiters  map[uint64]*waiter
	// others is the load on each machine that other routers cause, by the
	// lagged reports.
	others map[string]int
	// onMachine is the router's own requests in flight, by machine.
	onMachine map[string]int
	// work is this router's outstanding work by machine, and othersWork that of
	// the others, by lagged reports.
	work, othersWork map[string]float64
	// routers is how many share the replicas.
	routers int
	// digestAt is when the lagged work was last replaced, staleness how old it
	// usually is.
	digestAt  time.Time
	staleness time.Duration
	// answered counts how machines answered this router, and answers how they
	// answered all routers lately, by the newest digest, which came at answersAt.
	answered  map[string]Answers
	answers   map[string]Answers
	answersAt time.Time
}

// versionState is what a router knows of one version.
type versionState struct {
	targets  []*target
	queue    queue
	arrivals uint64
	work     float64
	rate     workRate
	target   time.Duration
	// adapterArrivals counts the requests for each adapter.
	adapterArrivals map[string]uint64
	// adapterRunning counts the requests in flight for each adapter.
	adapterRunning map[string]int
	running        int
	// bound is what is asked of the version under each constraint, by the constraint's key.
	bound    map[string]*boundDemand
	estimate *Estimate
	// turn counts the grants, for round robin.
	turn int
}

// target is a Target with its load.
type target struct {
	Target
	inFlight int
	// retired targets get nothing new and are dropped when idle.
	retired  bool
	health   health
	adapters map[string]time.Time
	prefixes prefixCache
}

// New returns an empty core.
func New(config Config) *Core {
	return &Core{
		config: config, targets: map[string]*target{}, versions: map[string]*versionState{},
		waiters: map[uint64]*waiter{}, others: map[string]int{}, onMachine: map[string]int{},
		work: map[string]float64{}, othersWork: map[string]float64{}, routers: 1,
		staleness: usualStaleness, answered: map[string]Answers{},
	}
}

func (c *Core) version(name string) *versionState {
	held := c.versions[name]
	if held == nil {
		held = &versionState{}
		c.versions[name] = held
	}
	return held
}

// Submit asks for a replica. The request is granted, refused, or waits.
func (c *Core) Submit(now time.Time, request *Request) Outcome {
	version := c.version(request.Version)
	version.arrivals++
	version.work += request.Work
	version.rate.add(now, request.Work)
	if request.Target > 0 && (version.target == 0 || request.Target < version.target) {
		version.target = request.Target
	}
	if request.Adapter != "" && c.config.PlacedAdapters {
		version.countAdapter(request.Adapter)
	}
	version.countBound(request)
	return c.enqueue(now, version, request)
}

// Resubmit asks again for a request whose replica turned out not to run it.
func (c *Core) Resubmit(now time.Time, request *Request) Outcome {
	return c.enqueue(now, c.version(request.Version), request)
}

func (c *Core) enqueue(now time.Time, version *versionState, request *Request) Outcome {
	var outcome Outcome
	c.waiters[request.ID] = version.queue.push(request)
	c.dispatch(now, version, &outcome, request)
	if c.waiters[request.ID] == nil {
		return outcome
	}
	if refusal, refused := c.refuseEarly(now, version, request); refused {
		c.drop(request)
		outcome.Refusals = append(outcome.Refusals, refusal)
		return outcome
	}
	c.shed(&outcome)
	return outcome
}

// dispatch grants waiting requests of a version, first come first, as long as
// there is room. Fresh is the request that has just come, if any.
func (c *Core) dispatch(now time.Time, version *versionState, outcome *Outcome, fresh *Request) {
	for {
		request, chosen := c.nextGrant(now, version)
		if chosen == nil {
			return
		}
		c.drop(request)
		chosen.inFlight++
		c.onMachine[chosen.Machine]++
		c.addWork(chosen.Machine, request)
		version.running++
		version.runAdapter(request.Adapter, 1)
		version.runBound(request, 1)
		chosen.remember(now, request)
		outcome.Grants = append(outcome.Grants, Grant{Request: request, Target: chosen.Target, Cold: request != fresh})
	}
}

// nextGrant returns the first request that there is a place for. Requests that wait for an
// adapter that is placed, or for a place in their regions, don't hold up those behind.
func (c *Core) nextGrant(now time.Time, version *versionState) (*Request, *target) {
	first := version.queue.first()
	if first == nil {
		return nil, nil
	}
	if chosen := c.pick(now, version, first); chosen != nil || !c.config.PlacedAdapters && !first.Allowed.IsBound() {
		return first, chosen
	}
	for _, request := range version.queue.sorted() {
		if request == first {
			continue
		}
		if chosen := c.pick(now, version, request); chosen != nil {
			return request, chosen
		}
	}
	return nil, nil
}

func (c *Core) drop(request *Request) {
	entry := c.waiters[request.ID]
	if entry == nil {
		return
	}
	c.versions[request.Version].queue.remove(entry)
	delete(c.waiters, request.ID)
}

// refuseEarly refuses a request that is known to be out of reach by its deadline, even if
// all goes well, so that its caller learns it now and not at the deadline.
func (c *Core) refuseEarly(now time.Time, version *versionState, request *Request) (Refusal, bool) {
	if !now.Before(request.Deadline) {
		return Refusal{Request: request, Reason: RefusedDeadline, Detail: "the deadline has passed"}, true
	}
	estimate := version.estimate
	if estimate == nil || version.hasReady(request) {
		return Refusal{}, false
	}
	if estimate.Refused {
		return Refusal{Request: request, Reason: RefusedNotLoadable, Detail: estimate.Reason}, true
	}
	// When a replica is ready is said of the version as a whole: one in the request's regions may
	// be ready sooner, so nobody who is bound to some is refused for it.
	if !request.Allowed.IsBound() && estimate.EarliestAt.After(request.Deadline) {
		return Refusal{
			Request: request, Reason: RefusedDeadline, Detail: "the model will not be loaded before the deadline",
			RetryAfter: estimate.ReadyAt.Sub(now),
		}, true
	}
	return Refusal{}, false
}

// hasReady reports whether a replica that may serve a request is ready.
func (v *versionState) hasReady(request *Request) bool {
	for _, held := range v.targets {
		if !held.retired && request.Allowed.Allows(held.Region) {
			return true
		}
	}
	return false
}

// shedRetryAfter is when a request that was shed should come back.
const shedRetryAfter = time.Second

// shed refuses the last to be served while more wait than may.
func (c *Core) shed(outcome *Outcome) {
	for len(c.waiters) > c.config.MaxWaiting {
		var last *Request
		for _, entry := range c.waiters {
			if last == nil || servedBefore(last, entry.request) {
				last = entry.request
			}
		}
		c.drop(last)
		outcome.Refusals = append(outcome.Refusals, Refusal{
			Request: last, Reason: RefusedOverload, Detail: "too many requests wait", RetryAfter: shedRetryAfter,
		})
	}
}

// Result is how a granted request ended, as far as the target is concerned.
type Result int

// The results of a granted request.
const (
	ResultOK Result = iota
	// ResultError: the engine answered with a failure of its own.
	ResultError
	// ResultNotRun: the engine said that the replica does not take requests.
	ResultNotRun
	// ResultFailed: the engine failed or could not be reached.
	ResultFailed
	// ResultSilent: there was no whole answer in time. An engine with too much to do
	// is as silent as one that fails.
	ResultSilent
	// ResultUnreachable: no connection came about.
	ResultUnreachable
)

// Release ends a grant and gives the room to whoever waits.
func (c *Core) Release(now time.Time, grant Grant, result Result) Outcome {
	var outcome Outcome
	version := c.version(grant.Target.Version)
	version.running--
	version.runAdapter(grant.Request.Adapter, -1)
	version.runBound(grant.Request, -1)
	c.leaveMachine(grant.Target.Machine)
	c.finishWork(grant.Target.Machine, grant.Request, 0)
	c.countAnswer(grant.Target.Machine, result)
	held := c.targets[grant.Target.Replica]
	if held != nil {
		held.inFlight--
		held.health.observe(now, result)
		if held.retired && held.inFlight == 0 {
			c.forget(held)
		}
	}
	c.dispatch(now, version, &outcome, nil)
	return outcome
}

func (c *Core) leaveMachine(machine string) {
	c.onMachine[machine]--
	if c.onMachine[machine] <= 0 {
		delete(c.onMachine, machine)
	}
}

// Unreachable returns the machines that no connection came about to lately, by
// name.
func (c *Core) Unreachable(now time.Time) []string {
	var names []string
	for _, held := range c.targets {
		if now.Before(held.health.unreachableUntil) && !slices.Contains(names, held.Machine) {
			names = append(names, held.Machine)
		}
	}
	sort.Strings(names)
	return names
}

// Loads returns the requests in flight by machine.
func (c *Core) Loads() map[string]int {
	return maps.Clone(c.onMachine)
}

// Cancel takes a waiting request out of its queue.
func (c *Core) Cancel(request *Request) {
	c.drop(request)
}

// SetTargets replaces the replicas that may get requests.
func (c *Core) SetTargets(now time.Time, targets []Target) Outcome {
	var outcome Outcome
	listed := make(map[string]bool, len(targets))
	for _, next := range targets {
		listed[next.Replica] = true
		c.putTarget(next)
	}
	for name, held := range c.targets {
		if !listed[name] {
			c.retire(held)
		}
	}
	c.forgetAnswers()
	c.dispatchAll(now, &outcome)
	return outcome
}

// ChangeTargets takes over what is new in the replicas that may get requests. It costs what
// has changed, where SetTargets costs all that there is.
func (c *Core) ChangeTargets(now time.Time, changes TargetChanges) Outcome {
	if changes.Full {
		return c.SetTargets(now, changes.Targets)
	}
	var outcome Outcome
	for _, next := range changes.Targets {
		c.putTarget(next)
	}
	for _, name := range changes.Removed {
		held := c.targets[name]
		if held == nil {
			continue
		}
		c.retire(held)
		if !c.hasTargetOn(held.Machine) {
			delete(c.answered, held.Machine)
		}
	}
	c.dispatchAll(now, &outcome)
	return outcome
}

func (c *Core) putTarget(next Target) {
	if held := c.targets[next.Replica]; held != nil {
		held.Target = next
		held.retired = false
		return
	}
	added := &target{Target: next, adapters: map[string]time.Time{}}
	c.targets[next.Replica] = added
	version := c.version(next.Version)
	version.targets = append(version.targets, added)
}

// retire gives a target nothing new; it is dropped once it is idle.
func (c *Core) retire(held *target) {
	held.retired = true
	if held.inFlight == 0 {
		c.forget(held)
	}
}

func (c *Core) hasTargetOn(machine string) bool {
	for _, held := range c.targets {
		if held.Machine == machine {
			return true
		}
	}
	return false
}

func (c *Core) forget(held *target) {
	delete(c.targets, held.Replica)
	version := c.version(held.Version)
	for position, other := range version.targets {
		if other == held {
			version.targets = append(version.targets[:position], version.targets[position+1:]...)
			return
		}
	}
}

// SetLoads replaces the lagged loads of machines (the requests running there by
// all routers together) and the number of routers that share them.
func (c *Core) SetLoads(now time.Time, loads map[string]int, routers int) Outcome {
	c.routers = max(1, routers)
	c.others = map[string]int{}
	for machine, running := range loads {
		c.others[machine] = max(0, running-c.onMachine[machine])
	}
	var outcome Outcome
	c.dispatchAll(now, &outcome)
	return outcome
}

// SetEstimates replaces the leader's estimates, and refuses those who can't
// be served in time by them.
func (c *Core) SetEstimates(now time.Time, estimates map[string]*Estimate) Outcome {
	var outcome Outcome
	for name, version := range c.versions {
		version.estimate = estimates[name]
		if version.estimate == nil {
			continue
		}
		for _, entry := range append([]*waiter(nil), version.queue.waiting...) {
			if refusal, refused := c.refuseEarly(now, version, entry.request); refused {
				c.drop(entry.request)
				outcome.Refusals = append(outcome.Refusals, refusal)
			}
		}
	}
	return outcome
}

// Tick refuses requests whose deadline has passed and gives room that has
// opened by itself, such as a target whose ejection ended.
func (c *Core) Tick(now time.Time) Outcome {
	var outcome Outcome
	for _, entry := range c.waiters {
		if !now.Before(entry.request.Deadline) || entry.request.impatient(now) {
			outcome.Refusals = append(outcome.Refusals, Refusal{
				Request: entry.request, Reason: RefusedDeadline, Detail: "no replica was ready before the deadline",
				RetryAfter: shedRetryAfter,
			})
		}
	}
	sort.Slice(outcome.Refusals, func(i, j int) bool {
		return outcome.Refusals[i].Request.ID < outcome.Refusals[j].Request.ID
	})
	for _, refusal := range outcome.Refusals {
		c.drop(refusal.Request)
	}
	c.dispatchAll(now, &outcome)
	return outcome
}

// dispatchAll goes through the versions in order of name, so that the same
// events always have the same outcome.
func (c *Core) dispatchAll(now time.Time, outcome *Outcome) {
	var waiting []string
	for name, version := range c.versions {
		if len(version.queue.waiting) > 0 {
			waiting = append(waiting, name)
		}
	}
	sort.Strings(waiting)
	for _, name := range waiting {
		c.dispatch(now, c.versions[name], outcome, nil)
	}
}

// Waiting returns how many requests wait.
func (c *Core) Waiting() int {
	return len(c.waiters)
}
