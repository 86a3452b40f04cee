package placement

import (
	"slices"

	v1 "github.com/weldline/weldline/api/v1"
)

// Drains are usually short and the machines return unchanged, so drained machines keep their
// replicas. Since they receive no requests, versions held only there are loaded elsewhere.

// drainedReason returns why a replica in a drained zone must be unloaded; empty if it stays. It
// counts against the declared maximum, and at the maximum it would block a load for waiting
// requests.
func (p *pass) drainedReason(replica *Replica, version *Version) string {
	if version == nil || replica.Running > 0 || p.isPoolDrained(version.Spec.Pool) {
		return ""
	}
	demand := p.input.Demand[version.Name]
	count := len(p.byVersion[version.Name]) + len(p.drained[version.Name])
	if demand == nil || demand.Waiting == 0 || count < version.MaxReplicas {
		return ""
	}
	if p.usable(version) > 0 && !p.canServeConstrained(version, demand) {
		return ""
	}
	return "drained-at-maximum"
}

// canServeConstrained reports whether requests wait that no replica of a version may serve, and a
// schedulable machine may host a replica for them.
func (p *pass) canServeConstrained(version *Version, demand *Demand) bool {
	for _, pending := range p.constrainedReplicas(version, demand) {
		for _, candidate := range p.machines {
			if candidate.machine.Schedulable && pending.canRunOn(candidate) {
				return true
			}
		}
	}
	return false
}

// isPoolDrained reports whether a pool has machines, and all that are not lost are in drained
// zones.
func (p *pass) isPoolDrained(pool string) bool {
	all, known := p.poolDrained[pool]
	if known {
		return all
	}
	for _, machine := range p.input.Machines {
		if machine.Pool != pool || machine.Lost {
			continue
		}
		all = machine.Drained
		if !all {
			break
		}
	}
	p.poolDrained[pool] = all
	return all
}

// estimateDrained refuses requests for versions whose whole pool is drained: they would wait until
// an operator ends the drain.
func (p *pass) estimateDrained() {
	for name, demand := range p.input.Demand {
		version := p.input.Versions[name]
		if demand.Waiting == 0 || version == nil || len(p.byVersion[name]) > 0 || !p.isPoolDrained(version.Spec.Pool) {
			continue
		}
		p.decision.Estimates = append(p.decision.Estimates, Estimate{Version: name, Refused: true, Reason: v1.ReasonZoneDrained})
	}
}

// isServingDrained reports whether a replica of a version in a drained zone still runs requests.
func (p *pass) isServingDrained(version string) bool {
	return slices.ContainsFunc(p.drained[version], func(replica *Replica) bool {
		return replica.Spec.Phase == v1.ReplicaReady && replica.Running > 0
	})
}

// withoutReplica returns the replicas except one, without modifying the slice.
func withoutReplica(replicas []*Replica, excluded *Replica) []*Replica {
	position := slices.Index(replicas, excluded)
	if position < 0 {
		return replicas
	}
	return append(replicas[:position:position], replicas[position+1:]...)
}
