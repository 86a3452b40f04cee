package policysim

import (
	"time"

	"github.com/weldline/weldline/api/engine"
	"github.com/weldline/weldline/internal/agent"
	"github.com/weldline/weldline/internal/enginemodel"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// leavingFor is how long a leaving machine stays before it is taken.
	leavingFor = 3 * time.Minute
	// awayFor is how long it is gone, leavingGrace how long it may get work.
	awayFor      = 20 * time.Minute
	leavingGrace = 5 * time.Second
	restartTakes = 5 * time.Second
	diesAfter    = 150 * time.Millisecond
)

// machine is a machine with its engine and its agent.
type machine struct {
	simulation  *simulation
	name        string
	engine      *enginemodel.Engine
	caches      *enginemodel.CheckpointCache
	incarnation uint64
	up          bool
	leaving     bool
	leftAt      time.Duration
	refused     agent.RefusedLoads
	// decided is the revision of the newest decision seen.
	decided uint64
	// life numbers the engine's lives, for what was scheduled in an old one.
	life int

	// slots holds who runs and who waits on each replica.
	slots map[*enginemodel.Replica]*slots

	accounted time.Duration
	idle      int
	// reported is the newest report, until something changes.
	reported *wirepb.MachineReport
}

func (s *simulation) newMachine(number int) *machine {
	created := &machine{
		simulation: s, name: numbered("machine", number), up: true, refused: agent.RefusedLoads{},
		caches: enginemodel.NewCheckpointCache(s.scenario.tiers()),
	}
	bytes := int64(s.scenario.Machines.AcceleratorGiB * gibibyte)
	created.engine = enginemodel.New(created.name, s.scenario.Machines.Accelerators, bytes, 1)
	created.incarnation = 1
	created.dropSlots()
	return created
}

// account adds up the idle time since the last change, and must be called
// after every change of what the engine holds or runs.
func (m *machine) account() {
	s := m.simulation
	s.meter.idled(m.accounted, s.Now(), m.idle)
	m.accounted = s.Now()
	m.reported = nil
	m.idle = m.idleAccelerators()
}

// idleAccelerators counts those that hold weights while nothing runs on them.
func (m *machine) idleAccelerators() int {
	holds := make([]bool, m.engine.Accelerators)
	runs := make([]bool, m.engine.Accelerators)
	for _, held := range m.engine.Replicas() {
		if held.Phase == engine.PhaseFailed {
			continue
		}
		for _, accelerator := range held.Order.Accelerators {
			holds[accelerator] = true
			runs[accelerator] = runs[accelerator] || held.Running > 0
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

// followOrders is the agent's work: it gives the engine what is due.
func (m *machine) followOrders() {
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
			s.meter.memoryOvercommits++
		}
		if effect.Loading != nil {
			m.load(effect.Loading)
		}
	}
	m.account()
	s.wake()
}

// load brings weights in from the fastest tier that has them.
func (m *machine) load(loading *enginemodel.Replica) {
	s := m.simulation
	s.meter.loaded()
	life := m.life
	if s.random.Float64() < s.scenario.Faults.DieWhileLoading {
		s.After(diesAfter, func() {
			if m.life == life {
				m.restart()
			}
		})
	}
	checkpoint, bytes := loading.Order.Checkpoint, loading.Order.WeightBytes
	finish := func() {
		if m.life != life || !m.engine.FinishLoad(loading, "") {
			return
		}
		m.caches.Add(checkpoint, bytes)
		m.account()
		s.wake()
	}
	if speed := m.caches.BytesPerSecond(m.caches.Tier(checkpoint)); speed > 0 {
		s.After(time.Duration(float64(bytes)/speed*float64(time.Second)), finish)
		return
	}
	wanted := func() bool { return m.life == life && loading.Phase == engine.PhaseLoading }
	s.store.load(bytes, wanted, finish)
}

// restart ends the engine process; another starts a moment later.
func (m *machine) restart() {
	if !m.up {
		return
	}
	m.stop()
	m.simulation.After(restartTakes, m.start)
}

func (m *machine) stop() {
	m.up = false
	m.life++
	m.engine.Restart(m.incarnation)
	m.caches.ClearMemory()
	m.dropSlots()
	m.account()
	m.simulation.dropRequestsOn(m)
}

func (m *machine) start() {
	m.up = true
	m.incarnation++
	m.engine.Restart(m.incarnation)
	m.followOrders()
}

// leave lists the machine as leaving, takes it away, and brings it back.
func (m *machine) leave() {
	s := m.simulation
	if m.leaving || !m.up {
		return
	}
	m.leaving = true
	m.leftAt = s.Now()
	s.setDrain(m.name, true)
	s.After(leavingFor, func() {
		for _, held := range m.engine.Replicas() {
			s.meter.cutInFlight += held.Running
		}
		if m.up {
			m.stop()
		}
	})
	s.After(leavingFor+awayFor, func() {
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
	if m.reported == nil || len(m.refused) > 0 {
		report := m.engine.Report()
		report.Checkpoints = m.caches.List()
		m.reported = agent.MachineReport(m.name, &report, m.refused, m.simulation.wall())
	}
	return m.reported
}
