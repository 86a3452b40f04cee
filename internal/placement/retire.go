package placement

import (
	"time"

	v1 "github.com/weldline/weldline/api/v1"
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
	counted := p.byVersion[replica.Spec.Version]
	for position, other := range counted {
		if other == replica {
			p.byVersion[replica.Spec.Version] = append(counted[:position:position], counted[position+1:]...)
			return
		}
	}
}

func (p *pass) retireReason(replica *Replica) string {
	machine := p.input.Machines[replica.Spec.Machine]
	version := p.input.Versions[replica.Spec.Version]
	switch {
	case machine.Lost:
		return "machine-lost"
	case version == nil:
		return "not-declared"
	case !machine.Accepts:
		return p.leaveReason(replica)
	case replica.Spec.Phase == v1.ReplicaReady && p.isIdleTooLong(replica, version):
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
		if other != replica && other.Spec.Phase == v1.ReplicaReady && machine.Accepts {
			return true
		}
	}
	return false
}

func (p *pass) isIdle(replica *Replica) bool {
	demand := p.input.Demand[replica.Spec.Version]
	return replica.Running == 0 && (demand == nil || demand.Waiting == 0)
}

func (p *pass) isIdleTooLong(replica *Replica, version *Version) bool {
	if !p.isIdle(replica) || len(p.byVersion[version.Name]) <= version.MinReplicas {
		return false
	}
	subject := p.planner.subject(version)
	idle := p.input.Now.Sub(p.planner.lastUsed[replica.Name])
	if idle <= p.planner.config.KeepAlive.Timeout(subject, p.input.Now) {
		return false
	}
	return !p.planner.config.KeepAlive.Prewarm(subject, p.input.Now)
}
