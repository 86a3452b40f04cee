package placement

import (
	"sort"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// prewarmMargin is the factor by which the value of prewarming must exceed that of keeping, so that
// a prewarmed replica is not unloaded by the next pass.
const prewarmMargin = 1.2

// pendingReplica is a replica that should be loaded.
type pendingReplica struct {
	version *Version
	// waiting is the wait of the oldest request; 0 for proactive loads.
	waiting time.Duration
	urgent  bool
	// replaces is set if all replicas of the version are on leaving or drained machines.
	replaces bool
	// additional is set if the version has a replica and needs more for its load.
	additional bool
	// constrained is the constrained demand that the replica serves; nil if it is unconstrained.
	constrained *ConstrainedDemand
	// value ranks replicas of pooled versions, on the scale of replicaValue.
	value    float64
	priority int32
	loadTime time.Duration
}

// pendingReplicas lists the replicas to load, most urgent first: those with waiting requests before
// proactive ones, then by value on registered machines, then by priority, then by response ratio.
func (p *pass) pendingReplicas() []pendingReplica {
	var wanted []pendingReplica
	for name, version := range p.input.Versions {
		missing := p.missing(name, version)
		wanted = append(wanted, missing.constrained...)
		if missing.anywhere <= 0 {
			continue
		}
		pending := pendingReplica{version: version, loadTime: p.loadTime(version, TierDisk)}
		if demand := p.input.Demand[name]; demand != nil && demand.Waiting > 0 {
			pending.urgent = true
			pending.waiting = demand.OldestWait
			pending.priority = max(demand.Priority, version.Priority)
		}
		if version.Spec.Pool != "" && len(p.byVersion[name])+len(p.drained[name]) > 0 {
			pending.additional = p.usable(version) > 0
			pending.replaces = !pending.additional
		}
		for range missing.anywhere {
			if version.Spec.Pool != "" {
				pending.value = p.value(pending)
			}
			wanted = append(wanted, pending)
			pending.additional = pending.additional || version.Spec.Pool != ""
		}
	}
	sort.Slice(wanted, func(i, j int) bool { return wanted[i].before(wanted[j]) })
	return wanted
}

// isProactive reports whether no request needs the replica yet: it is prewarmed or belongs to the
// minimum.
func (r pendingReplica) isProactive() bool {
	return !r.urgent && !r.additional && !r.replaces
}

func (r pendingReplica) before(other pendingReplica) bool {
	switch {
	case r.additional != other.additional:
		return other.additional
	case r.isProactive() != other.isProactive():
		return other.isProactive()
	case r.value != other.value:
		return r.value > other.value
	case r.priority != other.priority:
		return r.priority > other.priority
	case r.score() != other.score():
		return r.score() > other.score()
	case r.version.Name != other.version.Name:
		return r.version.Name < other.version.Name
	}
	return r.constrained != nil && other.constrained != nil && r.constrained.Hosts.Key() < other.constrained.Hosts.Key()
}

// score is the response ratio: waiting time plus load time, over load time. Short loads go first,
// and no load starves.
func (r pendingReplica) score() float64 {
	load := max(r.loadTime, time.Millisecond).Seconds()
	return (r.waiting.Seconds() + load) / load
}

// missingReplicas are the replicas that a version lacks.
type missingReplicas struct {
	// constrained holds the replicas for waiting requests with a region constraint.
	constrained []pendingReplica
	// anywhere is the number of missing replicas without a constraint.
	anywhere int
}

func (p *pass) missing(name string, version *Version) missingReplicas {
	if p.input.Now.Before(p.planner.retryAfter[name]) || p.inCrashBackoff(name) {
		return missingReplicas{}
	}
	desired := version.MinReplicas
	usable := p.usable(version)
	if demand := p.input.Demand[name]; demand != nil {
		desired = max(desired, p.desiredFor(demand, version, usable))
	}
	desired = max(desired, p.requiredReplicas(version, targetUtilization))
	if desired == 0 && usable == 0 && p.shouldPrewarm(version) {
		desired = 1
	}
	if desired == 0 && p.mustReplace(name) {
		desired = 1
	}
	// The replicated state machine counts all loading and ready replicas against the maximum,
	// including those on leaving and drained machines.
	allowed := max(0, version.MaxReplicas-len(p.byVersion[name])-len(p.drained[name]))
	constrained := p.constrainedReplicas(version, p.input.Demand[name])
	constrained = constrained[:min(len(constrained), allowed)]
	return missingReplicas{constrained: constrained, anywhere: min(desired-usable, allowed) - len(constrained)}
}

// usable counts the replicas of a version on schedulable machines.
func (p *pass) usable(version *Version) int {
	count := 0
	for _, replica := range p.byVersion[version.Name] {
		if p.input.Machines[replica.Spec.Machine].Schedulable {
			count++
		}
	}
	return count
}

// shouldPrewarm reports whether the prewarming index of a version exceeds the share of the
// accelerators that it would occupy.
func (p *pass) shouldPrewarm(version *Version) bool {
	index := p.planner.config.KeepAlive.PrewarmIndex(p.planner.profile(version), p.input.Now)
	if index <= 0 {
		return false
	}
	share := 1.0
	if p.largestAccelerator > 0 {
		share = float64(version.Spec.BytesPerAccelerator()) / float64(p.largestAccelerator)
	}
	return index >= prewarmMargin*share*float64(version.Spec.Accelerators)
}

// desiredFor returns the number of replicas for the current demand. A replica is added only when
// those present are full.
func (p *pass) desiredFor(demand *Demand, version *Version, usable int) int {
	if version.Spec.Pool != "" {
		return min(demand.Waiting, 1) // Further replicas follow from the averaged load, see requiredReplicas.
	}
	if demand.Waiting == 0 {
		return min(usable, version.MaxReplicas)
	}
	slots := version.Spec.MaxConcurrent
	total := demand.Waiting + demand.Running
	return min(version.MaxReplicas, max(1, (total+slots-1)/slots))
}

// mustReplace reports whether a replica on a leaving or drained machine is in use.
func (p *pass) mustReplace(name string) bool {
	for _, replica := range p.byVersion[name] {
		leaving := !p.input.Machines[replica.Spec.Machine].Schedulable
		if leaving && replica.Spec.Phase == v1.ReplicaReady && replica.Running > 0 {
			return true
		}
	}
	return p.isServingDrained(name)
}
