package placement

import (
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// failedLoadBackoff is the delay before a version is loaded again after a failed load.
const failedLoadBackoff = time.Second

// Reasons for removing a replica whose machine or engine is gone.
const (
	reasonMachineGone     = "machine-gone"
	reasonEngineRestarted = "engine-restarted"
)

// reconcile updates each record to the phase that its engine reports.
//
// Invariant: a record is removed, and its memory freed, only when the engine reports that the
// replica is gone, or runs under a later incarnation (its memory is empty), or the declaration of
// the machine is gone.
func (p *pass) reconcile() {
	for _, replica := range p.input.Replicas {
		if action, due := p.reconcileReplica(replica); due {
			p.addAction(action)
		}
	}
}

func (p *pass) reconcileReplica(replica *Replica) (Action, bool) {
	if p.input.Machines[replica.Spec.Machine] == nil {
		return p.removeLost(replica, reasonMachineGone), true
	}
	if replica.Restarted {
		return p.removeLost(replica, reasonEngineRestarted), true
	}
	if !replica.Observed {
		return Action{}, false
	}
	switch replica.EnginePhase {
	case EngineLoading:
		p.planner.loadingReported[replica.Name] = true
	case EngineReady:
		if replica.Spec.Phase == v1.ReplicaLoading {
			p.planner.readySince[replica.Name] = p.input.Now
			return Action{Kind: ActionReady, Replica: replica, Reason: "loaded"}, true
		}
	case EngineFailed:
		p.planner.retryAfter[replica.Spec.Version] = p.input.Now.Add(failedLoadBackoff)
		return Action{Kind: ActionRemove, Replica: replica, Reason: "load-failed"}, true
	case "":
		if replica.Spec.Phase != v1.ReplicaLoading {
			return Action{Kind: ActionRemove, Replica: replica, Reason: "unloaded"}, true
		}
	}
	return Action{}, false
}
