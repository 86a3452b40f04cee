package emulator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/weldline/weldline/api/engine"
	"github.com/weldline/weldline/internal/enginemodel"
)

// Engine emulates a model engine on one machine.
type Engine struct {
	machine string
	config  EngineConfig
	faults  *faultInjector
	store   *Store
	auditor *auditor
	// leavingSince returns when the machine was listed as leaving.
	leavingSince func(machine string) (time.Time, bool)

	mutex sync.Mutex
	model *enginemodel.Engine
	// replicas holds the serving state of the model's replicas.
	replicas    map[string]*replica
	streams     map[string]*stream
	caches      *enginemodel.CheckpointCache
	loadHistory loadHistory
	// processContext is canceled when the emulated process ends.
	processContext context.Context
	stopProcess    context.CancelFunc
}

type replica struct {
	*enginemodel.Replica
	readyAt    time.Time
	cacheUsed  int64
	waiting    []*slotWaiter
	adapters   map[string]bool
	prefixes   map[uint64]bool
	cancelLoad context.CancelFunc
}

type faultInjector struct {
	mutex  sync.Mutex
	random *rand.Rand
	faults Faults
}

func newFaultInjector(seed int64, faults Faults) *faultInjector {
	return &faultInjector{random: rand.New(rand.NewPCG(uint64(seed), 0)), faults: faults}
}

// draw decides whether to inject a fault.
func (f *faultInjector) draw(probability func(Faults) float64) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.random.Float64() < probability(f.faults)
}

func (f *faultInjector) set(faults Faults) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.faults = faults
}

func newEngine(machine string, config *Config, faults *faultInjector, store *Store, auditor *auditor, leavingSince func(string) (time.Time, bool)) *Engine {
	created := &Engine{
		machine: machine, config: config.Engine,
		model: enginemodel.New(machine, config.Machines.Accelerators, config.Machines.AcceleratorBytes, 0), faults: faults, store: store, auditor: auditor, leavingSince: leavingSince,
		caches: enginemodel.NewCheckpointCache(config.Engine.tiers()),
	}
	created.startProcess()
	return created
}

// startProcess starts a new incarnation with empty memory; disk caches survive.
func (e *Engine) startProcess() {
	e.model.Restart(uint64(time.Now().UnixNano()))
	e.replicas = map[string]*replica{}
	e.streams = map[string]*stream{}
	e.caches.ClearMemory()
	e.processContext, e.stopProcess = context.WithCancel(context.Background())
}

// Restart crashes and restarts the emulated process.
func (e *Engine) Restart() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.stopProcess()
	for _, target := range e.replicas {
		if target.Phase != engine.PhaseFailed {
			e.auditor.addReplicas(target.Order.Version, -1)
		}
	}
	e.startProcess()
}

// applyOrder executes a fenced order.
func (e *Engine) applyOrder(order engine.Order) engine.OrderResult {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	result, effect := e.model.Apply(order)
	switch {
	case effect.Loading != nil:
		e.beginLoad(effect.Loading)
	case effect.Unloading != nil:
		e.beginUnload(effect.Unloading)
	case result.Reason == engine.ReasonNoMemory:
		e.auditor.update(func(audit *Audit) { audit.MemoryOvercommits++ })
	case !result.Accepted:
		e.auditor.update(func(audit *Audit) { audit.StaleOrders++ })
	}
	return result
}

func (e *Engine) beginLoad(loading *enginemodel.Replica) {
	ctx, cancel := context.WithCancel(e.processContext)
	started := &replica{
		Replica: loading, cancelLoad: cancel, adapters: map[string]bool{}, prefixes: map[uint64]bool{},
	}
	e.replicas[loading.Order.Replica] = started
	e.auditor.addReplicas(loading.Order.Version, 1)
	go e.runLoad(ctx, started)
}

