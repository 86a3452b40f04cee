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
	// listLag is how far the machine list is behind.
	listLag     = time.Second
	shortLoad   = 200 * time.Millisecond
	longLoad    = 1500 * time.Millisecond
	engineAwake = 300 * time.Millisecond
)

// machine is a machine with an engine process on it.
type machine struct {
	process
	engine      *enginemodel.Engine
	incarnation uint64
	// leavingSince is when the machine list began to say so; 0 if it doesn't.
	leavingSince time.Duration
	gone         bool
	// overloaded engines reject all requests, each with a rest.
	overloaded bool
	// limit is what the engine states in its answers. All routers in contact must know it from limitKnown on,
	// which is 0 before a router has read it. limitArrivals are the requests of the present window.
	limit         ratelimit.Limit
	limitKnown    time.Duration
	limitArrivals []time.Duration
	// open is what runs, where the connections of engines that end are told to break.
	open []*openRun
	// resets are the requests whose connections were reset in this life of the engine.
	resets []resetRun
	// unseenEnds are the loads of this life that are over, by replica, while every report that
	// somebody has got says that they go on.
	unseenEnds map[string]string
}

// weightStore slows loads down while it is slow.
type weightStore struct {
	slowness int
}

func (w *world) newMachine(position int, zone string) *machine {
	created := &machine{process: w.newProcess(numbered("machine", position), zone)}
	created.engine = enginemodel.New(created.name, acceleratorsPerMachine, acceleratorBytes, 0)
	if w.mutation == MutationNoFence {
		created.engine.DisableFencing()
	}
	created.startEngine()
	return created
}

func (m *machine) startEngine() {
	m.begin()
	m.incarnation++
	m.limit = ratelimit.Unlimited
	m.unseenEnds = map[string]string{}
	m.engine.Restart(m.incarnation)
}

// crashEngine ends the process: its memory is empty, its requests are gone.
func (m *machine) crashEngine() {
	if !m.up {
		return
	}
	m.crash()
	m.noteEnd()
	m.engine.Restart(m.incarnation)
}

func (m *machine) restart(after time.Duration) {
	m.ifStillDown(after, func() {
		if !m.gone {
			m.startEngine()
		}
	})
}

func (m *machine) order(order engine.Order) engine.OrderResult {
	expected := m.world.checks.expectOrder(m, order)
	result, effect := m.engine.Apply(order)
	m.world.checks.compareOrder(m, order, result, expected)
	if result.Reason == engine.ReasonNoMemory {
		m.world.checks.violate(CheckMemory, "%s had no memory for %s", m.name, order.Replica)
	}
	m.world.checks.engineHolds(m)
	if effect.Loading != nil {
		m.load(effect.Loading)
	}
	return result
}

func (m *machine) load(loading *enginemodel.Replica) {
	w := m.world
	took := w.span(shortLoad, longLoad) * time.Duration(w.store.slowness)
	reason := ""
	if w.random.IntN(20) == 0 {
		reason = "the checkpoint is damaged"
	}
	m.after(took, func() {
		m.engine.FinishLoad(loading, reason)
		m.unseenEnds[loading.Order.Replica] = loading.Order.Version
		if reason == "" {
			m.world.checks.truthOf(quarantine.LoadIdentity(loading.Order.Version)).whole = true
		}
	})
}

// seen takes that somebody has got a report of the engine.
func (m *machine) seen(report engine.Report) {
	for _, held := range report.Replicas {
		if held.Phase != engine.PhaseLoading {
			delete(m.unseenEnds, held.Replica)
		}
	}
}

// serve runs a request on a replica, if it takes requests.
func (m *machine) serve(router *routerNode, entry *inference, replica string, took time.Duration, reply func(engineAnswer)) {
	m.world.checks.arrived(router, entry.sent)
	m.world.checks.arrivedAt(m, router)
	m.world.checks.arrivedAtLimited(m, router)
	if m.overloaded {
		reply(m.answer(runRejected))
		return
	}
	held := m.engine.BeginRequest(replica)
	if held == nil {
		reply(m.answer(runRefused))
		return
	}
	m.world.checks.ran(entry.id, m, router)
	run := &openRun{sent: entry.sent, reply: reply}
	if m.world.breaksRuns {
		m.open = append(m.open, run)
	}
	if entry.sent.culprit {
		m.after(m.world.span(crashSoonest, crashLatest), m.endUnder)
		return
	}
	m.after(took, func() {
		m.engine.EndRequest(held)
		if !m.world.breaksRuns || m.close(run) {
			m.world.checks.truthOf(entry.sent.identity).whole = true
			reply(m.answer(runWhole))
		}
	})
}

// answer is an answer of the engine at this moment.
func (m *machine) answer(end runEnd) engineAnswer {
	return engineAnswer{end: end, limit: m.limit}
}

// machineList is the platform's list, which lags.
type machineList struct {
	world    *world
	versions []listVersion
	lastRead map[string]*platform.MachineList
}

type listVersion struct {
	at   time.Duration
	list *platform.MachineList
}

func (l *machineList) begin(w *world) {
	l.world = w
	l.lastRead = map[string]*platform.MachineList{}
	l.publish()
	l.versions[0].at = -listLag
}

func (l *machineList) publish() {
	list := &platform.MachineList{}
	for _, machine := range l.world.machines {
		if machine.gone {
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
	l.versions = append(l.versions, listVersion{at: l.world.Now(), list: list})
}

// read returns the list as a process sees it: late, and not at all anew while
// it is cut off.
func (l *machineList) read(reader *process) *platform.MachineList {
	if reader.cut {
		return l.lastRead[reader.name]
	}
	for position := len(l.versions) - 1; position >= 0; position-- {
		if l.versions[position].at+listLag <= l.world.Now() {
			l.lastRead[reader.name] = l.versions[position].list
			break
		}
	}
	return l.lastRead[reader.name]
}
