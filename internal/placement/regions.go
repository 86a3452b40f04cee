package placement

import (
	"slices"
	"sort"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/places"
)

// Requests that are bound to regions are served by replicas there and by no others: however many
// there are elsewhere, one that waits goes on waiting. So a version needs a replica for each
// constraint under which it is asked for, beside those that its load calls for.

// boundLately is for how long a version keeps its only replica for a constraint after it was last
// asked for under it: as long as past demand is handed on to the next leader.
const boundLately = historyHorizon

// ConstrainedDemand is what is asked of a version under one constraint. It is part of the version's.
type ConstrainedDemand struct {
	Allowed places.Constraint
	Waiting int
	Running int
	// OldestWait is how long the request has waited that waits longest.
	OldestWait time.Duration
	Priority   int32
}

// askedUnder is when a version was last asked for under a constraint.
type askedUnder struct {
	allowed places.Constraint
	last    time.Time
}

// observeBound notes under which constraints versions are asked for, and forgets those under
// which they have not been for long.
func (p *pass) observeBound() {
	bound := p.planner.bound
	for version, demand := range p.input.Demand {
		for _, entry := range demand.Constrained {
			if bound[version] == nil {
				bound[version] = map[string]askedUnder{}
			}
			bound[version][entry.Allowed.Key()] = askedUnder{allowed: entry.Allowed, last: p.input.Now}
			p.touchIn(version, entry.Allowed)
		}
	}
	for version, constraints := range bound {
		for key, asked := range constraints {
			if p.input.Now.Sub(asked.last) >= boundLately {
				delete(constraints, key)
			}
		}
		if len(constraints) == 0 {
			delete(bound, version)
		}
	}
}

// touchIn marks one ready replica as used that requests under a constraint may have used: that of
// another region has not served them.
func (p *pass) touchIn(version string, allowed places.Constraint) {
	for _, replica := range p.byVersion[version] {
		if replica.Spec.Phase == v1.ReplicaReady && allowed.Allows(p.input.Machines[replica.Spec.Machine].Region) {
			p.planner.lastUsed[replica.Name] = p.input.Now
			return
		}
	}
}

// mayUse reports whether a wanted replica may be loaded on the machine at all.
func (w *want) mayUse(candidate *room) bool {
	return candidate.serves(w.version) && (w.bound == nil || w.bound.Allowed.Allows(candidate.machine.Region))
}

// boundWants lists the replicas that requests wait for which no replica may serve, loading ones
// included. The narrowest constraints come first: a replica for one often serves others, too.
func (p *pass) boundWants(version *Version, demand *Demand) []want {
	if demand == nil || len(demand.Constrained) == 0 {
		return nil // So it is for most versions.
	}
	waiting := slices.DeleteFunc(slices.Clone(demand.Constrained), func(entry ConstrainedDemand) bool {
		return entry.Waiting == 0 || p.hasReplicaIn(version, entry.Allowed, nil)
	})
	sort.Slice(waiting, func(i, j int) bool {
		left, right := waiting[i].Allowed, waiting[j].Allowed
		if len(left.Regions()) != len(right.Regions()) {
			return len(left.Regions()) < len(right.Regions())
		}
		return left.Key() < right.Key()
	})
	var wanted []want
	for position := range waiting {
		entry := &waiting[position]
		if slices.ContainsFunc(wanted, func(other want) bool { return implies(other.bound.Allowed, entry.Allowed) }) {
			continue
		}
		wanted = append(wanted, want{
			version: version, loadTime: p.loadTime(version, TierDisk), urgent: true, bound: entry,
			waiting: entry.OldestWait, priority: max(entry.Priority, version.Priority), gain: p.boundGain(version, demand, *entry),
		})
	}
	return wanted
}

// boundGain is what a replica for a constraint is worth, on the scale of replicaWorth: those that
// wait for it, and their share of what is asked of the version.
func (p *pass) boundGain(version *Version, demand *Demand, entry ConstrainedDemand) float64 {
	share := float64(entry.Waiting) / float64(max(entry.Waiting, demand.Waiting+demand.Running))
	return float64(entry.Waiting) + share*p.planner.work.rates[version.Name]/minimumRate
}

// implies reports whether every region that one constraint allows is allowed by another.
func implies(narrow, wide places.Constraint) bool {
	for _, region := range narrow.Regions() {
		if !wide.Allows(region) {
			return false
		}
	}
	return true
}

// hasReplicaIn reports whether a version is loading or loaded where a constraint allows, on a
// machine that stays, apart from a replica that is left out.
func (p *pass) hasReplicaIn(version *Version, allowed places.Constraint, leftOut *Replica) bool {
	for _, replica := range p.byVersion[version.Name] {
		machine := p.input.Machines[replica.Spec.Machine]
		if replica != leftOut && machine.Schedulable && allowed.Allows(machine.Region) {
			return true
		}
	}
	return false
}

// isOnlyAllowed reports whether a replica is the only one that may serve requests that its version
// was asked for lately.
func (p *pass) isOnlyAllowed(replica *Replica, version *Version) bool {
	for _, asked := range p.planner.bound[version.Name] {
		machine := p.input.Machines[replica.Spec.Machine]
		if asked.allowed.Allows(machine.Region) && !p.hasReplicaIn(version, asked.allowed, replica) {
			return true
		}
	}
	return false
}

// isSpare reports whether the version can do without a ready replica.
func (p *pass) isSpare(replica *Replica, version *Version) bool {
	return p.isSurplus(version) && !p.isOnlyAllowed(replica, version)
}
