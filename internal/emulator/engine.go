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
	faults  *faultSource
	store   *Store
	auditor *auditor
	// leavingSince tells since when the machine has been leaving.
	leavingSince func(machine string) (time.Time, bool)

	mutex sync.Mutex
	model *enginemodel.Engine
	// replicas holds what serving needs beside the model's replicas.
	replicas map[string]*replica
	streams  map[string]*stream
	caches   *enginemodel.CheckpointCache
	loads    loadHistory
	// life ends with the incarnation.
	life context.Context
	kill context.CancelFunc
}

// replica is a loaded, loading or unloading model.
type replica struct {
	*enginemodel.Replica
	readyAt   time.Time
	cacheUsed int64
	waiting   []*slotWaiter
	adapters  map[string]bool
	prefixes  map[uint64]bool
	cancel    context.CancelFunc
}

// faultSource draws faults.
type faultSource struct {
	mutex  sync.Mutex
	random *rand.Rand
	faults Faults
}

func newFaultSource(seed int64, faults Faults) *faultSource {
	return &faultSource{random: rand.New(rand.NewPCG(uint64(seed), 0)), faults: faults}
}

// draw decides whether a fault strikes.
func (f *faultSource) draw(probability func(Faults) float64) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.random.Float64() < probability(f.faults)
}

func (f *faultSource) set(faults Faults) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.faults = faults
}

func newEngine(machine string, config *Config, faults *faultSource, store *Store, auditor *auditor, leavingSince func(string) (time.Time, bool)) *Engine {
	created := &Engine{
		machine: machine, config: config.Engine,
		model: enginemodel.New(machine, config.Machines.Accelerators, config.Machines.AcceleratorBytes, 0), faults: faults, store: store, auditor: auditor, leavingSince: leavingSince,
		caches: enginemodel.NewCheckpointCache(config.Engine.tiers()),
	}
	created.begin()
	return created
}

// begin starts an incarnation with empty memory; disk caches survive.
func (e *Engine) begin() {
	e.model.Restart(uint64(time.Now().UnixNano()))
	e.replicas = map[string]*replica{}
	e.streams = map[string]*stream{}
	e.caches.ClearMemory()
	e.life, e.kill = context.WithCancel(context.Background())
}

// Restart ends everything at once, as a crash would.
func (e *Engine) Restart() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.kill()
	for _, held := range e.replicas {
		if held.Phase != engine.PhaseFailed {
			e.auditor.holds(held.Order.Version, -1)
		}
	}
	e.begin()
}

// order carries out a fenced order.
func (e *Engine) order(order engine.Order) engine.OrderResult {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	result, effect := e.model.Apply(order)
	switch {
	case effect.Loading != nil:
		e.beginLoad(effect.Loading)
	case effect.Unloading != nil:
		e.beginUnload(effect.Unloading)
	case result.Reason == engine.ReasonNoMemory:
		e.auditor.count(func(audit *Audit) { audit.MemoryOvercommits++ })
	case !result.Accepted:
		e.auditor.count(func(audit *Audit) { audit.StaleOrders++ })
	}
	return result
}

func (e *Engine) beginLoad(loading *enginemodel.Replica) {
	ctx, cancel := context.WithCancel(e.life)
	started := &replica{
		Replica: loading, cancel: cancel, adapters: map[string]bool{}, prefixes: map[uint64]bool{},
	}
	e.replicas[loading.Order.Replica] = started
	e.auditor.holds(loading.Order.Version, 1)
	go e.runLoad(ctx, started)
}

// runLoad brings the weights in from the fastest tier that has them.
func (e *Engine) runLoad(ctx context.Context, loading *replica) {
	defer loading.cancel()
	dies := e.faults.draw(func(faults Faults) float64 { return faults.DieWhileLoading })
	if dies {
		time.AfterFunc(dieAfter, e.Restart)
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
		e.auditor.holds(loading.Order.Version, -1)
		return
	}
	e.caches.Add(loading.Order.Checkpoint, bytes)
	e.auditor.count(func(audit *Audit) { audit.Loads++ })
}

// dieAfter is how far into a load a dying engine comes.
const dieAfter = 150 * time.Millisecond

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

// beginUnload turns away those who wait; the running ones finish.
func (e *Engine) beginUnload(ending *enginemodel.Replica) {
	held := e.replicas[ending.Order.Replica]
	held.cancel()
	for _, waiting := range held.waiting {
		close(waiting.refused)
	}
	held.waiting = nil
	e.dropUnloaded(held)
}

// dropUnloaded follows the model once it has freed a replica's memory.
func (e *Engine) dropUnloaded(held *replica) {
	name := held.Order.Replica
	if e.replicas[name] == held && e.model.Replica(name) != held.Replica {
		delete(e.replicas, name)
		e.auditor.holds(held.Order.Version, -1)
	}
}

// report returns the engine's state with load figures that lag.
func (e *Engine) report() engine.Report {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Now()
	report := e.model.Report()
	queued := 0
	for position := range report.Replicas {
		entry := &report.Replicas[position]
		held := e.replicas[entry.Replica]
		if held == nil {
			continue
		}
		queued += len(held.waiting)
		if held.Phase == engine.PhaseLoading {
			entry.RemainingMillis = max(0, held.readyAt.Sub(now).Milliseconds())
		}
		for adapter := range held.adapters {
			entry.Adapters = append(entry.Adapters, adapter)
		}
	}
	running := report.Running
	e.loads.add(now, running, queued)
	report.Running, report.Queued = e.loads.at(now.Add(-e.config.ReportLag))
	report.Checkpoints = e.caches.List()
	return report
}

// loadHistory remembers loads, for reports that lag.
type loadHistory struct {
	samples []loadSample
}

type loadSample struct {
	at              time.Time
	running, queued int
}

const loadSamplesKept = 256

func (h *loadHistory) add(now time.Time, running, queued int) {
	h.samples = append(h.samples, loadSample{now, running, queued})
	if len(h.samples) > loadSamplesKept {
		h.samples = h.samples[len(h.samples)-loadSamplesKept:]
	}
}

// at returns the newest sample that is not after the time.
func (h *loadHistory) at(when time.Time) (running, queued int) {
	for position := len(h.samples) - 1; position >= 0; position-- {
		if sample := h.samples[position]; !sample.at.After(when) {
			return sample.running, sample.queued
		}
	}
	return 0, 0
}
