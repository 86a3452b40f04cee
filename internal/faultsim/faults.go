package faultsim

import (
	"slices"
	"time"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// Kind names a kind of fault in a schedule.
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
	// FaultMuteControl drops the messages of one control node to the others.
	FaultMuteControl Kind = "unheard-control"
	// FaultCrashingRequest starts a client that keeps resending a poison request, while connections of
	// healthy engines are reset.
	FaultCrashingRequest Kind = "crashing-request"
	// FaultSuspend suspends the machine of a leader, another control node or a router.
	FaultSuspend Kind = "suspended-node"
	// FaultDrainZone drains a zone for the duration of the fault.
	FaultDrainZone Kind = "drain-zone"
	// FaultOverloadEngine makes an engine reject requests and request a backoff.
	FaultOverloadEngine Kind = "overload-engine"
	// FaultLimitEngine makes an engine advertise a rate limit.
	FaultLimitEngine Kind = "limit-engine"
	// FaultCutPaths cuts a router off from all engines.
	FaultCutPaths Kind = "cut-paths"
	// FaultCutZonePaths cuts all routers of a zone off from all engines, and FaultCutMostPaths all but every
	// eighth router.
	FaultCutZonePaths Kind = "cut-zone-paths"
	FaultCutMostPaths Kind = "cut-most-paths"
	// FaultCrashingPart starts a client that keeps sending requests that share a harmful part of their prompts,
	// while connections of healthy engines are reset.
	FaultCrashingPart Kind = "crashing-part"
)

// AdditionalKinds are drawn from independent random streams, so that adding a kind does not change the
// schedules of existing seeds.
var AdditionalKinds = []Kind{FaultMuteControl, FaultCrashingRequest, FaultSuspend, FaultDrainZone, FaultOverloadEngine, FaultLimitEngine, FaultCutPaths, FaultCrashingPart, FaultCutZonePaths, FaultCutMostPaths}

// Kinds lists the faults that RandomSchedule draws from.
var Kinds = []Kind{
	FaultCrashLeader, FaultCrashControl, FaultFreezeLeader, FaultCutLeader, FaultStopLeader, FaultLoseControl,
	FaultDiskError, FaultCrashOnVote, FaultCutZone, FaultCutOneWay, FaultLoss, FaultDuplicate, FaultCrashRouter,
	FaultFreezeRouter, FaultCrashEngine, FaultCrashLoading, FaultFreezeEngine, FaultSlowStore, FaultSlowOrders,
	FaultMachineLeaves, FaultMachineReclaimed,
}

// Fault is one fault of a schedule.
type Fault struct {
	// At is the start, from the start of the simulation.
	At time.Duration `yaml:"at" json:"at"`
	// Kind is one of Kinds or AdditionalKinds.
	Kind Kind `yaml:"kind" json:"kind"`
	// For is the duration; instantaneous faults ignore it.
	For time.Duration `yaml:"for" json:"for"`
	// Target selects a process or zone, modulo their number.
	Target int `yaml:"target" json:"target"`
}

// nonDisruptiveKinds are the faults during which changes must still propagate in time: routers can
// switch away from a muted control node, and the other kinds isolate no node.
var nonDisruptiveKinds = []Kind{FaultMuteControl, FaultCrashingRequest, FaultDrainZone, FaultOverloadEngine, FaultLimitEngine, FaultCutPaths, FaultCrashingPart, FaultCutZonePaths, FaultCutMostPaths}

// controlKinds are the faults of control nodes. Routers forward requests without them.
var controlKinds = []Kind{FaultCrashLeader, FaultCrashControl, FaultFreezeLeader, FaultCutLeader, FaultStopLeader, FaultMuteControl}

// pathKinds are the faults of the paths between routers and engines.
var pathKinds = []Kind{FaultCutPaths, FaultCutZonePaths, FaultCutMostPaths}

