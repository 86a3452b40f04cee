package placement

import (
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/keepalive"
)

// leaveGrace is how long a leaving machine's replica waits for another to
// take over. Routers prefer others meanwhile; after it, nothing new comes.
const leaveGrace = 2 * time.Second

// retire unloads replicas that are idle for longer than they are worth, those
// that nobody declares any more, and those on machines that leave.
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
	p.act(Action{Kind: ActionUnload, Replica: replica, Reason: reason})
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
		// A registered machine that leaves takes its models with it, and one
		// that is silent may still serve: nothing is unloaded there.
		return ""
	case machine.Lost:
		return "machine-lost"
	case version == nil:
		return "not-declared"
	case !machine.Schedulable:
		return p.leaveReason(replica)
	case replica.Spec.Phase == v1.ReplicaReady && p.isWorthless(replica, version):
		return "idle"
	}
	return ""
}

func (p *pass) leaveReason(replica *Replica) string {
	waited := p.input.Now.Sub(p.planner.leavingSince[replica.Spec.Machine])
	if waited >= leaveGrace || replica.Spec.Phase == v1.ReplicaLoading || p.readyElsewhere(replica) {
		return "machine-leaving"
	}
	return ""
}

func (p *pass) readyElsewhere(replica *Replica) bool {
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

// isWorthless reports whether an idle replica is no longer worth its place.
// The replicas that share an accelerator pay for it together: it is kept as
// long as one of them is in use or they are worth one accelerator in sum.
func (p *pass) isWorthless(replica *Replica, version *Version) bool {
	if !p.isIdle(replica) || len(p.byVersion[version.Name]) <= version.MinReplicas {
		return false
	}
	if p.indexOf(replica) == keepalive.Never {
		return true
	}
	worth := p.accelerators(replica.Spec.Machine)
	for _, accelerator := range replica.Spec.Accelerators {
		if worth[accelerator] >= 1 {
			return false
		}
	}
	return true
}

// accelerators returns what the replicas on each accelerator of a machine are
// worth together.
func (p *pass) accelerators(machine string) map[int]float64 {
	if worth, known := p.worth[machine]; known {
		return worth
	}
	worth := map[int]float64{}
	for _, replica := range p.machines[machine].replicas {
		for _, accelerator := range replica.Spec.Accelerators {
			worth[accelerator] += max(p.indexOf(replica), 0) / float64(len(replica.Spec.Accelerators))
		}
	}
	p.worth[machine] = worth
	return worth
}

// indexOf returns what keeping a replica is worth, in accelerators.
func (p *pass) indexOf(replica *Replica) float64 {
	version := p.input.Versions[replica.Spec.Version]
	switch {
	case version == nil || replica.Spec.Phase == v1.ReplicaUnloading:
		return 0
	case replica.Spec.Phase == v1.ReplicaLoading || !p.isIdle(replica):
		return keepalive.Always
	}
	idle := p.input.Now.Sub(p.planner.lastUsed[replica.Name])
	return p.planner.config.KeepAlive.Index(p.planner.subject(version), idle, p.input.Now)
}
