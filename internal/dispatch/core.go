package dispatch

import (
	"maps"
	"sort"
	"time"

	"github.com/weldline/weldline/internal/ratelimit"
)

// Config configures a Scheduler.
type Config struct {
	// MaxWaiting bounds the waiting requests of the whole router.
	MaxWaiting int
	// RoundRobin ignores load and affinity. It is a baseline for comparisons.
	RoundRobin bool
	// SharedSlots is set if the replicas on a machine share its slots.
	SharedSlots bool
	// LeastWork selects targets by the outstanding work of their machines, instead of by requests
	// in flight.
	LeastWork bool
	// Seed makes routers choose differently among equal targets.
	Seed uint64
	// PlacedAdapters is set if a request for an adapter can run only where the adapter is loaded.
	PlacedAdapters bool
}

// Scheduler is the dispatch state of one router. It is not safe for concurrent use.
type Scheduler struct {
	config   Config
	targets  map[string]*target
	versions map[string]*versionState
	waiters  map[uint64]*waiter
	// drainedTargets are the targets in drained zones, by replica.
	drainedTargets map[string]Target
	// othersLoad is the load that other routers cause on each machine, from lagged reports.
	othersLoad map[string]int
	// ownLoad is the number of this router's requests in flight, by machine.
	ownLoad map[string]int
	// ownWork is this router's outstanding work by machine, othersWork that of the other routers,
	// from lagged reports.
	ownWork, othersWork map[string]float64
	// routers is the number of routers that share the replicas.
	routers int
	// staleness is the averaged age of othersWork, which was last replaced at digestAt.
	digestAt  time.Time
	staleness time.Duration
	// ownResponses are the responses to this router; fleetResponses those to all routers, from the
	// digest received at responsesAt.
	ownResponses   map[string]ResponseCounts
	fleetResponses map[string]ResponseCounts
	responsesAt    time.Time
	// warming and limited are the machines that need permits. holds is the end of the hold
	// on each machine, permitHoldUntil that on all machines that need permits.
	warming         map[string]bool
	limited         map[string]ratelimit.Limit
	holds           map[string]time.Time
	permitHoldUntil time.Time
	// backoffs holds the backoff of each machine that requested one.
	backoffs map[string]*backoff
	// leaving maps the machines that announced their shutdown to when they last announced it or
	// were last listed.
	leaving map[string]time.Time
	// unreachable are the machines without a path from this router; isolated is set if no path works.
	unreachable map[string]bool
	isolated    bool
	// brittle has the rejections per second that brittle machines bear, exposures what this router
	// contributes.
	brittle   map[string]float64
	exposures map[string]*exposure
}

// versionState is the state of one model version.
type versionState struct {
	targets         []*target
	queue           queue
	arrivals        uint64
	work            float64
	rate            workRate
	ttftTarget      time.Duration
	adapterArrivals map[string]uint64
	adapterRunning  map[string]int
	running         int
	// drained counts the targets in drained zones; fixed is set if they can't be replaced.
	drained int
	fixed   bool
	// constrained is the demand under each region constraint, by the constraint's key.
	constrained map[string]*constrainedDemand
	estimate    *Estimate
	// turn counts the grants for round robin.
	turn int
}

// New returns a scheduler without targets or waiting requests, which assumes that there are no other
// routers.
func New(config Config) *Scheduler {
	return &Scheduler{
		config: config, targets: map[string]*target{}, versions: map[string]*versionState{},
		waiters: map[uint64]*waiter{}, othersLoad: map[string]int{}, ownLoad: map[string]int{},
		ownWork: map[string]float64{}, othersWork: map[string]float64{}, routers: 1,
		staleness: initialStaleness, ownResponses: map[string]ResponseCounts{}, drainedTargets: map[string]Target{},
		holds: map[string]time.Time{}, backoffs: map[string]*backoff{}, leaving: map[string]time.Time{},
		exposures: map[string]*exposure{},
	}
}

func (s *Scheduler) version(name string) *versionState {
	version := s.versions[name]
	if version == nil {
		version = &versionState{}
		s.versions[name] = version
	}
	return version
}

// Loads returns the requests in flight by machine.
func (s *Scheduler) Loads() map[string]int {
	return maps.Clone(s.ownLoad)
}

// Tick refuses requests whose time is up, and grants capacity that became available through the
// passage of time, for example when an ejection ends.
func (s *Scheduler) Tick(now time.Time) Outcome {
	var outcome Outcome
	for _, entry := range s.waiters {
		if entry.request.isQueueExpired(now) {
			outcome.Refusals = append(outcome.Refusals, s.expiryRefusal(now, entry.request))
		}
	}
	sort.Slice(outcome.Refusals, func(i, j int) bool {
		return outcome.Refusals[i].Request.ID < outcome.Refusals[j].Request.ID
	})
	for _, refusal := range outcome.Refusals {
		s.dequeue(refusal.Request)
	}
	s.refuseWaitingUnreachable(now, &outcome)
	s.dispatchAll(now, &outcome)
	return outcome
}

// expiryRefusal refuses a request that was not granted in time.
func (s *Scheduler) expiryRefusal(now time.Time, request *Request) Refusal {
	refusal := Refusal{
		Request: request, Reason: RefusedDeadline, Detail: "no replica was ready before the deadline", RetryAfter: shedRetryAfter,
	}
	if reason, isThrottled := s.throttledBy(now, request); isThrottled {
		refusal.Reason, refusal.Detail = reason, throttlingDetails[reason]
	}
	version := s.version(request.Version)
	if retryAfter, allBackedOff := s.RetryAfterBackoff(now, request); allBackedOff {
		refusal.Reason, refusal.Detail, refusal.RetryAfter = RefusedBackoff, throttlingDetails[RefusedBackoff], retryAfter
	}
	if perSecond, isLimited := s.rateLimitOf(version, request); isLimited {
		refusal.RetryAfter = max(refusal.RetryAfter, retryAfterLimit(version.queue.countAhead(request)+1, perSecond))
	}
	return refusal
}

// dispatchAll dispatches all versions with waiting requests, in order of name so that the outcome
// is deterministic.
func (s *Scheduler) dispatchAll(now time.Time, outcome *Outcome) {
	var waiting []string
	for name, version := range s.versions {
		if len(version.queue.waiting) > 0 {
			waiting = append(waiting, name)
		}
	}
	sort.Strings(waiting)
	for _, name := range waiting {
		s.dispatch(now, s.versions[name], outcome, nil)
	}
}

// Waiting returns the number of waiting requests.
func (s *Scheduler) Waiting() int {
	return len(s.waiters)
}
