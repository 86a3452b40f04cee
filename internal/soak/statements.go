package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// restTime is for how long a machine rejects all requests, each with a rest; the next one begins within
	// statementPause of its end.
	restTime = 4 * time.Second
	// leaveTime is for how long a machine says that it is leaving before it ends.
	leaveTime      = 6 * time.Second
	statementPause = 2 * time.Second
)

// Statements draws machines that ask for rests and, beside them, machines that say that they are leaving, each
// kind one at a time. They have random numbers of their own, so that the other faults of a seed are what they are
// without them.
func Statements(seed uint64, layout Layout, span time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 3))
	series := func(kind FaultKind, lasts time.Duration) (drawn []Fault) {
		for at := calmStart; ; at += lasts {
			at += time.Duration(random.Int64N(int64(statementPause)))
			if at+lasts+restartTime > span {
				return drawn
			}
			drawn = append(drawn, Fault{Kind: kind, At: at, For: lasts, Machine: random.IntN(layout.Machines)})
		}
	}
	return Together(series(FaultRestMachine, restTime), series(FaultLeaveMachine, leaveTime))
}

// Rejection is a request that a machine turned away, and asked the router that sent it for a rest.
type Rejection struct {
	Request string
	Machine string
	At      time.Duration
	Rest    time.Duration
}

// LeavingAnswer is an answer in which a machine said that it is leaving.
type LeavingAnswer struct {
	Request string
	Machine string
}

const (
	// restGrace is how long after its rejection a machine may get requests that were under way.
	restGrace = 500 * time.Millisecond
	// mostDuringRest is how many requests may reach it from then to the end of the rest.
	mostDuringRest = 2
)

// passage is a router's way to a machine.
type passage struct {
	router, machine string
}

// passages groups the times at which requests reached machines, run or not, by whence they came.
func (h *History) passages() map[passage][]time.Duration {
	times := map[passage][]time.Duration{}
	note := func(request, machine string, at time.Duration) {
		taken := passage{router: h.Requests[request].Router, machine: machine}
		times[taken] = append(times[taken], at)
	}
	for _, arrival := range h.Arrivals {
		note(arrival.Request, arrival.Machine, arrival.At)
	}
	for _, rejection := range h.Rejections {
		note(rejection.Request, rejection.Machine, rejection.At)
	}
	return times
}

// answersOf returns the answers by request.
func (h *History) answersOf() map[string]Answer {
	answers := map[string]Answer{}
	for _, answer := range h.Answers {
		answers[answer.Request] = answer
	}
	return answers
}

// JudgedRests are the rejections that the router is known to have read in time: it said that the request had
// not run, which it can't say while it waits for a machine.
func (h *History) JudgedRests() []Rejection {
	answers := h.answersOf()
	var judged []Rejection
	for _, rejection := range h.Rejections {
		answer, isAnswered := answers[rejection.Request]
		if isAnswered && answer.Outcome == OutcomeNotRun && answer.At <= rejection.At+restGrace {
			judged = append(judged, rejection)
		}
	}
	return judged
}

// arrivalsDuringRests are requests that reached a machine after it had asked their router for a rest. A router
// that was disturbed since may not know of it.
func arrivalsDuringRests(history *History, _ Bounds, disturbances []Disturbance) []string {
	times := history.passages()
	var found []string
	for _, rejection := range history.JudgedRests() {
		router := history.Requests[rejection.Request].Router
		until := rejection.At + rejection.Rest
		if isDisturbed(disturbances, router, rejection.At, until) {
			continue
		}
		count := 0
		for _, at := range times[passage{router: router, machine: rejection.Machine}] {
			if at > rejection.At+restGrace && at < until {
				count++
			}
		}
		if count > mostDuringRest {
			found = append(found, fmt.Sprintf("%s asked %s at %s for a rest of %s, and got %d requests from it", rejection.Machine, router, rejection.At, rejection.Rest, count))
		}
	}
	return found
}

// departures returns when each router had passed on an answer that said that its machine is leaving. Only
// requests that reached a single machine tell.
func (h *History) departures() map[passage]time.Duration {
	answers, arrivals := h.answersOf(), h.arrivalsOf()
	departures := map[passage]time.Duration{}
	for _, leaving := range h.Leaving {
		answer, isAnswered := answers[leaving.Request]
		if !isAnswered || answer.Outcome != OutcomeAnswered || len(arrivals[leaving.Request]) != 1 {
			continue
		}
		taken := passage{router: h.Requests[leaving.Request].Router, machine: leaving.Machine}
		if earliest, known := departures[taken]; !known || answer.At < earliest {
			departures[taken] = answer.At
		}
	}
	return departures
}

// arrivalsAtLeaving are requests that reached a machine though their router had passed on, well before they were
// sent, that it is leaving.
func arrivalsAtLeaving(history *History, bounds Bounds, disturbances []Disturbance) []string {
	departures := history.departures()
	var found []string
	for _, arrival := range history.Arrivals {
		request := history.Requests[arrival.Request]
		since, isLeaving := departures[passage{router: request.Router, machine: arrival.Machine}]
		if !isLeaving || request.Sent <= since+bounds.Drain || isDisturbed(disturbances, request.Router, since, arrival.At) {
			continue
		}
		found = append(found, fmt.Sprintf("%s, sent to %s at %s, reached %s, which had said there at %s that it is leaving", arrival.Request, request.Router, request.Sent, arrival.Machine, since))
	}
	return found
}

// isDisturbed reports whether a node was disturbed in a span. What only holds up requests does not count.
func isDisturbed(disturbances []Disturbance, node string, from, till time.Duration) bool {
	return slices.ContainsFunc(disturbances, func(each Disturbance) bool {
		return each.Node == node && !each.Requests && each.From <= till && from <= each.Till
	})
}
