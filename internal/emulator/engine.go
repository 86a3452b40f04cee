package emulator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/weldline/weldline/api/engine"
)

// Engine emulates a model engine on one machine.
type Engine struct {
	machine      string
	accelerators int
	bytes        int64
	config       EngineConfig
	faults       *faultSource
	store        *Store
	auditor      *auditor
	// leavingSince tells since when the machine has been leaving.
	leavingSince func(machine string) (time.Time, bool)

	mutex       sync.Mutex
	incarnation uint64
	fence       uint64
	replicas    map[string]*replica
	// ended names can't be loaded again in this incarnation.
	ended   map[string]bool
	streams map[string]*stream
	caches  *checkpointCache
	loads   loadHistory
	// life ends with the incarnation.
	life context.Context
	kill context.CancelFunc
}

// replica is a loaded, loading or unloading model.
type replica struct {
	order     engine.Order
	phase     string
	readyAt   time.Time
	running   int
	cacheUsed int64
	waiting   []*slotWaiter
	adapters  map[string]bool
	prefixes  map[uint64]bool
	cancel    context.CancelFunc
	reason    string
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
		machine: machine, accelerators: config.Machines.Accelerators, bytes: config.Machines.AcceleratorBytes,
		config: config.Engine, faults: faults, store: store, auditor: auditor, leavingSince: leavingSince,
		caches: newCheckpointCache(config.Engine),
	}
	created.begin()
	return created
}

// begin starts an incarnation with empty memory; disk caches survive.
func (e *Engine) begin() {
	e.incarnation = uint64(time.Now().UnixNano())
	e.fence = 0
	e.replicas = map[string]*replica{}
	e.ended = map[string]bool{}
	e.streams = map[string]*stream{}
	e.caches.dropMemory()
	e.life, e.kill = context.WithCancel(context.Background())
}

// Restart ends everything at once, as a crash would.
func (e *Engine) Restart() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.kill()
	for _, held := range e.replicas {
		if held.phase != engine.PhaseFailed {
			e.auditor.holds(held.order.Version, -1)
		}
	}
	e.begin()
}

// order carries out a fenced order.
func (e *Engine) order(order engine.Order) engine.OrderResult {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	result := engine.OrderResult{Accepted: true}
	if reason := e.refusal(order); reason != "" {
		e.auditor.count(func(audit *Audit) { audit.StaleOrders++ })
		return engine.OrderResult{Reason: reason, Fence: e.fence}
	}
	e.fence = max(e.fence, order.Fence)
	switch order.Kind {
	case engine.OrderLoad:
		result = e.load(order)
	case engine.OrderUnload:
		e.unload(order)
	}
	result.Fence = e.fence
	return result
}

func (e *Engine) refusal(order engine.Order) string {
	if order.Incarnation != e.incarnation {
		return engine.ReasonIncarnation
	}
	if held := e.replicas[order.Replica]; held != nil && order.Kind == engine.OrderLoad {
		return "" // Carried out already.
	}
	if order.Fence < e.fence || e.ended[order.Replica] && order.Kind == engine.OrderLoad {
		return engine.ReasonStaleFence
	}
	return ""
}

func (e *Engine) load(order engine.Order) engine.OrderResult {
	if e.replicas[order.Replica] != nil {
		return engine.OrderResult{Accepted: true}
	}
	if !e.hasRoom(order) {
		// The name is spent: a late copy of this order must not succeed.
		e.ended[order.Replica] = true
		e.auditor.count(func(audit *Audit) { audit.MemoryOvercommits++ })
		return engine.OrderResult{Reason: engine.ReasonNoMemory}
	}
	ctx, cancel := context.WithCancel(e.life)
	started := &replica{
		order: order, phase: engine.PhaseLoading, cancel: cancel,
		adapters: map[string]bool{}, prefixes: map[uint64]bool{},
	}
	e.replicas[order.Replica] = started
	e.auditor.holds(order.Version, 1)
	go e.runLoad(ctx, started)
	return engine.OrderResult{Accepted: true}
}