// runLoad loads the weights from the fastest tier that has them.
func (e *Engine) runLoad(ctx context.Context, loading *replica) {
	defer loading.cancelLoad()
	crashes := e.faults.draw(func(faults Faults) float64 { return faults.DieWhileLoading })
	if crashes {
		time.AfterFunc(loadCrashDelay, e.Restart)
	}
	bytes := loading.Order.WeightBytes
	err := e.fetch(ctx, loading, bytes)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	if ctx.Err() != nil || !e.model.FinishLoad(loading.Replica, reason) {
		return
	}
	if err != nil {
		e.auditor.addReplicas(loading.Order.Version, -1)
		return
	}
	e.caches.Add(loading.Order.Checkpoint, bytes)
	e.auditor.update(func(audit *Audit) { audit.Loads++ })
}

// loadCrashDelay is the time from the start of a load to an injected crash.
const loadCrashDelay = 150 * time.Millisecond

const storeRetryDelay = 100 * time.Millisecond

func (e *Engine) fetch(ctx context.Context, loading *replica, bytes int64) error {
	e.mutex.Lock()
	tier := e.caches.Tier(loading.Order.Checkpoint)
	e.mutex.Unlock()
	progress := func(remaining time.Duration) {
		e.mutex.Lock()
		loading.readyAt = time.Now().Add(remaining)
		e.mutex.Unlock()
	}
	if speed := e.caches.BytesPerSecond(tier); speed > 0 {
		needed := time.Duration(float64(bytes) / speed * float64(time.Second))
		progress(needed)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(needed):
			return nil
		}
	}
	for !e.store.Admit() {
		progress(storeRetryDelay)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(storeRetryDelay):
		}
	}
	return e.store.Transfer(ctx, bytes, progress)
}

// beginUnload refuses the queued requests; running ones finish.
func (e *Engine) beginUnload(ending *enginemodel.Replica) {
	target := e.replicas[ending.Order.Replica]
	target.cancelLoad()
	for _, waiting := range target.waiting {
		close(waiting.refused)
	}
	target.waiting = nil
	e.removeIfUnloaded(target)
}

// removeIfUnloaded removes a replica once the model has freed its memory.
func (e *Engine) removeIfUnloaded(target *replica) {
	name := target.Order.Replica
	if e.replicas[name] == target && e.model.Replica(name) != target.Replica {
		delete(e.replicas, name)
		e.auditor.addReplicas(target.Order.Version, -1)
	}
}

// report returns the engine's state with load figures that lag by ReportLag.
func (e *Engine) report() engine.Report {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Now()
	report := e.model.Report()
	queued := 0
	for position := range report.Replicas {
		entry := &report.Replicas[position]
		target := e.replicas[entry.Replica]
		if target == nil {
			continue
		}
		queued += len(target.waiting)
		if target.Phase == engine.PhaseLoading {
			entry.RemainingMillis = max(0, target.readyAt.Sub(now).Milliseconds())
		}
		for adapter := range target.adapters {
			entry.Adapters = append(entry.Adapters, adapter)
		}
	}
	running := report.Running
	e.loadHistory.add(now, running, queued)
	report.Running, report.Queued = e.loadHistory.at(now.Add(-e.config.ReportLag))
	report.Checkpoints = e.caches.List()
	return report
}

// loadHistory keeps recent load samples for delayed reports.
type loadHistory struct {
	samples []loadSample
}

type loadSample struct {
	at              time.Time
	running, queued int
}

const maxLoadSamples = 256

func (h *loadHistory) add(now time.Time, running, queued int) {
	h.samples = append(h.samples, loadSample{now, running, queued})
	if len(h.samples) > maxLoadSamples {
		h.samples = h.samples[len(h.samples)-maxLoadSamples:]
	}
}

// at returns the latest sample taken no later than the given time.
func (h *loadHistory) at(when time.Time) (running, queued int) {
	for position := len(h.samples) - 1; position >= 0; position-- {
		if sample := h.samples[position]; !sample.at.After(when) {
			return sample.running, sample.queued
		}
	}
	return 0, 0
}
