package soak

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Bounds are the limits that the checks apply to a history.
type Bounds struct {
	// ApplyTimeout runs from the acknowledgement of a configuration until every control node serves it.
	ApplyTimeout time.Duration
	// DrainTimeout runs from the acknowledgement of a zone's drain until no request reaches the zone.
	DrainTimeout time.Duration
	// CatchUpTime runs from the end of a disturbance until a router has current state again.
	CatchUpTime time.Duration
	// ToleratedNodes is how many control nodes may be disturbed at once without an effect on clients.
	ToleratedNodes      int
	MaxWarmingPerSecond int
	// BrittleMachines is the number of machines that become brittle together.
	BrittleMachines int
	// Retries is the retry budget of each pool.
	Retries RetryBudget
	// RouterRegions are the regions of all routers.
	RouterRegions map[string]string
}

// Violation is one case in which a history violates an invariant.
type Violation struct {
	Invariant string `json:"promise"`
	Detail    string `json:"detail"`
}

type check struct {
	invariant string
	find      func(history *History, bounds Bounds, disturbances []Disturbance) []string
}

var checks = []check{
	{"whole-answers", wrongAnswers},
	{"no-denials", denials},
	{"at-most-once", duplicateRuns},
	{"not-run", falseNotRun},
	{"plain-requests", unansweredPlainRequests},
	{"orders", unacknowledgedOrders},
	{"configuration", staleReads},
	{"zone-drains", arrivalsInDrainedZones},
	{"warming-machines", overloadedWarmingMachines},
	{"machine-limits", exceededLimits},
	{"machine-rests", arrivalsDuringBackoff},
	{"leaving-machines", arrivalsAtLeavingMachines},
	{"partitioned-routers", unservedPartitions},
	{"brittle-machines", brittleFalls},
	{"harmful-parts", harmfulArrivals},
	{"harmful-part-companions", unservedCompanions},
	{"crowds", unservedCrowds},
	{"retry-budget", exceededRetryBudgets},
	{"max-attempts", exceededAttempts},
	{"deadlines", lateDeadlines},
	{"planned-stops", responsesLostInStops},
	{"uploads", misreadUploads},
	{"regions", arrivalsInForbiddenRegions},
	{"stream-versions", mixedStreams},
	{"memory", func(history *History, _ Bounds, _ []Disturbance) []string { return history.Overcommits }},
	{"recovery", func(history *History, _ Bounds, _ []Disturbance) []string { return history.Unserved }},
}

// Judge returns the violated invariants, in the order of the checks. The history must not change during the
// call.
func Judge(history *History, bounds Bounds, disturbances []Disturbance) []Violation {
	var violations []Violation
	for _, each := range checks {
		for _, detail := range each.find(history, bounds, disturbances) {
			violations = append(violations, Violation{Invariant: each.invariant, Detail: detail})
		}
	}
	return violations
}

func wrongAnswers(history *History, _ Bounds, _ []Disturbance) []string {
	var found []string
	for _, answer := range history.Answers {
		if answer.Outcome == OutcomeAnswered && !answer.Right {
			found = append(found, fmt.Sprintf("%s: the answer at %s is incomplete or belongs to another request", answer.Request, answer.At))
		}
	}
	return found
}

// denials finds denied requests: every configuration allows every request that is sent.
func denials(history *History, _ Bounds, _ []Disturbance) []string {
	var found []string
	for _, answer := range history.Answers {
		if answer.Outcome == OutcomeDenied {
			found = append(found, fmt.Sprintf("%s was denied at %s by %s", answer.Request, answer.At, history.Requests[answer.Request].Router))
		}
	}
	return found
}

func (h *History) arrivalsByRequest() map[string][]Arrival {
	grouped := map[string][]Arrival{}
	for _, arrival := range h.Arrivals {
		grouped[arrival.Request] = append(grouped[arrival.Request], arrival)
	}
	return grouped
}

func duplicateRuns(history *History, _ Bounds, _ []Disturbance) []string {
	var found []string
	for id, arrivals := range sortedGroups(history.arrivalsByRequest()) {
		if len(arrivals) > 1 && !history.Requests[id].Repeatable {
			found = append(found, fmt.Sprintf("%s ran %d times: at %s and %s", id, len(arrivals), arrivals[0].Machine, arrivals[1].Machine))
		}
	}
	return found
}

func falseNotRun(history *History, _ Bounds, _ []Disturbance) []string {
	arrivals := history.arrivalsByRequest()
	var found []string
	for _, answer := range history.Answers {
		if ran := arrivals[answer.Request]; answer.Outcome == OutcomeNotRun && len(ran) > 0 {
			found = append(found, fmt.Sprintf("%s: reported at %s as not run, but ran on %s at %s", answer.Request, answer.At, ran[0].Machine, ran[0].At))
		}
	}
	return found
}

