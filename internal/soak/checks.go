package soak

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Bounds are what operators were promised.
type Bounds struct {
	// Apply is how long after its acknowledgement a configuration may not be in force.
	Apply time.Duration
	// Drain is how long after the acknowledgement of a zone's drain requests may still come.
	Drain time.Duration
	// Contact is how long after a disturbance a router may not know what the others know.
	Contact time.Duration
	// Tolerated is how many control nodes may be disturbed at once without anybody's feeling it.
	Tolerated int
	// WarmingPerSecond is how many requests a machine that warms up may get in a second.
	WarmingPerSecond int
}

// Violation is a broken promise.
type Violation struct {
	// Promise names the check.
	Promise string `json:"promise"`
	Detail  string `json:"detail"`
}

// check returns what of a history breaks one promise.
type check struct {
	promise string
	find    func(history *History, bounds Bounds, disturbances []Disturbance) []string
}

// checks are all promises that are judged.
var checks = []check{
	{"whole-answers", wrongAnswers},
	{"no-denials", denials},
	{"at-most-once", repeatedRuns},
	{"not-run", untrueRefusals},
	{"plain-requests", unansweredPlain},
	{"orders", ignoredOrders},
	{"configuration", oldReads},
	{"zone-drains", arrivalsInDrainedZones},
	{"warming-machines", floodedMachines},
	{"machine-limits", overrunLimits},
	{"machine-rests", arrivalsDuringRests},
	{"leaving-machines", arrivalsAtLeaving},
	{"regions", forbiddenRegions},
	{"memory", func(history *History, _ Bounds, _ []Disturbance) []string { return history.Overcommits }},
	{"recovery", func(history *History, _ Bounds, _ []Disturbance) []string { return history.Unserved }},
}

// Judge returns the promises that a history breaks, in the order of the checks. The history must
// not be recorded to any more.
func Judge(history *History, bounds Bounds, disturbances []Disturbance) []Violation {
	var violations []Violation
	for _, each := range checks {
		for _, detail := range each.find(history, bounds, disturbances) {
			violations = append(violations, Violation{Promise: each.promise, Detail: detail})
		}
	}
	return violations
}

func wrongAnswers(history *History, _ Bounds, _ []Disturbance) []string {
	var found []string
	for _, answer := range history.Answers {
		if answer.Outcome == OutcomeAnswered && !answer.Right {
			found = append(found, fmt.Sprintf("%s: the answer at %s is not the whole one to it", answer.Request, answer.At))
		}
	}
	return found
}

// denials are of requests that every configuration allows.
func denials(history *History, _ Bounds, _ []Disturbance) []string {
	var found []string
	for _, answer := range history.Answers {
		if answer.Outcome == OutcomeDenied {
			found = append(found, fmt.Sprintf("%s was denied at %s by %s", answer.Request, answer.At, history.Requests[answer.Request].Router))
		}
	}
	return found
}

// arrivalsOf groups the arrivals by request.
func (h *History) arrivalsOf() map[string][]Arrival {
	grouped := map[string][]Arrival{}
	for _, arrival := range h.Arrivals {
		grouped[arrival.Request] = append(grouped[arrival.Request], arrival)
	}
	return grouped
}

func repeatedRuns(history *History, _ Bounds, _ []Disturbance) []string {
	var found []string
	for id, arrivals := range sortedGroups(history.arrivalsOf()) {
		if len(arrivals) > 1 && !history.Requests[id].Repeatable {
			found = append(found, fmt.Sprintf("%s ran %d times: at %s and %s", id, len(arrivals), arrivals[0].Machine, arrivals[1].Machine))
		}
	}
	return found
}

func untrueRefusals(history *History, _ Bounds, _ []Disturbance) []string {
	arrivals := history.arrivalsOf()
	var found []string
	for _, answer := range history.Answers {
		if ran := arrivals[answer.Request]; answer.Outcome == OutcomeNotRun && len(ran) > 0 {
			found = append(found, fmt.Sprintf("%s: said at %s not to have run, but ran at %s at %s", answer.Request, answer.At, ran[0].Machine, ran[0].At))
		}
	}
	return found
}

