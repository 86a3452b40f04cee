package agent

import (
	"time"

	"github.com/weldline/weldline/api/engine"
	"github.com/weldline/weldline/internal/machines"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const refusedLoadTTL = 10 * time.Second

// RefusedLoads maps replicas to the time at which the engine refused their load.
// Entries are reported to the leader as failed replicas until they expire.
type RefusedLoads map[string]time.Time

// Record records a refused order if it is a load.
func (r RefusedLoads) Record(order engine.Order, now time.Time) {
	if order.Kind == engine.OrderLoad {
		r[order.Replica] = now
	}
}

// Contains reports whether an order is a load of a replica recorded as refused.
func (r RefusedLoads) Contains(order engine.Order) bool {
	_, known := r[order.Replica]
	return known && order.Kind == engine.OrderLoad
}

// MachineReport converts an engine's report to the message for the leader.
// Refused loads, which the engine doesn't list, are added as failed replicas.
// Expired and listed entries are removed from refused.
func MachineReport(machine string, report *engine.Report, refused RefusedLoads, requestedAt time.Time) *wirepb.MachineReport {
	message := &wirepb.MachineReport{
		Machine: machine, Incarnation: report.Incarnation, Reachable: true,
		Running: uint32(report.Running), Queued: uint32(report.Queued), Fence: report.Fence,
	}
	listed := map[string]bool{}
	for _, replica := range report.Replicas {
		listed[replica.Replica] = true
		message.Replicas = append(message.Replicas, &wirepb.EngineReplica{
			Id: replica.Replica, Version: replica.Version, Phase: replica.Phase,
			RemainingMs: uint32(replica.RemainingMillis), Running: uint32(replica.Running), Adapters: replica.Adapters,
		})
	}
	for name, since := range refused {
		if listed[name] || requestedAt.Sub(since) > refusedLoadTTL {
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

// needsImmediateReport reports whether a change can't wait for the next periodic
// report: the set of replicas, a replica's phase or the fence changed.
func needsImmediateReport(previous, next *wirepb.MachineReport) bool {
	return previous.GetFence() != next.GetFence() || machines.ReplicasDiffer(previous, next)
}
