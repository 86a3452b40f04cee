package placement

import (
	"sort"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// prewarmMargin is by how much loading ahead must be worth more than keeping:
// a load costs the store's bandwidth, and what is loaded must not be unloaded
// by the next pass.
const prewarmMargin = 1.2

// want is one replica that should be loaded.
type want struct {
	version *Version
	// waiting is how long the oldest request has waited; 0 for prewarming.
	waiting time.Duration
	urgent  bool
	// replaces is set where the version is held only by machines that leave or whose zones are
	// drained.
	replaces bool
	// further is set where the version has a replica and needs more to share
	// its work.
	further bool
	// bound is what waits for the replica where that is bound to regions, else nil.
	bound *ConstrainedDemand
	// gain is what the replica of a pool's version would be worth.
	gain     float64
	priority int32
	loadTime time.Duration
}

// wants lists the replicas to load, most urgent first: requests that wait
// come before replicas kept in reserve; then by what they are worth on registered
// machines; then by priority, then by who has waited longest for the time that the
// load takes.
func (p *pass) wants() []want {
	var wanted []want
	for name, version := range p.input.Versions {
		missing := p.missing(name, version)
		wanted = append(wanted, missing.bound...)
		if missing.anywhere <= 0 {
			continue
		}
		entry := want{version: version, loadTime: p.loadTime(version, TierDisk)}
		if demand := p.input.Demand[name]; demand != nil && demand.Waiting > 0 {
			entry.urgent = true
			entry.waiting = demand.OldestWait
			entry.priority = max(demand.Priority, version.Priority)
		}
		if version.Spec.Pool != "" && len(p.byVersion[name])+len(p.drained[name]) > 0 {
			entry.further = p.usable(version) > 0
			entry.replaces = !entry.further
		}
		for range missing.anywhere {
			if version.Spec.Pool != "" {
				entry.gain = p.gain(entry)
			}
			wanted = append(wanted, entry)
			entry.further = entry.further || version.Spec.Pool != ""
		}
	}
	sort.Slice(wanted, func(i, j int) bool { return wanted[i].before(wanted[j]) })
	return wanted
}

// isReserve reports whether nobody waits for the replica or needs it by now.
func (w want) isReserve() bool {
	return !w.urgent && !w.further && !w.replaces
}

func (w want) before(other want) bool {
	switch {
	case w.further != other.further:
		return other.further
	case w.isReserve() != other.isReserve():
		return other.isReserve()
	case w.gain != other.gain:
		return w.gain > other.gain
	case w.priority != other.priority:
		return w.priority > other.priority
	case w.score() != other.score():
		return w.score() > other.score()
	case w.version.Name != other.version.Name:
		return w.version.Name < other.version.Name
	}
	return w.bound != nil && other.bound != nil && w.bound.Allowed.Key() < other.bound.Allowed.Key()
}

// score is the response ratio: the time waited and to wait, over the time
// that the load takes. Short loads go first, and none starves.
func (w want) score() float64 {
	load := max(w.loadTime, time.Millisecond).Seconds()
	return (w.waiting.Seconds() + load) / load
}

// missingReplicas are those that a version should have beside its own.
type missingReplicas struct {
	// bound are those that requests wait for which are bound to regions.
	bound []want
	// anywhere is how many more there should be, wherever they are.
	anywhere int
}

// missing returns which more replicas a version should have.
func (p *pass) missing(name string, version *Version) missingReplicas {
	if p.input.Now.Before(p.planner.retryAfter[name]) || p.isPaused(name) {
		return missingReplicas{}
	}
	desired := version.MinReplicas
	usable := p.usable(version)
	if demand := p.input.Demand[name]; demand != nil {
		desired = max(desired, p.desiredFor(demand, version, usable))
	}
	desired = max(desired, p.needed(version, slotsUsed))
	if desired == 0 && usable == 0 && p.isWorthLoading(version) {
		desired = 1
	}
	if desired == 0 && p.mustReplace(name) {
		desired = 1
	}
	// The state machine counts every replica that is loading or ready, also
	// on machines that leave or whose zones are drained.
	allowed := max(0, version.MaxReplicas-len(p.byVersion[name])-len(p.drained[name]))
	bound := p.boundWants(version, p.input.Demand[name])
	bound = bound[:min(len(bound), allowed)]
	return missingReplicas{bound: bound, anywhere: min(desired-usable, allowed) - len(bound)}
}

// usable counts the replicas of a version that are there to stay.
func (p *pass) usable(version *Version) int {
	count := 0
	for _, replica := range p.byVersion[version.Name] {
		if p.input.Machines[replica.Spec.Machine].Schedulable {
			count++
		}
	}
	return count
}

// isWorthLoading reports whether a version that nobody asks for is worth the
// part of an accelerator that it would take: replicas that are loaded ahead
// share accelerators.
func (p *pass) isWorthLoading(version *Version) bool {
	worth := p.planner.config.KeepAlive.PrewarmIndex(p.planner.subject(version), p.input.Now)
	if worth <= 0 {
		return false
	}
	share := 1.0
	if p.largestAccelerator > 0 {
		share = float64(version.Spec.BytesPerAccelerator()) / float64(p.largestAccelerator)
	}
	return worth >= prewarmMargin*share*float64(version.Spec.Accelerators)
}

// desiredFor sizes a version for its load. A further replica is worth its
// load only where those present are full.
func (p *pass) desiredFor(demand *Demand, version *Version, usable int) int {
	if version.Spec.Pool != "" {
		return min(demand.Waiting, 1) // The rest follows from its averaged load.
	}
	if demand.Waiting == 0 {
		return min(usable, version.MaxReplicas)
	}
	slots := version.Spec.MaxConcurrent
	total := demand.Waiting + demand.Running
	return min(version.MaxReplicas, max(1, (total+slots-1)/slots))
}

// mustReplace reports whether a replica in use sits on a machine that leaves, or whose zone is
// drained.
func (p *pass) mustReplace(name string) bool {
	for _, replica := range p.byVersion[name] {
		leaving := !p.input.Machines[replica.Spec.Machine].Schedulable
		if leaving && replica.Spec.Phase == v1.ReplicaReady && replica.Running > 0 {
			return true
		}
	}
	return p.runsDrained(name)
}
