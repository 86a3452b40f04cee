package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	backoffDuration = 4 * time.Second
	// leaveDuration runs from the announcement of a machine until it terminates.
	leaveDuration     = 6 * time.Second
	maxStatementPause = 2 * time.Second
)

// NewBackoffAndLeavePlan draws machines that reject requests with Retry-After and machines that announce that
// they are leaving, each kind one at a time. It has a random source of its own, so that the other faults of a
// seed don't depend on it.
func NewBackoffAndLeavePlan(seed uint64, layout Layout, span time.Duration) []Fault {
	faults := faultSeries{random: rand.New(rand.NewPCG(seed, 3)), layout: layout, span: span}
	return MergePlans(
		faults.ofMachines(FaultRestMachine, backoffDuration, maxStatementPause),
		faults.ofMachines(FaultLeaveMachine, leaveDuration, maxStatementPause),
	)
}

// Rejection is a request that a machine rejected without running it, with Retry-After.
type Rejection struct {
	Request string
	Machine string
	At      time.Duration
	// Rest is the value of Retry-After.
	Rest time.Duration
	// Router is the router that sent the request; empty if unknown.
	Router string
}

// LeavingAnswer is a response in which a machine announced that it is leaving.
type LeavingAnswer struct {
	Request string
	Machine string
}

const (
	// inFlightGrace allows for requests that a router had sent before it read the rejection.
	inFlightGrace            = 500 * time.Millisecond
	maxArrivalsDuringBackoff = 2
)

// routerMachine is a router and a machine that it sends requests to.
type routerMachine struct {
	router, machine string
}

// requestTimes returns when requests reached a machine, run or rejected, by router and machine.
func (h *History) requestTimes() map[routerMachine][]time.Duration {
	times := map[routerMachine][]time.Duration{}
	add := func(router, machine string, at time.Duration) {
		pair := routerMachine{router: router, machine: machine}
		times[pair] = append(times[pair], at)
	}
	for _, arrival := range h.Arrivals {
		add(h.senderOf(arrival.Router, arrival.Request), arrival.Machine, arrival.At)
	}
	for _, rejection := range h.Rejections {
		add(h.senderOf(rejection.Router, rejection.Request), rejection.Machine, rejection.At)
	}
	return times
}

func (h *History) answersByRequest() map[string]Answer {
	answers := map[string]Answer{}
	for _, answer := range h.Answers {
		answers[answer.Request] = answer
	}
	return answers
}

// ConfirmedBackoffs returns the rejections that the router is known to have read in time: it answered that
// the request had not run, which it does only after the machine's response.
func (h *History) ConfirmedBackoffs() []Rejection {
	answers := h.answersByRequest()
	var confirmed []Rejection
	for _, rejection := range h.Rejections {
		answer, isAnswered := answers[rejection.Request]
		if isAnswered && answer.Outcome == OutcomeNotRun && answer.At <= rejection.At+inFlightGrace {
			confirmed = append(confirmed, rejection)
		}
	}
	return confirmed
}

// arrivalsDuringBackoff finds machines that got more than maxArrivalsDuringBackoff requests from a router
// during a backoff that they had requested from it. Routers that were disturbed meanwhile are left out.
func arrivalsDuringBackoff(history *History, _ Bounds, disturbances []Disturbance) []string {
	times := history.requestTimes()
	var found []string
	for _, rejection := range history.ConfirmedBackoffs() {
		router := history.senderOf(rejection.Router, rejection.Request)
		until := rejection.At + rejection.Rest
		if isDisturbed(disturbances, router, rejection.At, until) {
			continue
		}
		count := 0
		for _, at := range times[routerMachine{router: router, machine: rejection.Machine}] {
			if at > rejection.At+inFlightGrace && at < until {
				count++
			}
		}
		if count > maxArrivalsDuringBackoff {
			found = append(found, fmt.Sprintf("%s asked %s at %s for a back-off of %s, but got %d requests from it", rejection.Machine, router, rejection.At, rejection.Rest, count))
		}
	}
	return found
}

// leavingTimes returns when each router first forwarded a response in which a machine announced that it is
// leaving. Requests that ran more than once are left out: the forwarded response may be another machine's.
func (h *History) leavingTimes() map[routerMachine]time.Duration {
	answers, arrivals := h.answersByRequest(), h.arrivalsByRequest()
	times := map[routerMachine]time.Duration{}
	for _, leaving := range h.Leaving {
		answer, isAnswered := answers[leaving.Request]
		if !isAnswered || answer.Outcome != OutcomeAnswered || len(arrivals[leaving.Request]) != 1 {
			continue
		}
		pair := routerMachine{router: h.senderOf(arrivals[leaving.Request][0].Router, leaving.Request), machine: leaving.Machine}
		if earliest, known := times[pair]; !known || answer.At < earliest {
			times[pair] = answer.At
		}
	}
	return times
}

// arrivalsAtLeavingMachines finds requests that reached a leaving machine although their router had
// forwarded the machine's announcement more than Bounds.DrainTimeout before they were sent.
func arrivalsAtLeavingMachines(history *History, bounds Bounds, disturbances []Disturbance) []string {
	leavingTimes := history.leavingTimes()
	var found []string
	for _, arrival := range history.Arrivals {
		request := history.Requests[arrival.Request]
		router := history.senderOf(arrival.Router, arrival.Request)
		since, isLeaving := leavingTimes[routerMachine{router: router, machine: arrival.Machine}]
		if !isLeaving || request.Sent <= since+bounds.DrainTimeout || isDisturbed(disturbances, router, since, arrival.At) {
			continue
		}
		found = append(found, fmt.Sprintf("%s, sent to %s at %s, reached %s, which had announced to that router at %s that it is leaving", arrival.Request, router, request.Sent, arrival.Machine, since))
	}
	return found
}

// isDisturbed reports whether the state of a node was disturbed in an interval.
func isDisturbed(disturbances []Disturbance, node string, start, end time.Duration) bool {
	return slices.ContainsFunc(disturbances, func(disturbance Disturbance) bool {
		return disturbance.Node == node && !disturbance.RequestsOnly && disturbance.Start <= end && start <= disturbance.End
	})
}
