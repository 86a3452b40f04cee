package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	crowdDuration = 9 * time.Second
	maxCrowdPause = 10 * time.Second
)

// NewCrowdPlan draws spans in which most new connections go to one router, while callers open more of them. It has a
// random source of its own, so that the other faults of a seed don't depend on it.
func NewCrowdPlan(seed uint64, layout Layout, span time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 7))
	faults := faultSeries{random: random, layout: layout, span: span}
	return faults.draw(crowdDuration, maxCrowdPause, func(drawn *Fault) {
		drawn.Kind, drawn.Node = FaultCrowd, layout.Routers[random.IntN(len(layout.Routers))]
	})
}

// CrowdCall is a request of a crowd of callers, sent until an attempt was read by a router.
type CrowdCall struct {
	// Crowd identifies the crowd.
	Crowd int
	// Gathered is set from ContactTime after most new connections go to one router; until then, they are spread
	// evenly for comparison.
	Gathered bool
	// Router is the one that read the request; empty if none did.
	Router string
	Sent   time.Duration
	// Served is set if the first attempt that was read was served.
	Served bool
}

// During a crowd, requests must be served at least minCrowdShare times as often as before, if there are minCrowdCalls or
// more of each.
const (
	minCrowdShare = 3.0 / 4
	minCrowdCalls = 20
)

// unservedCrowds finds crowds whose requests were served too rarely at the first attempt that was read. Routers that were
// disturbed otherwise are left out.
func unservedCrowds(history *History, bounds Bounds, disturbances []Disturbance) []string {
	type crowd struct{ before, gathered tally }
	crowds, last := map[int]*crowd{}, 0
	for _, call := range history.CrowdCalls {
		if call.Router == "" || bounds.mayBeStale(disturbances, call.Router, call.Sent) || isAnyDisturbed(disturbances, call.Router, call.Sent) {
			continue
		}
		if crowds[call.Crowd] == nil {
			crowds[call.Crowd] = &crowd{}
			last = max(last, call.Crowd)
		}
		counted := &crowds[call.Crowd].before
		if call.Gathered {
			counted = &crowds[call.Crowd].gathered
		}
		counted.sent++
		if call.Served {
			counted.served++
		}
	}
	var found []string
	for number := range last + 1 {
		counted := crowds[number]
		if counted == nil || counted.before.sent < minCrowdCalls || counted.gathered.sent < minCrowdCalls {
			continue
		}
		if counted.gathered.share() < minCrowdShare*counted.before.share() {
			found = append(found, fmt.Sprintf("crowd %d: %d of %d requests that were read were served, before it %d of %d",
				number, counted.gathered.served, counted.gathered.sent, counted.before.served, counted.before.sent))
		}
	}
	return found
}

// isAnyDisturbed reports whether requests through a router, or at machines, were disturbed at a time.
func isAnyDisturbed(disturbances []Disturbance, router string, at time.Duration) bool {
	for _, disturbance := range disturbances {
		if (disturbance.Node == router || disturbance.Node == "") && disturbance.Start <= at+time.Second && at <= disturbance.End+time.Second {
			return true
		}
	}
	return false
}
