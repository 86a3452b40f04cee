package placement

import (
	"slices"
	"sort"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/places"
)

// Requests with a region constraint can be served only by replicas in the allowed regions. A
// version therefore needs a replica for each requested constraint, besides those that its load
// requires.

// constraintRetention is how long a version keeps its only replica for a constraint after the last
// request under it.
const constraintRetention = historyRetention

// ConstrainedDemand is the part of the demand for a version that has the same region constraint.
type ConstrainedDemand struct {
	Allowed places.Constraint
	Waiting int
	Running int
	// OldestWait is the wait of the oldest waiting request.
	OldestWait time.Duration
	Priority   int32
}

// constraintUse is the last use of a constraint in requests for a version.
type constraintUse struct {
	allowed places.Constraint
	last    time.Time
}

// observeConstraints records the requested constraints of each version, and drops outdated ones.
func (p *pass) observeConstraints() {
	constraintsOf := p.planner.constraints
	for version, demand := range p.input.Demand {
		for _, entry := range demand.Constrained {
			if constraintsOf[version] == nil {
				constraintsOf[version] = map[string]constraintUse{}
			}
			constraintsOf[version][entry.Allowed.Key()] = constraintUse{allowed: entry.Allowed, last: p.input.Now}
			p.markUsedWithin(version, entry.Allowed)
		}
	}
	for version, constraints := range constraintsOf {
		for key, use := range constraints {
			if p.input.Now.Sub(use.last) >= constraintRetention {
				delete(constraints, key)
			}
		}
		if len(constraints) == 0 {
			delete(constraintsOf, version)
		}
	}
}

// markUsedWithin marks as used one ready replica that the constraint allows.
func (p *pass) markUsedWithin(version string, allowed places.Constraint) {
	for _, replica := range p.byVersion[version] {
		if replica.Spec.Phase == v1.ReplicaReady && allowed.Allows(p.input.Machines[replica.Spec.Machine].Region) {
			p.planner.lastUsed[replica.Name] = p.input.Now
			return
		}
	}
}

// canRunOn reports whether a machine may host the pending replica.
func (r *pendingReplica) canRunOn(candidate *machineState) bool {
	return candidate.canHost(r.version) && (r.constrained == nil || r.constrained.Allowed.Allows(candidate.machine.Region))
}

// constrainedReplicas lists the replicas for waiting requests that no loading or ready replica may
// serve, narrowest constraint first: one for a narrow constraint often serves wider ones too.
func (p *pass) constrainedReplicas(version *Version, demand *Demand) []pendingReplica {
	if demand == nil || len(demand.Constrained) == 0 {
		return nil
	}
	waiting := slices.DeleteFunc(slices.Clone(demand.Constrained), func(entry ConstrainedDemand) bool {
		return entry.Waiting == 0 || p.hasAllowedReplica(version, entry.Allowed, nil)
	})
	sort.Slice(waiting, func(i, j int) bool {
		left, right := waiting[i].Allowed, waiting[j].Allowed
		if len(left.Regions()) != len(right.Regions()) {
			return len(left.Regions()) < len(right.Regions())
		}
		return left.Key() < right.Key()
	})
	var pending []pendingReplica
	for position := range waiting {
		entry := &waiting[position]
		if slices.ContainsFunc(pending, func(other pendingReplica) bool { return isSubset(other.constrained.Allowed, entry.Allowed) }) {
			continue
		}
		pending = append(pending, pendingReplica{
			version: version, loadTime: p.loadTime(version, TierDisk), urgent: true, constrained: entry,
			waiting: entry.OldestWait, priority: max(entry.Priority, version.Priority), value: p.constrainedValue(version, demand, *entry),
		})
	}
	return pending
}

// constrainedValue is the value of a replica for a constraint, on the scale of replicaValue, from
// its waiting requests and their share of the work.
func (p *pass) constrainedValue(version *Version, demand *Demand, entry ConstrainedDemand) float64 {
	share := float64(entry.Waiting) / float64(max(entry.Waiting, demand.Waiting+demand.Running))
	return float64(entry.Waiting) + share*p.planner.work.rates[version.Name]/minSpreadRate
}

// isSubset reports whether every region that one constraint allows is allowed by the other.
func isSubset(narrow, wide places.Constraint) bool {
	for _, region := range narrow.Regions() {
		if !wide.Allows(region) {
			return false
		}
	}
	return true
}

// hasAllowedReplica reports whether a version has a loading or ready replica, other than the
// excluded one, on a schedulable machine that the constraint allows.
func (p *pass) hasAllowedReplica(version *Version, allowed places.Constraint, excluded *Replica) bool {
	for _, replica := range p.byVersion[version.Name] {
		machine := p.input.Machines[replica.Spec.Machine]
		if replica != excluded && machine.Schedulable && allowed.Allows(machine.Region) {
			return true
		}
	}
	return false
}

// isOnlyAllowed reports whether a replica is the only one that may serve recently requested
// constraints of its version.
func (p *pass) isOnlyAllowed(replica *Replica, version *Version) bool {
	for _, use := range p.planner.constraints[version.Name] {
		machine := p.input.Machines[replica.Spec.Machine]
		if use.allowed.Allows(machine.Region) && !p.hasAllowedReplica(version, use.allowed, replica) {
			return true
		}
	}
	return false
}

// isDispensable reports whether a version can do without a ready replica.
func (p *pass) isDispensable(replica *Replica, version *Version) bool {
	return p.isSurplus(version) && !p.isOnlyAllowed(replica, version)
}