// unansweredPlainRequests finds requests that need no model and failed although neither their router nor a
// machine was disturbed: failures of control nodes must not affect them.
func unansweredPlainRequests(history *History, bounds Bounds, disturbances []Disturbance) []string {
	var found []string
	for _, answer := range history.Answers {
		request := history.Requests[answer.Request]
		if answer.Outcome == OutcomeAnswered || !request.Plain || bounds.isExplained(disturbances, request, answer.At) {
			continue
		}
		found = append(found, fmt.Sprintf("%s at %s, sent at %s: %s at %s", answer.Request, request.Router, request.Sent, answer.Kind, answer.At))
	}
	return found
}

// isExplained reports whether a disturbance of the request's router or of a machine explains that the request
// failed at the given time.
func (b Bounds) isExplained(disturbances []Disturbance, request Request, failed time.Duration) bool {
	return slices.ContainsFunc(disturbances, func(disturbance Disturbance) bool {
		applies := disturbance.Node == request.Router || disturbance.Node == ""
		return applies && disturbance.Start <= failed && request.Sent <= b.recoveredBy(disturbances, disturbance)
	})
}

// recoveredBy returns the time by which a disturbed node must have recovered its state. A restarted node
// fetches its state from the control nodes, which can't serve it while more of them are disturbed than are
// tolerated.
func (b Bounds) recoveredBy(disturbances []Disturbance, own Disturbance) time.Duration {
	end := own.End
	for b.exceedsTolerance(disturbances, own.Start, end) {
		before := end
		for _, other := range disturbances {
			if other.IsControl && other.Start <= end && other.End+b.CatchUpTime >= own.Start {
				end = max(end, other.End+b.CatchUpTime)
			}
		}
		if end == before {
			break
		}
	}
	return end
}

// controlCatchUpTime runs from the end of a disturbance until the control node no longer counts as disturbed.
const controlCatchUpTime = time.Second

// exceedsTolerance reports whether, during an interval or shortly before, more control nodes were disturbed
// at the same time than are tolerated.
func (b Bounds) exceedsTolerance(disturbances []Disturbance, start, end time.Duration) bool {
	for _, newest := range disturbances {
		if !newest.IsControl || newest.Start > end || start > newest.End+b.CatchUpTime {
			continue
		}
		disturbed := map[string]bool{}
		for _, other := range disturbances {
			if other.IsControl && other.Start <= newest.Start && newest.Start <= other.End+controlCatchUpTime {
				disturbed[other.Node] = true
			}
		}
		if len(disturbed) > b.ToleratedNodes {
			return true
		}
	}
	return false
}

func staleReads(history *History, bounds Bounds, _ []Disturbance) []string {
	var found []string
	for _, read := range history.Reads {
		for _, order := range history.Orders {
			if order.Kind == OrderDeclare && read.Sent > order.Acknowledged+bounds.ApplyTimeout && read.Version < order.Version {
				found = append(found, fmt.Sprintf("%s returned version %d at %s, after version %d was acknowledged at %s", read.Node, read.Version, read.Sent, order.Version, order.Acknowledged))
				break
			}
		}
	}
	return found
}

// unacknowledgedOrders finds orders that no control node acknowledged although no more of them were disturbed
// than are tolerated.
func unacknowledgedOrders(history *History, bounds Bounds, disturbances []Disturbance) []string {
	var found []string
	for _, order := range history.Ignored {
		if !bounds.exceedsTolerance(disturbances, order.Sent, order.Acknowledged) {
			found = append(found, fmt.Sprintf("no control node acknowledged an order (%d, version %d, zone %q) from %s to %s", order.Kind, order.Version, order.Zone, order.Sent, order.Acknowledged))
		}
	}
	return found
}

// drainInterval is an interval in which no request may reach a zone.
type drainInterval struct {
	zone       string
	start, end time.Duration
}

// drainIntervals returns, for each acknowledged drain, the interval until the next order that ends it.
func (h *History) drainIntervals(bounds Bounds) []drainInterval {
	var intervals []drainInterval
	for _, order := range h.Orders {
		if order.Kind != OrderDrain {
			continue
		}
		interval := drainInterval{zone: order.Zone, start: order.Acknowledged + bounds.DrainTimeout, end: math.MaxInt64}
		for _, later := range h.Orders {
			if later.Kind == OrderUndrain && later.Zone == order.Zone && later.Sent > order.Sent {
				interval.end = min(interval.end, later.Sent)
			}
		}
		intervals = append(intervals, interval)
	}
	return intervals
}

