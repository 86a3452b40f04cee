package placement

import (
	"slices"
	"sort"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/places"
)

// Requests with a constraint can be served only by replicas on some machines: those in the allowed
// regions, or those that run the version of the software that began a stream. A version therefore needs
// a replica for each requested constraint, besides those that its load requires.

// constraintRetention is how long a version keeps its only replica for a constraint after the last
// request under it.
const constraintRetention = historyRetention

// ConstrainedDemand is the part of the demand for a version that has the same constraint.
type ConstrainedDemand struct {
	Hosts   places.HostConstraint
	Waiting int
	Running int
	// OldestWait is the wait of the oldest waiting request.
	OldestWait time.Duration
	Priority   int32
}

// constraintUse is the last use of a constraint in requests for a version.
type constraintUse struct {
	hosts places.HostConstraint
	last  time.Time
}

// observeConstraints records the requested constraints of each version, and drops outdated ones.
func (p *pass) observeConstraints() {
	constraintsOf := p.planner.constraints
	for version, demand := range p.input.Demand {
		for _, entry := range demand.Constrained {
			if constraintsOf[version] == nil {
				constraintsOf[version] = map[string]constraintUse{}
			}
			constraintsOf[version][entry.Hosts.Key()] = constraintUse{hosts: entry.Hosts, last: p.input.Now}
			p.markUsedWithin(version, entry.Hosts)
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
func (p *pass) markUsedWithin(version string, hosts places.HostConstraint) {
	for _, replica := range p.byVersion[version] {
		if replica.Spec.Phase == v1.ReplicaReady && p.input.Machines[replica.Spec.Machine].isWithin(hosts) {
			p.planner.lastUsed[replica.Name] = p.input.Now
			return
		}
	}
}

// isWithin reports whether a constraint allows a machine.
func (m *Machine) isWithin(hosts places.HostConstraint) bool {
	return hosts.Allows(m.Region, m.Software)
}

// canRunOn reports whether a machine may host the pending replica.
func (r *pendingReplica) canRunOn(candidate *machineState) bool {
	return candidate.canHost(r.version) && (r.constrained == nil || candidate.machine.isWithin(r.constrained.Hosts))
}

// constrainedReplicas lists the replicas for waiting requests that no loading or ready replica may
// serve, narrowest constraint first: one for a narrow constraint often serves wider ones too.
func (p *pass) constrainedReplicas(version *Version, demand *Demand) []pendingReplica {
	if demand == nil || len(demand.Constrained) == 0 {
		return nil
	}
	waiting := slices.DeleteFunc(slices.Clone(demand.Constrained), func(entry ConstrainedDemand) bool {
		return entry.Waiting == 0 || p.hasAllowedReplica(version, entry.Hosts, nil)
	})
	sort.Slice(waiting, func(i, j int) bool {
		left, right := waiting[i].Hosts, waiting[j].Hosts
		if (left.Software == "") != (right.Software == "") {
			return left.Software != ""
		}
		if len(left.Regions.Regions()) != len(right.Regions.Regions()) {
			return len(left.Regions.Regions()) < len(right.Regions.Regions())
		}
		return left.Key() < right.Key()
	})
	var pending []pendingReplica
	for position := range waiting {
		entry := &waiting[position]
		if slices.ContainsFunc(pending, func(other pendingReplica) bool { return other.constrained.Hosts.IsWithin(entry.Hosts) }) {
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

// hasAllowedReplica reports whether a version has a loading or ready replica, other than the
// excluded one, on a schedulable machine that the constraint allows.
func (p *pass) hasAllowedReplica(version *Version, hosts places.HostConstraint, excluded *Replica) bool {
	for _, replica := range p.byVersion[version.Name] {
		machine := p.input.Machines[replica.Spec.Machine]
		if replica != excluded && machine.Schedulable && machine.isWithin(hosts) {
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
		if machine.isWithin(use.hosts) && !p.hasAllowedReplica(version, use.hosts, replica) {
			return true
		}
	}
	return false
}

// isDispensable reports whether a version can do without a ready replica.
func (p *pass) isDispensable(replica *Replica, version *Version) bool {
	return p.isSurplus(version) && !p.isOnlyAllowed(replica, version)
}
