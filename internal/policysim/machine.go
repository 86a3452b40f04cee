package policysim

import (
	"time"

	"github.com/weldline/weldline/api/engine"
	"github.com/weldline/weldline/internal/agent"
	"github.com/weldline/weldline/internal/enginemodel"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// removalDelay is the time from the announcement that a machine leaves to its removal.
	removalDelay = 3 * time.Minute
	// absenceDuration is the time until a removed machine is back; leavingGrace the time after the
	// announcement during which it may receive new work.
	absenceDuration = 20 * time.Minute
	leavingGrace    = 5 * time.Second
	restartDuration = 5 * time.Second
	loadCrashDelay  = 150 * time.Millisecond
)

// machine is a machine with its engine and agent.
type machine struct {
	simulation   *simulation
	name         string
	engine       *enginemodel.Engine
	caches       *enginemodel.CheckpointCache
	incarnation  uint64
	up           bool
	leaving      bool
	leavingSince time.Duration
	refused      agent.RefusedLoads
	// decisionRevision is the revision of the newest decision that the agent has seen.
	decisionRevision uint64
	// instance counts engine processes, to discard events scheduled for an earlier one.
	instance int

	// slots holds the running and queued requests of each replica.
	slots map[*enginemodel.Replica]*slots

	accountedUntil time.Duration
	idleCount      int
	// cachedReport is valid until the engine's state changes.
	cachedReport *wirepb.MachineReport
}

func (s *simulation) newMachine(number int) *machine {
	created := &machine{
		simulation: s, name: numbered("machine", number), up: true, refused: agent.RefusedLoads{},
		caches: enginemodel.NewCheckpointCache(s.scenario.tiers()),
	}
	bytes := int64(s.scenario.Machines.AcceleratorGiB * gibibyte)
	created.engine = enginemodel.New(created.name, s.scenario.Machines.Accelerators, bytes, 1)
	created.incarnation = 1
	created.resetSlots()
	return created
}

// updateIdleTime adds the idle time since the last call. It must be called after every change of the
// engine's replicas or running requests.
func (m *machine) updateIdleTime() {
	s := m.simulation
	s.metrics.recordIdle(m.accountedUntil, s.Now(), m.idleCount)
	m.accountedUntil = s.Now()
	m.cachedReport = nil
	m.idleCount = m.idleAccelerators()
}

// idleAccelerators counts the accelerators that hold weights but run nothing.
func (m *machine) idleAccelerators() int {
	holds := make([]bool, m.engine.Accelerators)
	runs := make([]bool, m.engine.Accelerators)
	for _, replica := range m.engine.Replicas() {
		if replica.Phase == engine.PhaseFailed {
			continue
		}
		for _, accelerator := range replica.Order.Accelerators {
			holds[accelerator] = true
			runs[accelerator] = runs[accelerator] || replica.Running > 0
		}
	}
	idle := 0
	for accelerator := range holds {
		if holds[accelerator] && !runs[accelerator] {
			idle++
		}
	}
	return idle
}

// applyOrders gives the engine the orders that are due, as the agent does.
func (m *machine) applyOrders() {
	if !m.up {
		return
	}
	s := m.simulation
	report := m.engine.Report()
	replicas, revision := s.view.ReplicasOn(m.name)
	for _, order := range agent.Orders(replicas, revision, &report) {
		if m.refused.Contains(order) {
			continue
		}
		result, effect := m.engine.Apply(order)
		if !result.Accepted {
			m.refused.Record(order, s.wall())
		}
		if result.Reason == engine.ReasonNoMemory {
			s.metrics.memoryOvercommits++
		}
		if effect.Loading != nil {
			m.load(effect.Loading)
		}
	}
	m.updateIdleTime()
	s.requestReconcile()
}

// load loads weights from the fastest tier that has them.
func (m *machine) load(loading *enginemodel.Replica) {
	s := m.simulation
	s.metrics.recordLoad()
	instance := m.instance
	if s.random.Float64() < s.scenario.Faults.DieWhileLoading {
		s.After(loadCrashDelay, func() {
			if m.instance == instance {
				m.restart()
			}
		})
	}
	checkpoint, bytes := loading.Order.Checkpoint, loading.Order.WeightBytes
	finish := func() {
		if m.instance != instance || !m.engine.FinishLoad(loading, "") {
			return
		}
		m.caches.Add(checkpoint, bytes)
		m.updateIdleTime()
		s.requestReconcile()
	}
	if speed := m.caches.BytesPerSecond(m.caches.Tier(checkpoint)); speed > 0 {
		s.After(time.Duration(float64(bytes)/speed*float64(time.Second)), finish)
		return
	}
	wanted := func() bool { return m.instance == instance && loading.Phase == engine.PhaseLoading }
	s.store.load(bytes, wanted, finish)
}

// restart ends the engine process and starts another after restartDuration.
func (m *machine) restart() {
	if !m.up {
		return
	}
	m.stop()
	m.simulation.After(restartDuration, m.start)
}

func (m *machine) stop() {
	m.up = false
	m.instance++
	m.engine.Restart(m.incarnation)
	m.caches.ClearMemory()
	m.resetSlots()
	m.updateIdleTime()
	m.simulation.retryRequestsOf(m)
}

func (m *machine) start() {
	m.up = true
	m.incarnation++
	m.engine.Restart(m.incarnation)
	m.applyOrders()
}

// leave announces that the machine leaves, removes it, and brings it back.
func (m *machine) leave() {
	s := m.simulation
	if m.leaving || !m.up {
		return
	}
	m.leaving = true
	m.leavingSince = s.Now()
	s.setDrain(m.name, true)
	s.After(removalDelay, func() {
		for _, replica := range m.engine.Replicas() {
			s.metrics.interruptedRequests += replica.Running
		}
		if m.up {
			m.stop()
		}
	})
	s.After(removalDelay+absenceDuration, func() {
		m.leaving = false
		if !m.up {
			m.start()
		}
		s.setDrain(m.name, false)
	})
}

func (m *machine) report() *wirepb.MachineReport {
	if !m.up {
		return &wirepb.MachineReport{Machine: m.name}
	}
	if m.cachedReport == nil || len(m.refused) > 0 {
		report := m.engine.Report()
		report.Checkpoints = m.caches.List()
		m.cachedReport = agent.MachineReport(m.name, &report, m.refused, m.simulation.wall())
	}
	return m.cachedReport
}
