package dispatch

import (
	"maps"
	"sort"
	"time"

	"github.com/weldline/weldline/internal/ratelimit"
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
	// LeastWork takes targets by the work that their machines have before them,
	// instead of by their requests.
	LeastWork bool
	// Seed makes routers choose differently among equal targets.
	Seed uint64
	// PlacedAdapters is set where a request for an adapter can only run where
	// the adapter is.
	PlacedAdapters bool
}

// Scheduler is the dispatch state of one router. It is not safe for concurrent
// use.
type Scheduler struct {
	config   Config
	targets  map[string]*target
	versions map[string]*versionState
	waiters  map[uint64]*waiter
	// drained would be targets if their zones were not drained, by replica.
	drained map[string]Target
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
	answered  map[string]ResponseCounts
	answers   map[string]ResponseCounts
	answersAt time.Time
	// warming names the machines that warm up, and limited those that name a limit. held says until
	// when a machine gets nothing; pacedHeld says so of all that take permits.
	warming   map[string]bool
	limited   map[string]ratelimit.Limit
	held      map[string]time.Time
	pacedHeld time.Time
	// rests holds the rests that machines asked for, by machine.
	rests map[string]*rest
	// leaving holds the machines that stated that they are about to shut down, with the time when they last did, or
	// were last listed.
	leaving map[string]time.Time
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
	// drained counts the targets in drained zones; fixed is set where such can't be replaced.
	drained int
	fixed   bool
	// bound is what is asked of the version under each constraint, by the constraint's key.
	bound    map[string]*boundDemand
	estimate *Estimate
	// turn counts the grants, for round robin.
	turn int
}

// New returns an empty core.
func New(config Config) *Scheduler {
	return &Scheduler{
		config: config, targets: map[string]*target{}, versions: map[string]*versionState{},
		waiters: map[uint64]*waiter{}, others: map[string]int{}, onMachine: map[string]int{},
		work: map[string]float64{}, othersWork: map[string]float64{}, routers: 1,
		staleness: usualStaleness, answered: map[string]ResponseCounts{}, drained: map[string]Target{},
		held: map[string]time.Time{}, rests: map[string]*rest{}, leaving: map[string]time.Time{},
	}
}

func (c *Scheduler) version(name string) *versionState {
	held := c.versions[name]
	if held == nil {
		held = &versionState{}
		c.versions[name] = held
	}
	return held
}

// Loads returns the requests in flight by machine.
func (c *Scheduler) Loads() map[string]int {
	return maps.Clone(c.onMachine)
}

// Tick refuses requests whose deadline has passed and gives room that has
// opened by itself, such as a target whose ejection ended.
func (c *Scheduler) Tick(now time.Time) Outcome {
	var outcome Outcome
	for _, entry := range c.waiters {
		if !now.Before(entry.request.Deadline) || entry.request.impatient(now) {
			outcome.Refusals = append(outcome.Refusals, c.refusalOfImpatient(now, entry.request))
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

// refusalOfImpatient refuses a request that got no place in time.
func (c *Scheduler) refusalOfImpatient(now time.Time, request *Request) Refusal {
	refusal := Refusal{
		Request: request, Reason: RefusedDeadline, Detail: "no replica was ready before the deadline", RetryAfter: shedRetryAfter,
	}
	if reason, isPaced := c.waitsFor(now, request); isPaced {
		refusal.Reason, refusal.Detail = reason, detailsOfPaced[reason]
	}
	version := c.version(request.Version)
	if retryAfter, allRest := c.RetryAfterBackoff(now, request); allRest {
		refusal.Reason, refusal.Detail, refusal.RetryAfter = RefusedBackoff, detailsOfPaced[RefusedBackoff], retryAfter
	}
	if perSecond, isLimited := c.limitOf(version, request); isLimited {
		refusal.RetryAfter = max(refusal.RetryAfter, retryAfterLimit(version.queue.before(request)+1, perSecond))
	}
	return refusal
}

// dispatchAll goes through the versions in order of name, so that the same
// events always have the same outcome.
func (c *Scheduler) dispatchAll(now time.Time, outcome *Outcome) {
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
func (c *Scheduler) Waiting() int {
	return len(c.waiters)
}
