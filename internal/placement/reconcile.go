package placement

import (
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// failedLoadBackoff is how long a version waits after an engine gave up its
// load.
const failedLoadBackoff = time.Second

// The reasons for removing a replica whose machine has ended.
const (
	reasonMachineGone     = "machine-gone"
	reasonEngineRestarted = "engine-restarted"
)

// reconcile moves each record to where its engine says it is.
//
// Invariant: a record is removed, and its memory freed, only when the engine
// reports that the replica is gone, or runs under a later incarnation (its
// memory is empty), or the machine's declaration is gone.
func (p *pass) reconcile() {
	for _, replica := range p.input.Replicas {
		if action, due := p.follow(replica); due {
			p.act(action)
		}
	}
}

func (p *pass) follow(replica *Replica) (Action, bool) {
	if p.input.Machines[replica.Spec.Machine] == nil {
		return p.removeEnded(replica, reasonMachineGone), true
	}
	if replica.Restarted {
		return p.removeEnded(replica, reasonEngineRestarted), true
	}
	if !replica.Observed {
		return Action{}, false
	}
	switch replica.EnginePhase {
	case EngineLoading:
		p.planner.loadsSeen[replica.Name] = true
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
