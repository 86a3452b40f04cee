package soak

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Send is a request that reached a machine, which ran or rejected it.
type Send struct {
	Request string
	Machine string
	Pool    string
	At      time.Duration
	// Remaining is the time that the machine was given for the request; 0 if none was stated.
	Remaining time.Duration
	// Router is the router that sent the request; empty if unknown.
	Router string
}

// firstSends splits the sends into the first one of each request and the retries, both in the order of time.
func (h *History) firstSends() (first, retries []Send) {
	sends := slices.Clone(h.Sends)
	slices.SortStableFunc(sends, func(left, right Send) int { return cmp.Compare(left.At, right.At) })
	seen := map[string]bool{}
	for _, send := range sends {
		if seen[send.Request] {
			retries = append(retries, send)
			continue
		}
		seen[send.Request] = true
		first = append(first, send)
	}
	return first, retries
}

// CountRetries returns the number of sends that were not the first one of their request.
func (h *History) CountRetries() int {
	_, retries := h.firstSends()
	return len(retries)
}

func (h *History) sendsByRequest() map[string][]Send {
	grouped := map[string][]Send{}
	for _, send := range h.Sends {
		grouped[send.Request] = append(grouped[send.Request], send)
	}
	return grouped
}

// RetryBudget is the bound on the retries of all routers at a pool: in any window at most Slack, and Ratio for each
// request that clients sent in the window, in the one before or in the one half a window before.
type RetryBudget struct {
	Ratio  float64
	Slack  int
	Window time.Duration
}

// RetryWindow is a window and the retries in it.
type RetryWindow struct {
	Pool              string
	End               time.Duration
	Retries, Requests int
	// Share is the share of the budget that was used.
	Share float64
}

// FullestRetryWindows returns the window of each pool that used the largest share of the budget, in the order of pools.
func (h *History) FullestRetryWindows(budget RetryBudget) []RetryWindow {
	requests, retries := map[string][]time.Duration{}, map[string][]time.Duration{}
	for _, request := range h.Requests {
		requests[request.Pool] = append(requests[request.Pool], request.Sent)
	}
	_, resent := h.firstSends()
	for _, send := range resent {
		retries[send.Pool] = append(retries[send.Pool], send.At)
	}
	var fullest []RetryWindow
	for pool, times := range sortedGroups(retries) {
		slices.Sort(requests[pool])
		window := budget.fullestWindow(requests[pool], times)
		window.Pool = pool
		fullest = append(fullest, window)
	}
	return fullest
}

// fullestWindow considers the windows that end with a retry; both lists are sorted.
func (b RetryBudget) fullestWindow(requests, retries []time.Duration) (fullest RetryWindow) {
	for _, end := range retries {
		window := RetryWindow{End: end, Retries: countBetween(retries, end-b.Window, end)}
		for _, shift := range []time.Duration{0, b.Window / 2, b.Window} {
			window.Requests = max(window.Requests, countBetween(requests, end-b.Window-shift, end-shift))
		}
		window.Share = float64(window.Retries) / (b.Ratio*float64(window.Requests) + float64(b.Slack))
		if window.Share > fullest.Share {
			fullest = window
		}
	}
	return fullest
}

// countBetween returns the number of sorted times after a start, up to and including an end.
func countBetween(times []time.Duration, start, end time.Duration) int {
	first, _ := slices.BinarySearch(times, start+1)
	last, _ := slices.BinarySearch(times, end+1)
	return last - first
}

// exceededRetryBudgets finds pools that got more retries in a window than the budget allows.
func exceededRetryBudgets(history *History, bounds Bounds, _ []Disturbance) []string {
	if bounds.Retries.Window == 0 {
		return nil
	}
	var found []string
	for _, window := range history.FullestRetryWindows(bounds.Retries) {
		if window.Share > 1 {
			found = append(found, fmt.Sprintf("%s got %d retries in the %s before %s, %.2f times what its budget allows for %d requests",
				window.Pool, window.Retries, bounds.Retries.Window, window.End, window.Share, window.Requests))
		}
	}
	return found
}

// SendEnd is when a machine had answered a request, or noticed that its connection was closed.
type SendEnd struct {
	Request string
	Machine string
	At      time.Duration
}

// exceededAttempts finds requests that were at more machines at the same time than their route allows.
func exceededAttempts(history *History, _ Bounds, _ []Disturbance) []string {
	type attempt struct{ request, machine string }
	ends := map[attempt][]time.Duration{}
	for _, end := range history.SendEnds {
		ended := attempt{request: end.Request, machine: end.Machine}
		ends[ended] = append(ends[ended], end.At)
	}
	var found []string
	for id, sent := range history.sendsBeyondLimit() {
		limit := history.Requests[id].MaxAttempts
		for _, newest := range sent {
			running := 0
			for _, send := range sent {
				if send.At <= newest.At && !endsBetween(ends[attempt{request: id, machine: send.Machine}], send.At, newest.At) {
					running++
				}
			}
			if running > limit {
				found = append(found, fmt.Sprintf("%s was at %d machines when %s sent it to %s at %s; its route allows %d", id, running, newest.Router, newest.Machine, newest.At, limit))
				break
			}
		}
	}
	return found
}

func endsBetween(ends []time.Duration, start, end time.Duration) bool {
	return slices.ContainsFunc(ends, func(at time.Duration) bool { return start <= at && at < end })
}

// sendsBeyondLimit visits the requests that were sent to more machines than their route allows, at once or in turn.
func (h *History) sendsBeyondLimit() func(yield func(string, []Send) bool) {
	sends := h.sendsByRequest()
	maps.DeleteFunc(sends, func(id string, sent []Send) bool {
		limit := h.Requests[id].MaxAttempts
		return limit == 0 || len(sent) <= limit
	})
	return sortedGroups(sends)
}

