package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// PartitionKind is what a partition does to the connections from one host to a server. New connections are
// reset as soon as they are accepted: a proxy can't keep the kernel from accepting them.
type PartitionKind int

const (
	// PartitionHangs makes the host's open connections carry nothing any more.
	PartitionHangs PartitionKind = iota
	// PartitionResets resets the host's open connections.
	PartitionResets
	// PartitionAccepts makes open and new connections carry nothing.
	PartitionAccepts
	// PartitionRefuses lets open connections go on.
	PartitionRefuses
)

// cutsOpen reports whether open connections are cut too.
func (k PartitionKind) cutsOpen() bool { return k != PartitionRefuses }

// groupPartitionKinds are the kinds of partitions of several routers.
var groupPartitionKinds = []FaultKind{FaultPartitionHangs, FaultPartitionResets, FaultPartitionAccepts, FaultPartitionRefuses}

// NewGroupPartitionPlan draws groups of routers that are partitioned from all machines at once, by turns all routers of a
// zone and most routers of all zones, and faults of control nodes meanwhile.
func NewGroupPartitionPlan(seed uint64, layout Layout, span time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 8))
	faults := faultSeries{random: random, layout: layout, span: span}
	var plan []Fault
	for turn, group := range faults.draw(partitionDuration, 2*time.Second, func(drawn *Fault) {
		drawn.Kind = groupPartitionKinds[random.IntN(len(groupPartitionKinds))]
	}) {
		routers := layout.RouterZones[random.IntN(len(layout.RouterZones))]
		if turn%2 == 1 {
			routers = mostOf(random, layout.Routers)
		}
		for _, router := range routers {
			group.Node = router
			plan = append(plan, group)
		}
	}
	return MergePlans(plan, controlFaults(NewPlan(seed, layout, span), layout))
}

// mostOf returns a random three quarters of some routers.
func mostOf(random *rand.Rand, routers []string) []string {
	shuffled := slices.Clone(routers)
	random.Shuffle(len(shuffled), func(left, right int) { shuffled[left], shuffled[right] = shuffled[right], shuffled[left] })
	return shuffled[:len(shuffled)*3/4]
}

// controlFaults returns the faults of a plan that concern single control nodes.
func controlFaults(plan []Fault, layout Layout) []Fault {
	return slices.DeleteFunc(slices.Clone(plan), func(fault Fault) bool { return !slices.Contains(layout.Control, fault.Node) })
}

// NewPartitionPlan draws routers that are partitioned from all machines, machines that fall silent for about a
// second, and spans in which the machines without engines are brittle. It has a random source of its own, so
// that the other faults of a seed don't depend on it.
func NewPartitionPlan(seed uint64, layout Layout, span time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 4))
	faults := faultSeries{random: random, layout: layout, span: span}
	partition := func(drawn *Fault) {
		drawn.Kind = []FaultKind{FaultPartitionHangs, FaultPartitionResets}[random.IntN(2)]
		drawn.Node = layout.Routers[random.IntN(len(layout.Routers))]
	}
	return MergePlans(
		// Two series, so that several routers may be partitioned at once.
		faults.draw(partitionDuration, 3*time.Second, partition),
		faults.draw(partitionDuration, 12*time.Second, partition),
		faults.ofMachines(FaultPauseMachine, pauseDuration, 5*time.Second),
		faults.draw(brittleDuration, 8*time.Second, func(drawn *Fault) { drawn.Kind = FaultBrittleMachines }),
	)
}

const (
	partitionDuration = 8 * time.Second
	pauseDuration     = time.Second
	brittleDuration   = 9 * time.Second
	// ContactTime is how long nodes may take to learn of a partition, or of what machines state.
	ContactTime = 3 * time.Second
)

// Fall is a brittle machine that failed because it had to reject too many requests.
type Fall struct {
	Machine string
	At      time.Duration
}

const (
	// A partitioned router must serve at least minPartitionedShare times the share of requests that the others
	// serve, unless no more than allowedFailures plus allowedFailureShare of all requests fail there.
	minPartitionedShare = 2.0 / 3
	allowedFailures     = 10
	allowedFailureShare = 1.0 / 50
	// Brittle machines may fail allowedFalls times plus a share of their number in one span.
	allowedFalls     = 2
	allowedFallShare = 1.0 / 10
)

