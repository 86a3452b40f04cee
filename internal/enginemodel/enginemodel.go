// Package enginemodel is a deterministic model of an engine: fenced orders,
// incarnations and accelerator memory. It implements the rules of the engine
// protocol:
//
//   - an order for another incarnation is refused;
//   - an order whose fence is below the highest accepted one is refused,
//     unless it is a load of a replica that exists;
//   - a replica name that was unloaded, failed or was refused for lack of memory
//     is never loaded again in the same incarnation, so a delayed duplicate of its
//     order has no effect;
//   - an unload refuses new requests immediately, and frees the memory when the
//     last running request has ended.
package enginemodel

import (
	"sort"

	"github.com/weldline/weldline/api/engine"
)

// Engine is the state of one engine process. It is not safe for concurrent use.
type Engine struct {
	Machine          string
	Accelerators     int
	AcceleratorBytes int64
	Incarnation      uint64
	Fence            uint64
	replicas         map[string]*Replica
	retired          map[string]bool
	// ignoreFence disables fencing and the incarnation check, for mutation tests.
	ignoreFence bool
}

// Replica is a replica on the engine.
type Replica struct {
	Order   engine.Order
	Phase   string
	Running int
	Reason  string
}

// New returns an engine without replicas.
func New(machine string, accelerators int, acceleratorBytes int64, incarnation uint64) *Engine {
	created := &Engine{Machine: machine, Accelerators: accelerators, AcceleratorBytes: acceleratorBytes}
	created.Restart(incarnation)
	return created
}

// DisableFencing makes the engine ignore fences and incarnations, for mutation tests.
func (e *Engine) DisableFencing() {
	e.ignoreFence = true
}

// Restart removes all replicas and starts a new incarnation.
func (e *Engine) Restart(incarnation uint64) {
	e.Incarnation = incarnation
	e.Fence = 0
	e.replicas = map[string]*Replica{}
	e.retired = map[string]bool{}
}

// Effect has the replicas whose load or unload an accepted order started, or nil.
type Effect struct {
	Loading   *Replica
	Unloading *Replica
}

// Apply executes an order.
func (e *Engine) Apply(order engine.Order) (engine.OrderResult, Effect) {
	if reason := e.refusal(order); reason != "" {
		return engine.OrderResult{Reason: reason, Fence: e.Fence}, Effect{}
	}
	e.Fence = max(e.Fence, order.Fence)
	var effect Effect
	reason := ""
	switch order.Kind {
	case engine.OrderLoad:
		effect.Loading, reason = e.load(order)
	case engine.OrderUnload:
		effect.Unloading = e.unload(order.Replica)
	}
	return engine.OrderResult{Accepted: reason == "", Reason: reason, Fence: e.Fence}, effect
}

func (e *Engine) refusal(order engine.Order) string {
	if e.ignoreFence {
		return ""
	}
	if order.Incarnation != e.Incarnation {
		return engine.ReasonIncarnation
	}
	if order.Kind == engine.OrderLoad && e.replicas[order.Replica] != nil {
		return ""
	}
	if order.Fence < e.Fence || order.Kind == engine.OrderLoad && e.retired[order.Replica] {
		return engine.ReasonStaleFence
	}
	return ""
}

func (e *Engine) load(order engine.Order) (*Replica, string) {
	if e.replicas[order.Replica] != nil {
		return nil, ""
	}
	if !e.hasRoom(order) {
		e.retired[order.Replica] = true
		return nil, engine.ReasonNoMemory
	}
	replica := &Replica{Order: order, Phase: engine.PhaseLoading}
	e.replicas[order.Replica] = replica
	return replica, ""
}

func (e *Engine) hasRoom(order engine.Order) bool {
	used := e.UsedBytes()
	for _, accelerator := range order.Accelerators {
		if accelerator < 0 || accelerator >= e.Accelerators {
			return false
		}
		if used[accelerator]+order.BytesPerAccelerator > e.AcceleratorBytes {
			return false
		}
	}
	return true
}

// UsedBytes returns the bytes reserved on each accelerator.
func (e *Engine) UsedBytes() []int64 {
	used := make([]int64, e.Accelerators)
	for _, replica := range e.replicas {
		if replica.Phase == engine.PhaseFailed {
			continue
		}
		for _, accelerator := range replica.Order.Accelerators {
			used[accelerator] += replica.Order.BytesPerAccelerator
		}
	}
	return used
}

func (e *Engine) unload(name string) *Replica {
	e.retired[name] = true
	replica := e.replicas[name]
	if replica == nil {
		return nil
	}
	if replica.Phase == engine.PhaseFailed {
		delete(e.replicas, name)
		return nil
	}
	replica.Phase = engine.PhaseUnloading
	e.release(replica)
	return replica
}

// release removes a replica that is unloading and has no running requests.
func (e *Engine) release(replica *Replica) {
	if replica.Phase == engine.PhaseUnloading && replica.Running == 0 {
		delete(e.replicas, replica.Order.Replica)
	}
}

// FinishLoad completes a load, as failed if reason is not empty. A failed load
// frees its memory. It returns false if the replica is no longer loading.
func (e *Engine) FinishLoad(replica *Replica, reason string) bool {
	if e.replicas[replica.Order.Replica] != replica || replica.Phase != engine.PhaseLoading {
		return false
	}
	replica.Phase = engine.PhaseReady
	if reason != "" {
		replica.Phase = engine.PhaseFailed
		replica.Reason = reason
		e.retired[replica.Order.Replica] = true
	}
	return true
}

// BeginRequest starts a request on a replica. It returns nil if the replica is not ready.
func (e *Engine) BeginRequest(name string) *Replica {
	replica := e.replicas[name]
	if replica == nil || replica.Phase != engine.PhaseReady {
		return nil
	}
	replica.Running++
	return replica
}

// EndRequest ends a request that BeginRequest started.
func (e *Engine) EndRequest(replica *Replica) {
	replica.Running--
	if e.replicas[replica.Order.Replica] == replica {
		e.release(replica)
	}
}

// Replica returns a replica by name, or nil.
func (e *Engine) Replica(name string) *Replica {
	return e.replicas[name]
}

// Replicas returns all replicas, sorted by name.
func (e *Engine) Replicas() []*Replica {
	listed := make([]*Replica, 0, len(e.replicas))
	for _, replica := range e.replicas {
		listed = append(listed, replica)
	}
	sort.Slice(listed, func(i, j int) bool { return listed[i].Order.Replica < listed[j].Order.Replica })
	return listed
}

// Report returns the current state of the engine.
func (e *Engine) Report() engine.Report {
	report := engine.Report{
		Machine: e.Machine, Incarnation: e.Incarnation, Fence: e.Fence,
		Accelerators: e.Accelerators, AcceleratorBytes: e.AcceleratorBytes,
	}
	for _, replica := range e.Replicas() {
		report.Running += replica.Running
		report.Replicas = append(report.Replicas, engine.ReplicaReport{
			Replica: replica.Order.Replica, Version: replica.Order.Version, Phase: replica.Phase,
			Running: replica.Running, Reason: replica.Reason,
		})
	}
	return report
}
