// Package enginemodel is the part of a model engine that weldline's promises
// rest on: fenced orders, incarnations and accelerator memory. It is pure; the
// emulator runs it in real time, the simulators in virtual time.
//
// Its rules are the contract of the engine protocol:
//
//   - an order for another incarnation is refused;
//   - an order whose fence is below the highest accepted one is refused,
//     unless it asks for a load that is already there;
//   - a replica name that has ended (unloaded, failed or refused for lack of
//     memory) is never loaded again in the same incarnation, so a late copy
//     of its order can't bring it back;
//   - an unload refuses new requests at once, and frees the memory when the
//     last running one has ended.
package enginemodel

import (
	"sort"

	"github.com/weldline/weldline/api/engine"
)

// Engine is the state of one engine process. It is not safe for concurrent
// use.
type Engine struct {
	Machine          string
	Accelerators     int
	AcceleratorBytes int64
	Incarnation      uint64
	Fence            uint64
	replicas         map[string]*Replica
	ended            map[string]bool
	// ignoreFence breaks the rule of fences, to show that checks notice.
	ignoreFence bool
}

// Replica is a replica that the engine holds.
type Replica struct {
	Order   engine.Order
	Phase   string
	Running int
	Reason  string
}

// New returns an engine with empty memory.
func New(machine string, accelerators int, acceleratorBytes int64, incarnation uint64) *Engine {
	created := &Engine{Machine: machine, Accelerators: accelerators, AcceleratorBytes: acceleratorBytes}
	created.Restart(incarnation)
	return created
}

// DisableFencing makes the engine ignore fences; for mutation tests.
func (e *Engine) DisableFencing() {
	e.ignoreFence = true
}

// Restart empties the memory under a new incarnation.
func (e *Engine) Restart(incarnation uint64) {
	e.Incarnation = incarnation
	e.Fence = 0
	e.replicas = map[string]*Replica{}
	e.ended = map[string]bool{}
}

// Effect is what an accepted order began.
type Effect struct {
	// Loading is the replica whose load begins.
	Loading *Replica
	// Unloading is the replica whose unload begins.
	Unloading *Replica
}

// Apply carries out an order.
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
	if order.Fence < e.Fence || order.Kind == engine.OrderLoad && e.ended[order.Replica] {
		return engine.ReasonStaleFence
	}
	return ""
}

func (e *Engine) load(order engine.Order) (*Replica, string) {
	if e.replicas[order.Replica] != nil {
		return nil, ""
	}
	if !e.hasRoom(order) {
		e.ended[order.Replica] = true
		return nil, engine.ReasonNoMemory
	}
	started := &Replica{Order: order, Phase: engine.PhaseLoading}
	e.replicas[order.Replica] = started
	return started, ""
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

// UsedBytes returns the bytes in use on each accelerator.
func (e *Engine) UsedBytes() []int64 {
	used := make([]int64, e.Accelerators)
	for _, held := range e.replicas {
		if held.Phase == engine.PhaseFailed {
			continue
		}
		for _, accelerator := range held.Order.Accelerators {
			used[accelerator] += held.Order.BytesPerAccelerator
		}
	}
	return used
}

func (e *Engine) unload(name string) *Replica {
	e.ended[name] = true
	held := e.replicas[name]
	if held == nil {
		return nil
	}
	if held.Phase == engine.PhaseFailed {
		delete(e.replicas, name)
		return nil
	}
	held.Phase = engine.PhaseUnloading
	e.free(held)
	return held
}

func (e *Engine) free(held *Replica) {
	if held.Phase == engine.PhaseUnloading && held.Running == 0 {
		delete(e.replicas, held.Order.Replica)
	}
}

// FinishLoad ends a load, with a failure if reason is not empty. A failed
// load holds no memory. It returns false where the load is no longer wanted.
func (e *Engine) FinishLoad(held *Replica, reason string) bool {
	if e.replicas[held.Order.Replica] != held || held.Phase != engine.PhaseLoading {
		return false
	}
	held.Phase = engine.PhaseReady
	if reason != "" {
		held.Phase = engine.PhaseFailed
		held.Reason = reason
		e.ended[held.Order.Replica] = true
	}
	return true
}

// BeginRequest admits a request to a replica, or returns nil: it does not run then.
func (e *Engine) BeginRequest(name string) *Replica {
	held := e.replicas[name]
	if held == nil || held.Phase != engine.PhaseReady {
		return nil
	}
	held.Running++
	return held
}

// EndRequest ends a request that Begin admitted.
func (e *Engine) EndRequest(held *Replica) {
	held.Running--
	if e.replicas[held.Order.Replica] == held {
		e.free(held)
	}
}

// Replica returns a held replica by name, or nil.
func (e *Engine) Replica(name string) *Replica {
	return e.replicas[name]
}

// Replicas returns what the engine holds, by name.
func (e *Engine) Replicas() []*Replica {
	listed := make([]*Replica, 0, len(e.replicas))
	for _, held := range e.replicas {
		listed = append(listed, held)
	}
	sort.Slice(listed, func(i, j int) bool { return listed[i].Order.Replica < listed[j].Order.Replica })
	return listed
}

// Report returns what the engine says of itself, without lagging figures.
func (e *Engine) Report() engine.Report {
	report := engine.Report{
		Machine: e.Machine, Incarnation: e.Incarnation, Fence: e.Fence,
		Accelerators: e.Accelerators, AcceleratorBytes: e.AcceleratorBytes,
	}
	for _, held := range e.Replicas() {
		report.Running += held.Running
		report.Replicas = append(report.Replicas, engine.ReplicaReport{
			Replica: held.Order.Replica, Version: held.Order.Version, Phase: held.Phase,
			Running: held.Running, Reason: held.Reason,
		})
	}
	return report
}
