package faultsim

import (
	"slices"
	"time"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// Kind names a fault.
type Kind string

// The kinds of faults.
const (
	FaultCrashLeader      Kind = "crash-leader"
	FaultCrashControl     Kind = "crash-control"
	FaultFreezeLeader     Kind = "freeze-leader"
	FaultCutLeader        Kind = "cut-leader"
	FaultStopLeader       Kind = "stop-leader"
	FaultLoseControl      Kind = "lose-control"
	FaultDiskError        Kind = "disk-error"
	FaultCrashOnVote      Kind = "crash-on-vote"
	FaultCutZone          Kind = "cut-zone"
	FaultCutOneWay        Kind = "cut-one-way"
	FaultLoss             Kind = "message-loss"
	FaultDuplicate        Kind = "late-copies"
	FaultCrashRouter      Kind = "crash-router"
	FaultFreezeRouter     Kind = "freeze-router"
	FaultCrashEngine      Kind = "crash-engine"
	FaultCrashLoading     Kind = "crash-while-loading"
	FaultFreezeEngine     Kind = "freeze-engine"
	FaultSlowStore        Kind = "slow-store"
	FaultSlowOrders       Kind = "slow-orders"
	FaultMachineLeaves    Kind = "machine-leaves"
	FaultMachineReclaimed Kind = "machine-reclaimed"
	// FaultMuteControl cuts what one control node says to the others.
	FaultMuteControl Kind = "unheard-control"
	// FaultCrashingRequest is a caller that comes back with a request that ends each engine
	// that runs it, while connections of engines that go on are reset as well.
	FaultCrashingRequest Kind = "crashing-request"
	// FaultSuspend is a sleep of the machine of a leader, another control node or a router.
	FaultSuspend Kind = "suspended-node"
	// FaultDrainZone is an operator who drains a zone for a while.
	FaultDrainZone Kind = "drain-zone"
	// FaultOverloadEngine makes an engine reject requests and ask their routers for rests.
	FaultOverloadEngine Kind = "overload-engine"
	// FaultLimitEngine makes an engine state a limit for all routers together.
	FaultLimitEngine Kind = "limit-engine"
)

// AdditionalKinds are the faults that schedules have besides those of Kinds, so that the
// schedules of earlier seeds keep theirs.
var AdditionalKinds = []Kind{FaultMuteControl, FaultCrashingRequest, FaultSuspend, FaultDrainZone, FaultOverloadEngine, FaultLimitEngine}

// Kinds lists the faults that schedules draw from.
var Kinds = []Kind{
	FaultCrashLeader, FaultCrashControl, FaultFreezeLeader, FaultCutLeader, FaultStopLeader, FaultLoseControl,
	FaultDiskError, FaultCrashOnVote, FaultCutZone, FaultCutOneWay, FaultLoss, FaultDuplicate, FaultCrashRouter,
	FaultFreezeRouter, FaultCrashEngine, FaultCrashLoading, FaultFreezeEngine, FaultSlowStore, FaultSlowOrders,
	FaultMachineLeaves, FaultMachineReclaimed,
}

// Fault is one fault of a schedule.
type Fault struct {
	// At is when it begins, from the start of the simulation.
	At time.Duration `yaml:"at" json:"at"`
	// Kind is one of Kinds or AdditionalKinds.
	Kind Kind `yaml:"kind" json:"kind"`
	// For is how long it lasts, where that means something.
	For time.Duration `yaml:"for" json:"for"`
	// Target chooses among the processes or zones that it may hit.
	Target int `yaml:"target" json:"target"`
}

// withoutDelay are the faults during which changes are due in time: routers can leave a control node that is not
// heard, and the others keep no node from any other.
var withoutDelay = []Kind{FaultMuteControl, FaultCrashingRequest, FaultDrainZone, FaultOverloadEngine, FaultLimitEngine}

// inject lets a fault begin, and heal in time.
func (w *world) inject(fault Fault) {
	w.After(fault.At, func() {
		heal := w.begin(fault)
		if heal == nil {
			return // There was nothing that it could hit.
		}
		w.faults[string(fault.Kind)]++
		excuses := !slices.Contains(withoutDelay, fault.Kind)
		if excuses {
			w.checks.busy++
		}
		w.After(fault.For, func() {
			heal()
			if excuses {
				w.checks.busy--
				w.checks.quietSince = w.Now()
			}
		})
	})
}

func nothing() {}

// begin starts a fault and returns what heals it.
func (w *world) begin(fault Fault) func() {
	switch fault.Kind {
	case FaultCrashLeader:
		return w.crashControl(w.leader(), fault.For)
	case FaultCrashControl:
		return w.crashControl(w.controls[fault.Target%controlCount], fault.For)
	case FaultFreezeLeader:
		return w.freezeLeader(fault.For)
	case FaultCutLeader:
		return w.cutLeader()
	case FaultStopLeader:
		return w.stopLeader(fault.For)
	case FaultLoseControl:
		return w.loseControl(fault.Target)
	case FaultDiskError:
		w.controls[fault.Target%controlCount].disk.failNext = true
		return nothing
	case FaultCrashOnVote:
		return w.crashVoters()
	case FaultCutZone, FaultCutOneWay:
		return w.cutZones(fault)
	case FaultMuteControl:
		return w.muteControl(fault.Target)
	case FaultCrashingRequest:
		w.sendCulprit(fault.Target)
		w.resetConnections(w.Now() + fault.For)
		return nothing
	case FaultSuspend:
		return w.suspend(fault)
	case FaultDrainZone:
		return w.drainZone(fault.Target)
	case FaultLoss:
		w.network.loss = 0.2
		return func() { w.network.loss = 0 }
	case FaultDuplicate:
		w.network.duplicate = 0.3
		return func() { w.network.duplicate = 0 }
	case FaultSlowStore:
		w.store.slowness = 4
		return func() { w.store.slowness = 1 }
	case FaultSlowOrders:
		w.orderDelay = 900 * time.Millisecond
		return func() { w.orderDelay = 0 }
	}
	return w.beginAtEdge(fault)
}

// beginAtEdge starts a fault of a router or a machine.
func (w *world) beginAtEdge(fault Fault) func() {
	router := w.routers[fault.Target%routerCount]
	hit := w.machines[fault.Target%machineCount]
	switch fault.Kind {
	case FaultCrashRouter:
		router.crashNow()
		router.restart(fault.For)
		return nothing
	case FaultFreezeRouter:
		router.freeze(fault.For)
		return nothing
	case FaultCrashLoading:
		hit = w.loadingMachine()
		if hit == nil {
			return nil
		}
		fallthrough
	case FaultCrashEngine:
		hit.crashEngine()
		hit.restart(min(fault.For, time.Second))
		return nothing
	case FaultFreezeEngine:
		hit.freeze(fault.For)
		return nothing
	case FaultOverloadEngine:
		return w.overload(hit)
	case FaultLimitEngine:
		return w.limit(hit, fault.For)
	case FaultMachineLeaves:
		return w.leave(hit)
	case FaultMachineReclaimed:
		return w.reclaim(hit, fault.For)
	}
	return nil
}

func (w *world) crashControl(node *controlNode, down time.Duration) func() {
	if node == nil || !node.up {
		return nil
	}
	node.crashNow()
	node.restart(down)
	return nothing
}

// crashVoters restarts the leader at once, lets elections begin at the same
// moment, delays messages, and crashes everyone who grants a vote.
func (w *world) crashVoters() func() {
	w.crashOnVote = true
	if w.crashControl(w.leader(), 5*time.Millisecond) == nil {
		w.crashOnVote = false
		return nil
	}
	w.network.late = 0.3
	return func() {
		w.crashOnVote = false
		w.network.late = usuallyLate
	}
}

func (w *world) freezeLeader(span time.Duration) func() {
	leader := w.leader()
	if leader == nil {
		return nil
	}
	leader.freeze(span)
	return nothing
}

// suspend lets the machine of a process sleep.
func (w *world) suspend(fault Fault) func() {
	asleep := &w.routers[fault.Target%routerCount].process
	switch leader := w.leader(); {
	case fault.Target%3 == 0 && leader != nil:
		asleep = &leader.process
	case fault.Target%3 == 1:
		asleep = &w.controls[fault.Target%controlCount].process
	}
	asleep.sleep(fault.For)
	return nothing
}

// cutLeader cuts the leader off from everything, in silence.
func (w *world) cutLeader() func() {
	leader := w.leader()
	if leader == nil {
		return nil
	}
	leader.cut = true
	return func() { leader.cut = false }
}

// stopLeader is a planned stop: it hands over first.
func (w *world) stopLeader(down time.Duration) func() {
	leader := w.leader()
	if leader == nil {
		return nil
	}
	if leader.member.Raft.TransferLeadership() {
		leader.carryOut()
	}
	return w.crashControl(leader, down)
}

// loseControl loses a control node for good, disk and all, as long as the
// others can still decide. Once it has been replaced, its machine comes back
// empty, as a learner.
func (w *world) loseControl(target int) func() {
	node := w.controls[target%controlCount]
	lost := 0
	for _, other := range w.controls {
		if other.lost {
			lost++
		}
	}
	if lost > 0 || !node.up {
		return nil
	}
	node.crashNow()
	node.lost = true
	node.disk = &disk{world: w}
	w.rejoinOnceReplaced(node)
	return nothing
}

func (w *world) rejoinOnceReplaced(node *controlNode) {
	w.After(time.Second, func() {
		leader := w.leader()
		if leader == nil || slices.Contains(leader.member.Raft.Status().Voters, node.id) {
			w.rejoinOnceReplaced(node)
			return
		}
		node.lost = false
		w.checks.forget(node)
		node.start(&wirepb.Membership{})
	})
}

func (w *world) cutZones(fault Fault) func() {
	one := zones[fault.Target%len(zones)]
	var pairs [][2]string
	for _, other := range zones {
		if other == one {
			continue
		}
		pairs = append(pairs, [2]string{one, other})
		if fault.Kind == FaultCutZone {
			pairs = append(pairs, [2]string{other, one})
		}
	}
	for _, pair := range pairs {
		w.network.cutZones[pair] = true
	}
	return func() {
		for _, pair := range pairs {
			delete(w.network.cutZones, pair)
		}
	}
}

// muteControl makes what a control node says to the others lost. Routers, machines and
// operators talk with it as before.
func (w *world) muteControl(target int) func() {
	node := w.controls[target%controlCount]
	if node.muted {
		return nil
	}
	node.muted = true
	return func() { node.muted = false }
}

func (w *world) loadingMachine() *machine {
	for _, candidate := range w.machines {
		for _, held := range candidate.engine.Replicas() {
			if candidate.up && held.Phase == "loading" {
				return candidate
			}
		}
	}
	return nil
}

// leave marks a machine as leaving for a while.
func (w *world) leave(m *machine) func() {
	if m.leavingSince > 0 || m.gone {
		return nil
	}
	m.leavingSince = w.Now()
	w.list.publish()
	return func() {
		if !m.gone {
			m.leavingSince = 0
			w.list.publish()
		}
	}
}

// reclaim takes a machine away; another under the same name comes later.
func (w *world) reclaim(m *machine, away time.Duration) func() {
	if m.gone {
		return nil
	}
	m.crashEngine()
	m.gone = true
	w.list.publish()
	w.After(away+2*time.Second, func() {
		m.gone = false
		m.leavingSince = 0
		m.startEngine()
		w.list.publish()
	})
	return nothing
}
