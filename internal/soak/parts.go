package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	harmfulPartDuration = 12 * time.Second
	maxHarmfulPartPause = 8 * time.Second
)

// NewHarmfulPartPlan draws spans in which callers send requests that share a harmful part of their prompts. It has a
// random source of its own, so that the other faults of a seed don't depend on it.
func NewHarmfulPartPlan(seed uint64, layout Layout, span time.Duration) []Fault {
	faults := faultSeries{random: rand.New(rand.NewPCG(seed, 6)), layout: layout, span: span}
	return faults.draw(harmfulPartDuration, maxHarmfulPartPause, func(drawn *Fault) { drawn.Kind = FaultHarmfulPart })
}

// PartCrash is a machine that crashed because of a prompt part.
type PartCrash struct {
	Part, Machine string
	At            time.Duration
}

const (
	// partCrashLimit is the number of crashes after which requests with the part must be refused, from ContactTime
	// on. Up to maxLateParts of them may reach machines later.
	partCrashLimit = 5
	maxLateParts   = 3
	// Beside requests with a harmful part, sound requests must begin at least minCompanionShare times as often as
	// otherwise. Both are judged if there are minCompanions or more of them.
	minCompanionShare = 1.0 / 2
	minCompanions     = 20
)

// partCrashTimes returns the times of the crashes by part.
func (h *History) partCrashTimes() map[string][]time.Duration {
	times := map[string][]time.Duration{}
	for _, crash := range h.PartCrashes {
		times[crash.Part] = append(times[crash.Part], crash.At)
	}
	return times
}

// harmfulArrivals finds prompt parts that crashed partCrashLimit machines and still reached others more than
// ContactTime later. Routers that may not know of the crashes are left out.
func harmfulArrivals(history *History, bounds Bounds, disturbances []Disturbance) []string {
	var found []string
	for part, crashes := range sortedGroups(history.partCrashTimes()) {
		if len(crashes) < partCrashLimit {
			continue
		}
		slices.Sort(crashes)
		known := crashes[partCrashLimit-1] + ContactTime
		late := 0
		for _, arrival := range history.Arrivals {
			if history.Requests[arrival.Request].HarmfulPart == part && arrival.At > known &&
				!bounds.mayBeStale(disturbances, history.senderOf(arrival.Router, arrival.Request), arrival.At) {
				late++
			}
		}
		if late > maxLateParts {
			found = append(found, fmt.Sprintf("requests with part %s reached machines %d times after %s; %d machines crashed in all", part, late, known, len(crashes)))
		}
	}
	return found
}

// unservedCompanions finds harmful parts beside which sound requests with the same first part began too rarely, from
// twice ContactTime after the crash at which the part had to be refused, or the last one, until the last request with
// the part.
func unservedCompanions(history *History, bounds Bounds, disturbances []Disturbance) []string {
	last := map[string]time.Duration{}
	for _, request := range history.Requests {
		if request.HarmfulPart != "" {
			last[request.HarmfulPart] = max(last[request.HarmfulPart], request.Sent)
		}
	}
	var found []string
	for part, crashes := range sortedGroups(history.partCrashTimes()) {
		slices.Sort(crashes)
		start := crashes[min(len(crashes), partCrashLimit)-1] + 2*ContactTime
		beside, otherwise := history.tallyCompanions(bounds, disturbances, start, last[part], crashes[0])
		if beside.sent >= minCompanions && otherwise.sent >= minCompanions && beside.share() < minCompanionShare*otherwise.share() {
			found = append(found, fmt.Sprintf("beside part %s, from %s to %s, %d of %d sound requests began; before it %d of %d",
				part, start, last[part], beside.served, beside.sent, otherwise.served, otherwise.sent))
		}
	}
	return found
}

// tallyCompanions counts the sound requests with prompts that were sent from start to end, and those sent before the
// first crash. served counts those that began. Routers that were disturbed are left out.
func (h *History) tallyCompanions(bounds Bounds, disturbances []Disturbance, start, end, firstCrash time.Duration) (beside, otherwise tally) {
	for _, answer := range h.Answers {
		request := h.Requests[answer.Request]
		if !request.HasPrompt || request.HarmfulPart != "" || bounds.mayBeStale(disturbances, request.Router, request.Sent) {
			continue
		}
		var counted *tally
		switch {
		case request.Sent >= start && request.Sent <= end:
			counted = &beside
		case request.Sent < firstCrash:
			counted = &otherwise
		default:
			continue
		}
		counted.sent++
		if answer.Begun {
			counted.served++
		}
	}
	return beside, otherwise
}