// inject schedules the start and the end of a fault.
func (s *simulation) inject(fault Fault) {
	s.After(fault.At, func() {
		heal := s.startFault(fault)
		if heal == nil {
			return // The fault does not apply.
		}
		s.faults[string(fault.Kind)]++
		disruptive := !slices.Contains(nonDisruptiveKinds, fault.Kind)
		if disruptive {
			s.checks.activeFaults++
		}
		if !slices.Contains(pathKinds, fault.Kind) && !slices.Contains(controlKinds, fault.Kind) {
			s.checks.disruptions = append(s.checks.disruptions, interval{start: s.Now(), end: s.Now() + fault.For})
		}
		s.After(fault.For, func() {
			heal()
			if disruptive {
				s.checks.activeFaults--
				s.checks.healedAt = s.Now()
			}
		})
	})
}

func noHeal() {}

// startFault starts a fault and returns the function that heals it, or nil if the fault does not
// apply.
func (s *simulation) startFault(fault Fault) func() {
	switch fault.Kind {
	case FaultCrashLeader:
		return s.crashControl(s.leader(), fault.For)
	case FaultCrashControl:
		return s.crashControl(s.controls[fault.Target%controlCount], fault.For)
	case FaultFreezeLeader:
		return s.freezeLeader(fault.For)
	case FaultCutLeader:
		return s.cutLeader()
	case FaultStopLeader:
		return s.stopLeader(fault.For)
	case FaultLoseControl:
		return s.loseControl(fault.Target)
	case FaultDiskError:
		s.controls[fault.Target%controlCount].disk.failNext = true
		return noHeal
	case FaultCrashOnVote:
		return s.crashVoters()
	case FaultCutZone, FaultCutOneWay:
		return s.cutZones(fault)
	case FaultMuteControl:
		return s.muteControl(fault.Target)
	case FaultCrashingRequest:
		s.startPoisonRequest(fault.Target)
		s.resetConnections(s.Now() + fault.For)
		return noHeal
	case FaultCrashingPart:
		s.startPoisonPart()
		s.resetConnections(s.Now() + fault.For)
		return noHeal
	case FaultSuspend:
		return s.suspend(fault)
	case FaultDrainZone:
		return s.drainZone(fault.Target)
	case FaultLoss:
		s.network.loss = 0.2
		return func() { s.network.loss = 0 }
	case FaultDuplicate:
		s.network.duplicate = 0.3
		return func() { s.network.duplicate = 0 }
	case FaultSlowStore:
		s.store.slowdown = 4
		return func() { s.store.slowdown = 1 }
	case FaultSlowOrders:
		s.orderDelay = 900 * time.Millisecond
		return func() { s.orderDelay = 0 }
	}
	return s.startNodeFault(fault)
}

// startNodeFault starts a fault of a router or a machine.
func (s *simulation) startNodeFault(fault Fault) func() {
	router := s.routers[fault.Target%s.shape.Routers]
	target := s.machines[fault.Target%s.shape.Machines]
	switch fault.Kind {
	case FaultCrashRouter:
		router.crashNow()
		router.restart(fault.For)
		return noHeal
	case FaultFreezeRouter:
		router.freeze(fault.For)
		return noHeal
	case FaultCrashLoading:
		target = s.loadingMachine()
		if target == nil {
			return nil
		}
		fallthrough
	case FaultCrashEngine:
		target.crashEngine()
		target.restart(min(fault.For, time.Second))
		return noHeal
	case FaultFreezeEngine:
		target.freeze(fault.For)
		return noHeal
	case FaultOverloadEngine:
		return s.overloadEngine(target)
	case FaultCutPaths:
		return s.cutPaths([]*routerNode{router}, fault)
	case FaultCutZonePaths:
		return s.cutPaths(s.routersOfZone(zones[fault.Target%len(zones)]), fault)
	case FaultCutMostPaths:
		return s.cutPaths(s.mostRouters(fault.Target), fault)
	case FaultLimitEngine:
		return s.limitEngine(target, fault.For)
	case FaultMachineLeaves:
		return s.leave(target)
	case FaultMachineReclaimed:
		return s.reclaim(target, fault.For)
	}
	return nil
}

func (s *simulation) crashControl(node *controlNode, down time.Duration) func() {
	if node == nil || !node.up {
		return nil
	}
	node.crashNow()
	node.restart(down)
	return noHeal
}