// unansweredPlain are requests that need no model and were not answered, by routers that were not
// disturbed, while no machine ended: what strikes control nodes must not be felt by them.
func unansweredPlain(history *History, bounds Bounds, disturbances []Disturbance) []string {
	var found []string
	for _, answer := range history.Answers {
		request := history.Requests[answer.Request]
		if answer.Outcome == OutcomeAnswered || !request.Plain || bounds.feels(disturbances, request, answer.At) {
			continue
		}
		found = append(found, fmt.Sprintf("%s at %s, sent at %s: %s at %s", answer.Request, request.Router, request.Sent, answer.Kind, answer.At))
	}
	return found
}

// feels reports whether a fault explains why a request was not answered by a moment: its router
// was disturbed, or a machine.
func (b Bounds) feels(disturbances []Disturbance, request Request, answered time.Duration) bool {
	return slices.ContainsFunc(disturbances, func(each Disturbance) bool {
		concerned := each.Node == request.Router || each.Node == ""
		return concerned && each.From <= answered && request.Sent <= b.heldUp(disturbances, each)
	})
}

// heldUp is until when somebody who was disturbed may lack what it needs: one that starts again
// gets it from the control nodes, and waits for these as long as more of them are disturbed than are
// tolerated, and for a contact with them.
func (b Bounds) heldUp(disturbances []Disturbance, own Disturbance) time.Duration {
	till := own.Till
	for b.intolerable(disturbances, own.From, till) {
		before := till
		for _, each := range disturbances {
			if each.Control && each.From <= till && each.Till+b.Contact >= own.From {
				till = max(till, each.Till+b.Contact)
			}
		}
		if till == before {
			break
		}
	}
	return till
}

// settleTime is how long after a disturbance a control node may still be behind, so that the next
// one's comes on top.
const settleTime = time.Second

// intolerable reports whether, during a span or shortly before, more control nodes were disturbed at
// the same time than are tolerated.
func (b Bounds) intolerable(disturbances []Disturbance, from, till time.Duration) bool {
	for _, newest := range disturbances {
		if !newest.Control || newest.From > till || from > newest.Till+b.Contact {
			continue
		}
		struck := map[string]bool{}
		for _, other := range disturbances {
			if other.Control && other.From <= newest.From && newest.From <= other.Till+settleTime {
				struck[other.Node] = true
			}
		}
		if len(struck) > b.Tolerated {
			return true
		}
	}
	return false
}

func oldReads(history *History, bounds Bounds, _ []Disturbance) []string {
	var found []string
	for _, read := range history.Reads {
		for _, order := range history.Orders {
			if order.Kind == OrderDeclare && read.Sent > order.Acknowledged+bounds.Apply && read.Version < order.Version {
				found = append(found, fmt.Sprintf("%s told version %d at %s, %d was acknowledged at %s", read.Node, read.Version, read.Sent, order.Version, order.Acknowledged))
				break
			}
		}
	}
	return found
}

// ignoredOrders are those that nobody acknowledged though no more control nodes were disturbed than
// are tolerated.
func ignoredOrders(history *History, bounds Bounds, disturbances []Disturbance) []string {
	var found []string
	for _, order := range history.Ignored {
		if !bounds.intolerable(disturbances, order.Sent, order.Acknowledged) {
			found = append(found, fmt.Sprintf("nobody acknowledged an order (%d, version %d, zone %q) from %s to %s", order.Kind, order.Version, order.Zone, order.Sent, order.Acknowledged))
		}
	}
	return found
}

// drain is a span in which a zone was to get nothing.
type drain struct {
	zone       string
	from, till time.Duration
}