func (e *Engine) hasRoom(order engine.Order) bool {
	used := make([]int64, e.accelerators)
	for _, held := range e.replicas {
		if held.phase == engine.PhaseFailed {
			continue
		}
		for _, accelerator := range held.order.Accelerators {
			used[accelerator] += held.order.BytesPerAccelerator
		}
	}
	for _, accelerator := range order.Accelerators {
		if accelerator < 0 || accelerator >= e.accelerators {
			return false
		}
		if used[accelerator]+order.BytesPerAccelerator > e.bytes {
			return false
		}
	}
	return true
}

// runLoad brings the weights in from the fastest tier that has them.
func (e *Engine) runLoad(ctx context.Context, loading *replica) {
	defer loading.cancel()
	dies := e.faults.draw(func(faults Faults) float64 { return faults.DieWhileLoading })
	if dies {
		time.AfterFunc(dieAfter, e.Restart)
	}
	bytes := loading.order.WeightBytes
	err := e.fetch(ctx, loading, bytes)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if ctx.Err() != nil || e.replicas[loading.order.Replica] != loading {
		return
	}
	if err != nil {
		// A failed load holds no memory, and its name is spent.
		loading.phase = engine.PhaseFailed
		loading.reason = err.Error()
		e.ended[loading.order.Replica] = true
		e.auditor.holds(loading.order.Version, -1)
		return
	}
	e.caches.add(loading.order.Checkpoint, bytes)
	e.auditor.count(func(audit *Audit) { audit.Loads++ })
	loading.phase = engine.PhaseReady
}

// dieAfter is how far into a load a dying engine comes.
const dieAfter = 150 * time.Millisecond

const storeRetryDelay = 100 * time.Millisecond

func (e *Engine) fetch(ctx context.Context, loading *replica, bytes int64) error {
	e.mutex.Lock()
	tier := e.caches.tier(loading.order.Checkpoint)
	e.mutex.Unlock()
	progress := func(remaining time.Duration) {
		e.mutex.Lock()
		loading.readyAt = time.Now().Add(remaining)
		e.mutex.Unlock()
	}
	if speed := e.caches.speed(tier); speed > 0 {
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

// unload refuses new requests, lets the running ones finish and frees the
// memory. The name can't be loaded again.
func (e *Engine) unload(order engine.Order) {
	e.ended[order.Replica] = true
	held := e.replicas[order.Replica]
	if held == nil {
		return
	}
	if held.phase == engine.PhaseFailed {
		delete(e.replicas, order.Replica)
		return
	}
	if held.phase == engine.PhaseLoading {
		held.cancel()
	}
	held.phase = engine.PhaseUnloading
	for _, waiting := range held.waiting {
		close(waiting.refused)
	}
	held.waiting = nil
	e.finishUnload(held)
}

func (e *Engine) finishUnload(held *replica) {
	if held.phase != engine.PhaseUnloading || held.running > 0 {
		return
	}
	delete(e.replicas, held.order.Replica)
	e.auditor.holds(held.order.Version, -1)
}

// report returns the engine's state with load figures that lag.
func (e *Engine) report() engine.Report {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := time.Now()
	report := engine.Report{
		Machine: e.machine, Incarnation: e.incarnation, Fence: e.fence,
		Accelerators: e.accelerators, AcceleratorBytes: e.bytes,
	}
	running, queued := 0, 0
	for name, held := range e.replicas {
		running += held.running
		queued += len(held.waiting)
		entry := engine.ReplicaReport{
			Replica: name, Version: held.order.Version, Phase: held.phase, Running: held.running, Reason: held.reason,
		}
		if held.phase == engine.PhaseLoading {
			entry.RemainingMillis = max(0, held.readyAt.Sub(now).Milliseconds())
		}
		for adapter := range held.adapters {
			entry.Adapters = append(entry.Adapters, adapter)
		}
		report.Replicas = append(report.Replicas, entry)
	}
	e.loads.add(now, running, queued)
	report.Running, report.Queued = e.loads.at(now.Add(-e.config.ReportLag))
	report.Checkpoints = e.caches.list()
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
