package agent

import (
	"time"

	"github.com/weldline/weldline/api/engine"
	"github.com/weldline/weldline/internal/machines"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// refusedOrderAge is for how long a refused load is reported as failed.
const refusedOrderAge = 10 * time.Second

// RefusedLoads holds, by replica, the loads that the engine refused and will
// never carry out, until the leader has taken notice.
type RefusedLoads map[string]time.Time

// Record remembers a refused order if it was a load.
func (r RefusedLoads) Record(order engine.Order, now time.Time) {
	if order.Kind == engine.OrderLoad {
		r[order.Replica] = now
	}
}

// Contains reports whether an order is a load that was refused before.
func (r RefusedLoads) Contains(order engine.Order) bool {
	_, known := r[order.Replica]
	return known && order.Kind == engine.OrderLoad
}

// MachineReport turns an engine's report into the leader's form. Refused
// loads are added as failed replicas: the engine doesn't list them.
func MachineReport(machine string, report *engine.Report, refused RefusedLoads, asked time.Time) *wirepb.MachineReport {
	message := &wirepb.MachineReport{
		Machine: machine, Incarnation: report.Incarnation, Reachable: true,
		Running: uint32(report.Running), Queued: uint32(report.Queued), Fence: report.Fence,
	}
	held := map[string]bool{}
	for _, replica := range report.Replicas {
		held[replica.Replica] = true
		message.Replicas = append(message.Replicas, &wirepb.EngineReplica{
			Id: replica.Replica, Version: replica.Version, Phase: replica.Phase,
			RemainingMs: uint32(replica.RemainingMillis), Running: uint32(replica.Running), Adapters: replica.Adapters,
		})
	}
	for name, since := range refused {
		if held[name] || asked.Sub(since) > refusedOrderAge {
			delete(refused, name)
			continue
		}
		message.Replicas = append(message.Replicas, &wirepb.EngineReplica{Id: name, Phase: engine.PhaseFailed})
	}
	for _, checkpoint := range report.Checkpoints {
		message.Checkpoints = append(message.Checkpoints, &wirepb.CachedCheckpoint{
			Checkpoint: checkpoint.Checkpoint, Tier: checkpoint.Tier,
		})
	}
	return message
}

// differs reports whether the leader should hear at once: something came, went
// or changed its phase, or the engine accepted a newer fence.
func differs(held, next *wirepb.MachineReport) bool {
	return held.GetFence() != next.GetFence() || machines.ReplicasDiffer(held, next)
}
