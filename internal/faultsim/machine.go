package faultsim

import (
	"time"

	"github.com/weldline/weldline/api/engine"
	"github.com/weldline/weldline/api/platform"
	"github.com/weldline/weldline/internal/enginemodel"
	"github.com/weldline/weldline/internal/quarantine"
	"github.com/weldline/weldline/internal/ratelimit"
)

const (
	acceleratorsPerMachine = 2
	acceleratorBytes       = 80 << 30
	storeLoadsPerSecond    = 6
	storeConcurrentLoads   = 4
	// listLag is the age of the machine list that control nodes read.
	listLag     = time.Second
	minLoadTime = 200 * time.Millisecond
	maxLoadTime = 1500 * time.Millisecond
	engineAwake = 300 * time.Millisecond
)

// machine is a machine with its engine process.
type machine struct {
	process
	engine      *enginemodel.Engine
	incarnation uint64
	// leavingSince is when the machine was listed as leaving; 0 if it is not.
	leavingSince time.Duration
	removed      bool
	// overloaded engines reject all requests and request a backoff.
	overloaded bool
	// limit is the rate limit that the engine advertises. From limitKnown on all connected routers
	// must know it; 0 before a router has read it. limitArrivals holds the requests of the current
	// window.
	limit         ratelimit.Limit
	limitKnown    time.Duration
	limitArrivals []time.Duration
	// running holds the running requests, if broken connections are simulated.
	running []*runningRequest
	// resets are the requests whose connections were reset under this incarnation.
	resets []resetRequest
	// unreportedLoads maps replicas to the versions of loads that have ended while every delivered
	// report still shows them as loading.
	unreportedLoads map[string]string
}

// weightStore multiplies load times by its slowdown.
type weightStore struct {
	slowdown int
}

func (s *simulation) newMachine(position int, zone string) *machine {
	created := &machine{process: s.newProcess(numbered("machine", position), zone)}
	created.engine = enginemodel.New(created.name, acceleratorsPerMachine, acceleratorBytes, 0)
	if s.mutation == MutationNoFence {
		created.engine.DisableFencing()
	}
	created.startEngine()
	return created
}

func (m *machine) startEngine() {
	m.markUp()
	m.incarnation++
	m.limit = ratelimit.Unlimited
	m.unreportedLoads = map[string]string{}
	m.engine.Restart(m.incarnation)
}

// crashEngine ends the engine process and loses its memory and requests.
func (m *machine) crashEngine() {
	if !m.up {
		return
	}
	m.crash()
	m.recordCrash()
	m.engine.Restart(m.incarnation)
}

func (m *machine) restart(after time.Duration) {
	m.startIfDown(after, func() {
		if !m.removed {
			m.startEngine()
		}
	})
}

func (m *machine) applyOrder(order engine.Order) engine.OrderResult {
	expected := m.sim.checks.expectOrder(m, order)
	result, effect := m.engine.Apply(order)
	m.sim.checks.compareOrder(m, order, result, expected)
	if result.Reason == engine.ReasonNoMemory {
		m.sim.checks.violate(CheckMemory, "%s has no memory for %s", m.name, order.Replica)
	}
	m.sim.checks.checkEngine(m)
	if effect.Loading != nil {
		m.load(effect.Loading)
	}
	return result
}

func (m *machine) load(loading *enginemodel.Replica) {
	s := m.sim
	took := s.randomDuration(minLoadTime, maxLoadTime) * time.Duration(s.store.slowdown)
	reason := ""
	if s.random.IntN(20) == 0 {
		reason = "the checkpoint is damaged"
	}
	m.after(took, func() {
		m.engine.FinishLoad(loading, reason)
		m.unreportedLoads[loading.Order.Replica] = loading.Order.Version
		if reason == "" {
			m.sim.checks.crashRecordOf(quarantine.LoadIdentity(loading.Order.Version)).completed = true
		}
	})
}

// markReported records that a report of the engine was delivered.
func (m *machine) markReported(report engine.Report) {
	for _, replica := range report.Replicas {
		if replica.Phase != engine.PhaseLoading {
			delete(m.unreportedLoads, replica.Replica)
		}
	}
}

// handleRequest runs a request on a replica that accepts requests.
func (m *machine) handleRequest(router *routerNode, entry *inference, replica string, took time.Duration, reply func(engineResponse)) {
	m.sim.checks.checkPoisonSend(router, entry.content)
	m.sim.checks.checkBackoff(m, router)
	m.sim.checks.checkLimit(m, router)
	if m.overloaded {
		reply(m.response(runRejected))
		return
	}
	serving := m.engine.BeginRequest(replica)
	if serving == nil {
		reply(m.response(runRefused))
		return
	}
	m.sim.checks.recordRun(entry.id, m, router)
	run := &runningRequest{content: entry.content, reply: reply}
	if m.sim.hasPoison {
		m.running = append(m.running, run)
	}
	if entry.content.poison != nil {
		m.after(m.sim.randomDuration(minCrashDelay, maxCrashDelay), m.crashAndRestart)
		return
	}
	m.after(took, func() {
		m.engine.EndRequest(serving)
		if !m.sim.hasPoison || m.finishRequest(run) {
			m.sim.checks.recordCompleted(entry.content)
			reply(m.response(runCompleted))
		}
	})
}

func (m *machine) response(end runResult) engineResponse {
	return engineResponse{result: end, limit: m.limit}
}

// machineList is the platform's machine list, which readers see with a delay.
type machineList struct {
	sim      *simulation
	versions []listVersion
	lastRead map[string]*platform.MachineList
}

type listVersion struct {
	at   time.Duration
	list *platform.MachineList
}

func (l *machineList) begin(s *simulation) {
	l.sim = s
	l.lastRead = map[string]*platform.MachineList{}
	l.publish()
	l.versions[0].at = -listLag
}

func (l *machineList) publish() {
	list := &platform.MachineList{}
	for _, machine := range l.sim.machines {
		if machine.removed {
			continue
		}
		state := platform.MachineLive
		if machine.leavingSince > 0 {
			state = platform.MachineLeaving
		}
		list.Machines = append(list.Machines, platform.Machine{
			Name: machine.name, Zone: machine.zone, Endpoint: "http://127.0.0.1:1/" + machine.name,
			Accelerators: acceleratorsPerMachine, AcceleratorBytes: acceleratorBytes, State: state,
		})
	}
	l.versions = append(l.versions, listVersion{at: l.sim.Now(), list: list})
}

// read returns the list as of listLag ago. An isolated reader keeps the list that it read last.
func (l *machineList) read(reader *process) *platform.MachineList {
	if reader.isolated {
		return l.lastRead[reader.name]
	}
	for position := len(l.versions) - 1; position >= 0; position-- {
		if l.versions[position].at+listLag <= l.sim.Now() {
			l.lastRead[reader.name] = l.versions[position].list
			break
		}
	}
	return l.lastRead[reader.name]
}