func arrivalsInDrainedZones(history *History, bounds Bounds, disturbances []Disturbance) []string {
	var found []string
	intervals := history.drainIntervals(bounds)
	for _, arrival := range history.Arrivals {
		for _, interval := range intervals {
			if arrival.Place.Zone != interval.zone || arrival.At <= interval.start || arrival.At >= interval.end {
				continue
			}
			router := history.senderOf(arrival.Router, arrival.Request)
			if !bounds.mayBeStale(disturbances, router, arrival.At) {
				found = append(found, fmt.Sprintf("%s reached %s in drained zone %s at %s through %s, %s too late", arrival.Request, arrival.Machine, interval.zone, arrival.At, router, arrival.At-interval.start))
			}
		}
	}
	return found
}

// mayBeStale reports whether a router may have stale state: it was disturbed shortly before, or more control
// nodes were than are tolerated.
func (b Bounds) mayBeStale(disturbances []Disturbance, router string, at time.Duration) bool {
	own := slices.ContainsFunc(disturbances, func(disturbance Disturbance) bool {
		return disturbance.Node == router && !disturbance.RequestsOnly && disturbance.Start <= at && at <= disturbance.End+b.CatchUpTime
	})
	return own || b.exceedsTolerance(disturbances, at, at)
}

// overloadedWarmingMachines checks the arrivals in a sliding window of one second.
func overloadedWarmingMachines(history *History, bounds Bounds, _ []Disturbance) []string {
	times := map[string][]time.Duration{}
	for _, arrival := range history.Arrivals {
		if arrival.Warming {
			times[arrival.Machine] = append(times[arrival.Machine], arrival.At)
		}
	}
	var found []string
	for machine, arrived := range sortedGroups(times) {
		slices.Sort(arrived)
		first := 0
		for last, at := range arrived {
			for at-arrived[first] >= time.Second {
				first++
			}
			if count := last - first + 1; count > bounds.MaxWarmingPerSecond {
				found = append(found, fmt.Sprintf("%s got %d requests in the second before %s while warming up", machine, count, at))
				break
			}
		}
	}
	return found
}

const (
	// limitWindow is the sliding window in which requests to a machine with a rate limit are counted.
	limitWindow = 4 * time.Second
	// All routers together may send limitFactor times the stated limit plus limitSlack requests per window.
	limitFactor, limitSlack = 1.5, 5
)

// exceededLimits checks the arrivals at machines that state a rate limit. Arrivals from routers that may not
// know of the limit are left out.
func exceededLimits(history *History, bounds Bounds, disturbances []Disturbance) []string {
	arrivals := map[string][]Arrival{}
	for _, arrival := range history.Arrivals {
		if arrival.Limit > 0 && !bounds.mayBeStale(disturbances, history.senderOf(arrival.Router, arrival.Request), arrival.At) {
			arrivals[arrival.Machine] = append(arrivals[arrival.Machine], arrival)
		}
	}
	var found []string
	for machine, arrived := range sortedGroups(arrivals) {
		slices.SortFunc(arrived, func(left, right Arrival) int { return cmp.Compare(left.At, right.At) })
		first := 0
		for last, each := range arrived {
			for each.At-arrived[first].At >= limitWindow {
				first++
			}
			if count := last - first + 1; float64(count) > limitFactor*each.Limit*limitWindow.Seconds()+limitSlack {
				found = append(found, fmt.Sprintf("%s got %d requests in the %s before %s, with a limit of %g a second", machine, count, limitWindow, each.At, each.Limit))
				break
			}
		}
	}
	return found
}

func arrivalsInForbiddenRegions(history *History, _ Bounds, _ []Disturbance) []string {
	var found []string
	for _, arrival := range history.Arrivals {
		if request := history.Requests[arrival.Request]; !request.Allowed.Allows(arrival.Place.Region) {
			found = append(found, fmt.Sprintf("%s, %s, reached %s in region %q", arrival.Request, request.Allowed.Key(), arrival.Machine, arrival.Place.Region))
		}
	}
	return found
}

// sortedGroups visits the groups in the order of their names, so that reports are deterministic.
func sortedGroups[T any](groups map[string][]T) func(yield func(string, []T) bool) {
	return func(yield func(string, []T) bool) {
		for _, name := range slices.SortedFunc(maps.Keys(groups), cmp.Compare[string]) {
			if !yield(name, groups[name]) {
				return
			}
		}
	}
}