// tally counts requests.
type tally struct{ sent, served int }

func (t tally) share() float64 {
	return float64(t.served) / float64(max(1, t.sent))
}

// unservedPartitions finds partitions in which the partitioned routers served too few requests, from
// ContactTime after the beginning. Routers that were disturbed otherwise are left out.
func unservedPartitions(history *History, bounds Bounds, disturbances []Disturbance) []string {
	var found []string
	for _, partition := range disturbances {
		if !partition.Partition {
			continue
		}
		cut, others := history.tallyPartition(partition, bounds, disturbances)
		failed, allowed := cut.sent-cut.served, allowedFailures+allowedFailureShare*float64(cut.sent+others.sent)
		if others.sent > 0 && float64(failed) > allowed && cut.share() < minPartitionedShare*others.share() {
			found = append(found, fmt.Sprintf("%s was partitioned from %s to %s: partitioned routers served %d of %d requests, the others %d of %d",
				partition.Node, partition.Start, partition.End, cut.served, cut.sent, others.served, others.sent))
		}
	}
	return found
}

// tallyPartition counts the requests at partitioned and at other routers, from ContactTime after a partition
// began.
func (h *History) tallyPartition(partition Disturbance, bounds Bounds, disturbances []Disturbance) (cut, others tally) {
	for _, answer := range h.Answers {
		request := h.Requests[answer.Request]
		if request.Sent < partition.Start+ContactTime || request.Sent > partition.End ||
			isDisturbed(disturbances, request.Router, request.Sent-bounds.CatchUpTime, answer.At) ||
			mayLoseResponse(disturbances, request, answer.At) {
			continue
		}
		counted := &others
		if isPartitioned(disturbances, request) {
			if !bounds.mayBeForwarded(disturbances, request, answer.At) {
				continue
			}
			counted = &cut
		}
		counted.sent++
		if answer.Outcome == OutcomeAnswered {
			counted.served++
		}
	}
	return cut, others
}

// mayLoseResponse reports whether a fault affected the connections between a router and its callers during a request.
func mayLoseResponse(disturbances []Disturbance, request Request, answered time.Duration) bool {
	return slices.ContainsFunc(disturbances, func(other Disturbance) bool {
		return other.Callers && other.Node == request.Router && other.Start <= answered && request.Sent <= other.End
	})
}

// mayBeForwarded reports whether some other router, in a region that the request allows, was neither disturbed
// nor partitioned until the request was answered.
func (b Bounds) mayBeForwarded(disturbances []Disturbance, request Request, answered time.Duration) bool {
	for router, region := range b.RouterRegions {
		other := Request{Router: router, Sent: request.Sent}
		if router != request.Router && request.Allowed.Allows(region) && !isPartitioned(disturbances, other) &&
			!isDisturbed(disturbances, router, request.Sent-b.CatchUpTime, answered) {
			return true
		}
	}
	return false
}

// JudgedPartitions returns how many requests at partitioned routers were judged, and how many of them were
// served.
func (h *History) JudgedPartitions(bounds Bounds, disturbances []Disturbance) (judged, served int) {
	for _, partition := range disturbances {
		if partition.Partition {
			cut, _ := h.tallyPartition(partition, bounds, disturbances)
			judged, served = judged+cut.sent, served+cut.served
		}
	}
	return judged, served
}

// isPartitioned reports whether a request was sent to a router that had been partitioned for ContactTime.
func isPartitioned(disturbances []Disturbance, request Request) bool {
	return slices.ContainsFunc(disturbances, func(other Disturbance) bool {
		return other.Partition && other.Node == request.Router && other.Start+ContactTime <= request.Sent && request.Sent <= other.End
	})
}

// brittleFalls finds spans in which brittle machines failed too often.
func brittleFalls(history *History, bounds Bounds, disturbances []Disturbance) []string {
	var found []string
	for _, span := range disturbances {
		if !span.Brittle {
			continue
		}
		falls := 0
		for _, fall := range history.Falls {
			if span.Start <= fall.At && fall.At <= span.End {
				falls++
			}
		}
		if float64(falls) > allowedFalls+allowedFallShare*float64(bounds.BrittleMachines) {
			found = append(found, fmt.Sprintf("%d machines failed between %s and %s, when %d were brittle", falls, span.Start, span.End, bounds.BrittleMachines))
		}
	}
	return found
}
