package agent

import (
	"sort"

	"github.com/weldline/weldline/api/engine"
	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/nodeview"
)

// Orders returns the orders that bring an engine to the decided state, sorted by
// fence: an engine refuses a fence below the highest that it has accepted.
//
// Replicas on the engine without a decision are unloaded under the view's
// revision, which is newer than the decision that loaded them.
func Orders(replicas []nodeview.Replica, revision uint64, report *engine.Report) []engine.Order {
	phases := make(map[string]string, len(report.Replicas))
	for _, replica := range report.Replicas {
		phases[replica.Replica] = replica.Phase
	}
	decided := make(map[string]bool, len(replicas))
	var orders []engine.Order
	for _, replica := range replicas {
		name := replica.Object.GetName()
		decided[name] = true
		if replica.Spec.Incarnation != report.Incarnation {
			continue // Decided for an earlier engine process; the leader removes it.
		}
		if order, due := orderFor(replica, phases[name], report.Fence); due {
			orders = append(orders, order)
		}
	}
	for name, phase := range phases {
		if !decided[name] && phase != engine.PhaseUnloading {
			orders = append(orders, engine.Order{
				Kind: engine.OrderUnload, Replica: name, Fence: revision, Incarnation: report.Incarnation,
			})
		}
	}
	sort.Slice(orders, func(i, j int) bool {
		if orders[i].Fence != orders[j].Fence {
			return orders[i].Fence < orders[j].Fence
		}
		return orders[i].Replica < orders[j].Replica
	})
	return orders
}

func orderFor(replica nodeview.Replica, phase string, fence uint64) (engine.Order, bool) {
	if replica.Spec.Phase == v1.ReplicaUnloading {
		// Sent until the engine has accepted the fence, even if the replica is
		// not loaded: otherwise a delayed load order could load it again.
		due := phase != engine.PhaseUnloading && (phase != "" || fence < replica.Object.GetRevision())
		return engine.Order{
			Kind: engine.OrderUnload, Replica: replica.Object.GetName(),
			Fence: replica.Object.GetRevision(), Incarnation: replica.Spec.Incarnation,
		}, due
	}
	if replica.Spec.Phase != v1.ReplicaLoading || phase != "" {
		return engine.Order{}, false
	}
	return engine.Order{
		Kind: engine.OrderLoad, Replica: replica.Object.GetName(),
		Fence: replica.Object.GetCreateRevision(), Incarnation: replica.Spec.Incarnation,
		Version: replica.Spec.Version, Checkpoint: replica.Spec.Checkpoint,
		WeightBytes: replica.Spec.WeightBytes, Accelerators: replica.Spec.Accelerators,
		BytesPerAccelerator: replica.Spec.BytesPerAccelerator, CacheBytes: replica.Spec.CacheBytes,
		MaxConcurrent: replica.Spec.MaxConcurrent,
	}, true
}