// drains returns the spans between acknowledged drains and the next order that took each back.
func (h *History) drains(bounds Bounds) []drain {
	var spans []drain
	for _, order := range h.Orders {
		if order.Kind != OrderDrain {
			continue
		}
		span := drain{zone: order.Zone, from: order.Acknowledged + bounds.Drain, till: math.MaxInt64}
		for _, later := range h.Orders {
			if later.Kind == OrderUndrain && later.Zone == order.Zone && later.Sent > order.Sent {
				span.till = min(span.till, later.Sent)
			}
		}
		spans = append(spans, span)
	}
	return spans
}

func arrivalsInDrainedZones(history *History, bounds Bounds, disturbances []Disturbance) []string {
	var found []string
	spans := history.drains(bounds)
	for _, arrival := range history.Arrivals {
		for _, span := range spans {
			if arrival.Place.Zone != span.zone || arrival.At <= span.from || arrival.At >= span.till {
				continue
			}
			router := history.Requests[arrival.Request].Router
			if !bounds.mayNotKnow(disturbances, router, arrival.At) {
				found = append(found, fmt.Sprintf("%s reached %s in zone %s at %s by %s, %s too late", arrival.Request, arrival.Machine, span.zone, arrival.At, router, arrival.At-span.from))
			}
		}
	}
	return found
}

// mayNotKnow reports whether a router may lack what all are to know: it was disturbed itself shortly
// before, or more control nodes were than are tolerated.
func (b Bounds) mayNotKnow(disturbances []Disturbance, router string, at time.Duration) bool {
	own := slices.ContainsFunc(disturbances, func(each Disturbance) bool {
		return each.Node == router && !each.Requests && each.From <= at && at <= each.Till+b.Contact
	})
	return own || b.intolerable(disturbances, at, at)
}

// floodedMachines looks at every span of a second that begins with an arrival.
func floodedMachines(history *History, bounds Bounds, _ []Disturbance) []string {
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
			if count := last - first + 1; count > bounds.WarmingPerSecond {
				found = append(found, fmt.Sprintf("%s got %d requests in the second before %s while it warmed up", machine, count, at))
				break
			}
		}
	}
	return found
}

const (
	// limitWindow is the span in which the requests to a machine that names a limit are counted.
	limitWindow = 4 * time.Second
	// limitFactor and limitSlack are by how much routers may exceed what it takes in that span.
	limitFactor, limitSlack = 1.5, 5
)

// overrunLimits looks at every span of limitWindow that begins with an arrival at a machine that names a
// limit. Requests of routers that may not know of it are left out.
func overrunLimits(history *History, bounds Bounds, disturbances []Disturbance) []string {
	arrivals := map[string][]Arrival{}
	for _, arrival := range history.Arrivals {
		if arrival.Limit > 0 && !bounds.mayNotKnow(disturbances, history.Requests[arrival.Request].Router, arrival.At) {
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
				found = append(found, fmt.Sprintf("%s got %d requests in the %s before %s, and takes %g a second", machine, count, limitWindow, each.At, each.Limit))
				break
			}
		}
	}
	return found
}

func forbiddenRegions(history *History, _ Bounds, _ []Disturbance) []string {
	var found []string
	for _, arrival := range history.Arrivals {
		if request := history.Requests[arrival.Request]; !request.Allowed.Allows(arrival.Place.Region) {
			found = append(found, fmt.Sprintf("%s, %s, reached %s in region %q", arrival.Request, request.Allowed.Key(), arrival.Machine, arrival.Place.Region))
		}
	}
	return found
}

// sortedGroups visits groups by name, so that the same history is always told alike.
func sortedGroups[T any](groups map[string][]T) func(yield func(string, []T) bool) {
	return func(yield func(string, []T) bool) {
		for _, name := range slices.SortedFunc(maps.Keys(groups), cmp.Compare[string]) {
			if !yield(name, groups[name]) {
				return
			}
		}
	}
}
