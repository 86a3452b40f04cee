package placement

import (
	"slices"

	v1 "github.com/weldline/weldline/api/v1"
)

// A drained zone comes back, mostly within minutes and with its machines as they were. So what
// they hold stays, and costs nothing there; but as nothing is sent to them, it serves nobody: a
// version that only they hold is wanted elsewhere, by its worth and at the store's pace as any.

// drainedReason is why a replica in a drained zone must go after all; empty if it stays. The
// state counts it as one of its version's replicas: at the declared maximum it would keep
// requests that wait from being served elsewhere.
func (p *pass) drainedReason(replica *Replica, version *Version) string {
	if version == nil || replica.Running > 0 || p.isAllDrained(version.Spec.Pool) {
		return ""
	}
	demand := p.input.Demand[version.Name]
	held := len(p.byVersion[version.Name]) + len(p.drained[version.Name])
	if demand == nil || demand.Waiting == 0 || held < version.MaxReplicas {
		return ""
	}
	if p.usable(version) > 0 && !p.mayServeBound(version, demand) {
		return ""
	}
	return "drained-at-maximum"
}

// mayServeBound reports whether requests wait that no replica of a version may serve, and a machine
// is there that may once it holds one.
func (p *pass) mayServeBound(version *Version, demand *Demand) bool {
	for _, entry := range p.boundWants(version, demand) {
		for _, candidate := range p.machines {
			if candidate.machine.Schedulable && entry.mayUse(candidate) {
				return true
			}
		}
	}
	return false
}

// isAllDrained reports whether a pool has machines, and all that are not lost stand in drained
// zones.
func (p *pass) isAllDrained(pool string) bool {
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

// estimateDrained tells routers of versions that no machine outside of drained zones can hold:
// who waits for one would wait for an operator.
func (p *pass) estimateDrained() {
	for name, demand := range p.input.Demand {
		version := p.input.Versions[name]
		if demand.Waiting == 0 || version == nil || len(p.byVersion[name]) > 0 || !p.isAllDrained(version.Spec.Pool) {
			continue
		}
		p.decision.Estimates = append(p.decision.Estimates, Estimate{Version: name, Refused: true, Reason: v1.ReasonZoneDrained})
	}
}

// runsDrained reports whether a replica of a version still serves in a drained zone.
func (p *pass) runsDrained(version string) bool {
	return slices.ContainsFunc(p.drained[version], func(replica *Replica) bool {
		return replica.Spec.Phase == v1.ReplicaReady && replica.Running > 0
	})
}

// withoutReplica returns replicas but one of them, and leaves the list as it is.
func withoutReplica(replicas []*Replica, gone *Replica) []*Replica {
	position := slices.Index(replicas, gone)
	if position < 0 {
		return replicas
	}
	return append(replicas[:position:position], replicas[position+1:]...)
}