// crashVoters crashes the leader and every node that grants a vote, makes election timeouts coincide,
// and delays messages.
func (s *simulation) crashVoters() func() {
	s.crashOnVote = true
	if s.crashControl(s.leader(), 5*time.Millisecond) == nil {
		s.crashOnVote = false
		return nil
	}
	s.network.late = 0.3
	return func() {
		s.crashOnVote = false
		s.network.late = baseLateRate
	}
}

func (s *simulation) freezeLeader(span time.Duration) func() {
	leader := s.leader()
	if leader == nil {
		return nil
	}
	leader.freeze(span)
	return noHeal
}

// suspend suspends the machine of a process.
func (s *simulation) suspend(fault Fault) func() {
	suspended := &s.routers[fault.Target%s.shape.Routers].process
	switch leader := s.leader(); {
	case fault.Target%3 == 0 && leader != nil:
		suspended = &leader.process
	case fault.Target%3 == 1:
		suspended = &s.controls[fault.Target%controlCount].process
	}
	suspended.sleep(fault.For)
	return noHeal
}

// cutLeader isolates the leader from the network.
func (s *simulation) cutLeader() func() {
	leader := s.leader()
	if leader == nil {
		return nil
	}
	leader.isolated = true
	return func() { leader.isolated = false }
}

// stopLeader transfers leadership and then stops the leader.
func (s *simulation) stopLeader(down time.Duration) func() {
	leader := s.leader()
	if leader == nil {
		return nil
	}
	if leader.member.Raft.TransferLeadership() {
		leader.processOutput()
	}
	return s.crashControl(leader, down)
}

// loseControl removes a control node and its disk permanently, unless another is already lost. Once it
// has been replaced in the membership, an empty node rejoins under its name as a learner.
func (s *simulation) loseControl(target int) func() {
	node := s.controls[target%controlCount]
	lost := 0
	for _, other := range s.controls {
		if other.lost {
			lost++
		}
	}
	if lost > 0 || !node.up {
		return nil
	}
	node.crashNow()
	node.lost = true
	node.disk = &disk{sim: s}
	s.rejoinOnceReplaced(node)
	return noHeal
}

func (s *simulation) rejoinOnceReplaced(node *controlNode) {
	s.After(time.Second, func() {
		leader := s.leader()
		if leader == nil || slices.Contains(leader.member.Raft.Status().Voters, node.id) {
			s.rejoinOnceReplaced(node)
			return
		}
		node.lost = false
		s.checks.forgetNode(node)
		node.start(&wirepb.Membership{})
	})
}

func (s *simulation) cutZones(fault Fault) func() {
	isolated := zones[fault.Target%len(zones)]
	var pairs [][2]string
	for _, other := range zones {
		if other == isolated {
			continue
		}
		pairs = append(pairs, [2]string{isolated, other})
		if fault.Kind == FaultCutZone {
			pairs = append(pairs, [2]string{other, isolated})
		}
	}
	for _, pair := range pairs {
		s.network.cutZones[pair] = true
	}
	return func() {
		for _, pair := range pairs {
			delete(s.network.cutZones, pair)
		}
	}
}

// muteControl drops the messages of a control node to the others. Its communication with routers,
// machines and operators is unaffected.
func (s *simulation) muteControl(target int) func() {
	node := s.controls[target%controlCount]
	if node.muted {
		return nil
	}
	node.muted = true
	return func() { node.muted = false }
}

func (s *simulation) loadingMachine() *machine {
	for _, candidate := range s.machines {
		for _, replica := range candidate.engine.Replicas() {
			if candidate.up && replica.Phase == "loading" {
				return candidate
			}
		}
	}
	return nil
}

// leave lists a machine as leaving until the fault heals.
func (s *simulation) leave(m *machine) func() {
	if m.leavingSince > 0 || m.removed {
		return nil
	}
	m.leavingSince = s.Now()
	s.list.publish()
	return func() {
		if !m.removed {
			m.leavingSince = 0
			s.list.publish()
		}
	}
}

// reclaim removes a machine; another appears later under the same name.
func (s *simulation) reclaim(m *machine, away time.Duration) func() {
	if m.removed {
		return nil
	}
	m.crashEngine()
	m.removed = true
	s.list.publish()
	s.After(away+2*time.Second, func() {
		m.removed = false
		m.leavingSince = 0
		m.startEngine()
		s.list.publish()
	})
	return noHeal
}
