package spec

import "fmt"

// EngineAccepts is the rule of engines: whether an order is accepted, as far
// as fences go. Holds and ended are about the replica that the order names.
func EngineAccepts(incarnation, fence uint64, holds, ended, isLoad bool, orderIncarnation, orderFence uint64) bool {
	if orderIncarnation != incarnation {
		return false
	}
	if isLoad && holds {
		return true
	}
	return orderFence >= fence && (!isLoad || !ended)
}

// The bounds of the load's model: two replicas that each fill the machine.
const (
	loadReplicas  = 2
	loadLives     = 2
	loadRevisions = 7
)

// Phases of a replica's record.
const (
	recordNone uint8 = iota
	recordLoading
	recordUnloading
	// recordGone: removed, and its name is never used again.
	recordGone
)

// LoadRecord is a decided replica.
type LoadRecord struct {
	Phase uint8
	// Incarnation is the engine life that it was decided for; Loads and
	// Unloads are the revisions of the decisions, the fences of their orders.
	Incarnation, Loads, Unloads uint8
}

// LoadState is a state of the load's model. Every order that was ever decided
// may reach the engine at any time and any number of times.
type LoadState struct {
	Records  [loadReplicas]LoadRecord
	Revision uint8

	// The engine.
	Incarnation, Fence uint8
	Holds, Ended       [loadReplicas]bool

	// Reported is what the leader knows: an engine's state of some time ago.
	ReportIncarnation, ReportFence uint8
	ReportHolds                    [loadReplicas]bool

	// Stray is set once the engine took a replica that nobody had decided for
	// it, Overcommitted once it was asked for memory that it has not.
	Stray, Overcommitted bool
}

// LoadRules can be broken.
type LoadRules struct {
	// NoFence: the engine takes any order.
	NoFence bool
	// EarlyFree: the record goes when the unload is decided.
	EarlyFree bool
	// ReuseNames: a name that has ended may be loaded again.
	ReuseNames bool
}

// Load returns the model of a fenced load.
func Load(rules LoadRules) Model[LoadState] {
	return Model[LoadState]{
		Initial: LoadState{Incarnation: 1, ReportIncarnation: 1},
		Next: func(state LoadState, visit func(string, LoadState)) {
			for replica := range loadReplicas {
				rules.decide(state, replica, visit)
				rules.deliver(state, replica, visit)
				confirm(state, replica, visit)
			}
			reportAndRestart(state, visit)
		},
		Broken: func(state LoadState) string {
			switch {
			case state.Overcommitted:
				return "memory was overcommitted"
			case state.Stray:
				return "a replica was held that nobody decided"
			}
			return ""
		},
	}
}

// decide is the leader's: load where no other reservation stands, or unload.
func (r LoadRules) decide(state LoadState, replica int, visit func(string, LoadState)) {
	if state.Revision == loadRevisions {
		return
	}
	record := &state.Records[replica]
	other := state.Records[1-replica].Phase
	state.Revision++
	switch {
	case record.Phase == recordNone && (other == recordNone || other == recordGone):
		*record = LoadRecord{Phase: recordLoading, Incarnation: state.ReportIncarnation, Loads: state.Revision}
		visit(fmt.Sprintf("load of %d decided at %d", replica, state.Revision), state)
	case record.Phase == recordLoading:
		record.Phase, record.Unloads = recordUnloading, state.Revision
		if r.EarlyFree {
			record.Phase = recordGone
		}
		visit(fmt.Sprintf("unload of %d decided at %d", replica, state.Revision), state)
	}
}

// deliver brings an order to the engine, as often as it likes.
func (r LoadRules) deliver(state LoadState, replica int, visit func(string, LoadState)) {
	record := state.Records[replica]
	if record.Loads > 0 {
		r.order(state, replica, true, record.Loads, visit)
	}
	if record.Unloads > 0 {
		r.order(state, replica, false, record.Unloads, visit)
	}
}

func (r LoadRules) order(state LoadState, replica int, isLoad bool, fence uint8, visit func(string, LoadState)) {
	record := state.Records[replica]
	ended := state.Ended[replica] && !r.ReuseNames
	accepted := EngineAccepts(uint64(state.Incarnation), uint64(state.Fence), state.Holds[replica], ended, isLoad,
		uint64(record.Incarnation), uint64(fence))
	if !accepted && !r.NoFence {
		return
	}
	state.Fence = max(state.Fence, fence)
	if !isLoad {
		state.Ended[replica] = state.Ended[replica] || !r.NoFence
		state.Holds[replica] = false
		visit(fmt.Sprintf("engine unloads %d", replica), state)
		return
	}
	if state.Holds[replica] {
		return
	}
	state.Stray = state.Stray || record.Phase == recordGone || record.Incarnation != state.Incarnation
	state.Overcommitted = state.Overcommitted || state.Holds[1-replica]
	state.Holds[replica] = true
	visit(fmt.Sprintf("engine loads %d", replica), state)
}

// confirm removes a record once the report proves that the engine is rid of
// the replica and will not take it again.
func confirm(state LoadState, replica int, visit func(string, LoadState)) {
	record := &state.Records[replica]
	restarted := state.ReportIncarnation > record.Incarnation
	unloaded := record.Phase == recordUnloading && state.ReportIncarnation == record.Incarnation &&
		!state.ReportHolds[replica] && state.ReportFence >= record.Unloads
	decided := record.Phase == recordLoading || record.Phase == recordUnloading
	if decided && (restarted || unloaded) {
		record.Phase = recordGone
		visit(fmt.Sprintf("%d is removed", replica), state)
	}
}

func reportAndRestart(state LoadState, visit func(string, LoadState)) {
	reported := state
	reported.ReportIncarnation, reported.ReportFence, reported.ReportHolds = state.Incarnation, state.Fence, state.Holds
	if reported != state {
		visit("the engine reports", reported)
	}
	if state.Incarnation < loadLives {
		state.Incarnation++
		state.Fence = 0
		state.Holds, state.Ended = [loadReplicas]bool{}, [loadReplicas]bool{}
		visit("the engine restarts", state)
	}
}