// CountSentBeyondLimit returns the number of requests that were sent to more machines than their route allows.
func (h *History) CountSentBeyondLimit() (count int) {
	for range h.sendsBeyondLimit() {
		count++
	}
	return count
}

const (
	// lateAfter is by how much the time that a machine is given may exceed what remains to the client.
	lateAfter = 500 * time.Millisecond
	// Up to maxLateDeadlines may exceed it by more, or up to maxLateShare of these and of the retries that are sent more than
	// lateAfter after the first send.
	maxLateDeadlines = 20
	maxLateShare     = 0.2
)

// lateDeadlines finds machines that were given more time than remained to the clients. Sends of routers that were disturbed
// are left out, and those that the network may have held back on their way to a machine.
func lateDeadlines(history *History, bounds Bounds, disturbances []Disturbance) []string {
	firstAt := map[string]time.Duration{}
	first, _ := history.firstSends()
	for _, send := range first {
		firstAt[send.Request] = send.At
	}
	var late []Send
	considered := 0
	for _, send := range history.Sends {
		request, known := history.Requests[send.Request]
		if !known || bounds.mayBeStale(disturbances, history.senderOf(send.Router, send.Request), send.At) || isUnplanned(disturbances, "", send.At, send.At) {
			continue
		}
		isLate := send.Remaining == 0 || send.At+send.Remaining > request.Sent+request.Deadline+lateAfter
		if isLate {
			late = append(late, send)
		}
		if isLate || send.At > firstAt[send.Request]+lateAfter {
			considered++
		}
	}
	if len(late) <= maxLateDeadlines || float64(len(late)) <= maxLateShare*float64(considered) {
		return nil
	}
	return []string{fmt.Sprintf("%d sends, of %d that were late or retries, gave machines more time than remained; the first is %s at %s", len(late), considered, late[0].Request, late[0].At)}
}

// MachineEnd is when a machine terminated.
type MachineEnd struct {
	Machine string
	At      time.Duration
}

const (
	// plannedMargin extends a planned stop until its process is gone.
	plannedMargin = time.Second
	// unplannedMargin is how long before a request an unplanned disturbance may still explain its failure.
	unplannedMargin = 3 * time.Second
)

// responsesLostInStops finds requests that a router had received, or sent to a machine, and that then got no complete response, while
// the router was stopped as planned and nothing else was wrong.
func responsesLostInStops(history *History, _ Bounds, disturbances []Disturbance) []string {
	sends := history.sendsByRequest()
	ends := map[string]time.Duration{}
	for _, end := range history.MachineEnds {
		ends[end.Machine] = end.At
	}
	var found []string
	for _, answer := range history.Answers {
		request := history.Requests[answer.Request]
		if !answer.Lost || len(sends[answer.Request]) == 0 && !answer.Received || !isStopping(disturbances, request.Router, request.Sent, answer.At) {
			continue
		}
		if history.brokeOff(sends[answer.Request], ends, answer) || isUnplanned(disturbances, request.Router, request.Sent, answer.At) {
			continue
		}
		found = append(found, fmt.Sprintf("%s, sent to %s at %s while it stopped, reached %d machines and got no complete response by %s: %s",
			request.ID, request.Router, request.Sent, len(sends[answer.Request]), answer.At, answer.Kind))
	}
	return found
}

// brokeOff reports whether a machine may have broken the response off.
func (h *History) brokeOff(sends []Send, ends map[string]time.Duration, answer Answer) bool {
	return h.CutResponses[answer.Request] || slices.ContainsFunc(sends, func(send Send) bool {
		end, hasEnded := ends[send.Machine]
		return hasEnded && end <= answer.At+plannedMargin
	})
}

func isStopping(disturbances []Disturbance, router string, start, end time.Duration) bool {
	return slices.ContainsFunc(disturbances, func(disturbance Disturbance) bool {
		return disturbance.Planned && disturbance.Node == router && disturbance.Start <= end && start <= disturbance.End+plannedMargin
	})
}

func isUnplanned(disturbances []Disturbance, router string, start, end time.Duration) bool {
	return slices.ContainsFunc(disturbances, func(disturbance Disturbance) bool {
		concerns := disturbance.Node == router || disturbance.Node == ""
		return concerns && !disturbance.Planned && disturbance.Start <= end && start-unplannedMargin <= disturbance.End
	})
}

const (
	rejectDuration = 1500 * time.Millisecond
	maxRejectPause = 2500 * time.Millisecond
	maxStopPause   = 1200 * time.Millisecond
)

// NewRetryPlan draws spans in which machines reject the first attempt of each request, restarts of control nodes in the middle
// of them, and stops of routers, several at a time.
func NewRetryPlan(seed uint64, layout Layout, span time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 9))
	faults := faultSeries{random: random, layout: layout, span: span}
	rejections := faults.draw(rejectDuration, maxRejectPause, func(drawn *Fault) { drawn.Kind = FaultRejectFirst })
	var restarts []Fault
	for _, rejection := range rejections {
		restart := Fault{At: rejection.At + time.Duration(random.Int64N(int64(rejectDuration))), Kind: FaultKillAll}
		if random.IntN(2) == 0 {
			restart.Kind, restart.Node = FaultStop, layout.Control[random.IntN(len(layout.Control))]
		}
		restarts = append(restarts, restart)
	}
	stop := func(drawn *Fault) {
		drawn.Kind, drawn.Node, drawn.Duration = FaultStop, layout.Routers[random.IntN(len(layout.Routers))], 0
	}
	stops := faults.draw(stopDuration, maxStopPause, stop)
	return MergePlans(rejections, restarts, stops, faults.draw(stopDuration, maxStopPause, stop))
}
