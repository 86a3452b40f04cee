package placement

import (
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/keepalive"
)

// leavingGracePeriod is how long a replica on a leaving machine waits for a replacement. Routers
// prefer other replicas meanwhile, and send it no new requests afterwards.
const leavingGracePeriod = 2 * time.Second

// retire unloads replicas whose idle time outweighs their value, replicas of undeclared versions,
// and replicas on leaving machines.
func (p *pass) retire() {
	for _, replica := range p.input.Replicas {
		if p.changed[replica] || replica.Spec.Phase == v1.ReplicaUnloading {
			continue
		}
		if reason := p.retireReason(replica); reason != "" {
			p.unload(replica, reason)
		}
	}
}

func (p *pass) unload(replica *Replica, reason string) {
	p.addAction(Action{Kind: ActionUnload, Replica: replica, Reason: reason})
	version := replica.Spec.Version
	p.byVersion[version] = withoutReplica(p.byVersion[version], replica)
	p.drained[version] = withoutReplica(p.drained[version], replica)
}

func (p *pass) retireReason(replica *Replica) string {
	machine := p.input.Machines[replica.Spec.Machine]
	version := p.input.Versions[replica.Spec.Version]
	switch {
	case machine.Drained:
		return p.drainedReason(replica, version)
	case machine.Pool != "" && !machine.Schedulable:
		// Nothing is unloaded on a registered machine: one that leaves is about to stop,
		// and one that is silent may still serve.
		return ""
	case machine.Lost:
		return "machine-lost"
	case version == nil:
		return "not-declared"
	case !machine.Schedulable:
		return p.leavingReason(replica)
	case replica.Spec.Phase == v1.ReplicaReady && p.isNotWorthKeeping(replica, version):
		return "idle"
	}
	return ""
}

func (p *pass) leavingReason(replica *Replica) string {
	waited := p.input.Now.Sub(p.planner.leavingSince[replica.Spec.Machine])
	if waited >= leavingGracePeriod || replica.Spec.Phase == v1.ReplicaLoading || p.isReadyElsewhere(replica) {
		return "machine-leaving"
	}
	return ""
}

func (p *pass) isReadyElsewhere(replica *Replica) bool {
	for _, other := range p.byVersion[replica.Spec.Version] {
		machine := p.input.Machines[other.Spec.Machine]
		if other != replica && other.Spec.Phase == v1.ReplicaReady && machine.Schedulable {
			return true
		}
	}
	return false
}

func (p *pass) isIdle(replica *Replica) bool {
	demand := p.input.Demand[replica.Spec.Version]
	return replica.Running == 0 && (demand == nil || demand.Waiting == 0)
}

// isNotWorthKeeping reports whether an idle replica should be unloaded. Replicas that share an
// accelerator are kept while one of them is in use or their indices add up to at least one
// accelerator.
func (p *pass) isNotWorthKeeping(replica *Replica, version *Version) bool {
	if !p.isIdle(replica) || len(p.byVersion[version.Name]) <= version.MinReplicas {
		return false
	}
	if p.keepAliveIndex(replica) == keepalive.Never {
		return true
	}
	values := p.valuesByAccelerator(replica.Spec.Machine)
	for _, accelerator := range replica.Spec.Accelerators {
		if values[accelerator] >= 1 {
			return false
		}
	}
	return true
}

// valuesByAccelerator returns the summed index of the replicas on each accelerator of a machine.
func (p *pass) valuesByAccelerator(machine string) map[int]float64 {
	if values, known := p.acceleratorValues[machine]; known {
		return values
	}
	values := map[int]float64{}
	for _, replica := range p.machines[machine].replicas {
		for _, accelerator := range replica.Spec.Accelerators {
			values[accelerator] += max(p.keepAliveIndex(replica), 0) / float64(len(replica.Spec.Accelerators))
		}
	}
	p.acceleratorValues[machine] = values
	return values
}

// keepAliveIndex returns the value of keeping a replica, in accelerators.
func (p *pass) keepAliveIndex(replica *Replica) float64 {
	version := p.input.Versions[replica.Spec.Version]
	switch {
	case version == nil || replica.Spec.Phase == v1.ReplicaUnloading:
		return 0
	case replica.Spec.Phase == v1.ReplicaLoading || !p.isIdle(replica):
		return keepalive.Always
	}
	idle := p.input.Now.Sub(p.planner.lastUsed[replica.Name])
	return p.planner.config.KeepAlive.Index(p.planner.profile(version), idle, p.input.Now)
}
