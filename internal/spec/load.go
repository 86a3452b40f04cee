package spec

import "fmt"

// EngineAccepts reports whether an engine accepts an order, given its incarnation and fence, and
// whether it holds or has ended the order's replica.
func EngineAccepts(incarnation, fence uint64, holds, ended, isLoad bool, orderIncarnation, orderFence uint64) bool {
	if orderIncarnation != incarnation {
		return false
	}
	if isLoad && holds {
		return true
	}
	return orderFence >= fence && (!isLoad || !ended)
}

// Bounds of the load model. Each replica takes all memory of the machine.
const (
	loadReplicas     = 2
	loadIncarnations = 2
	loadRevisions    = 7
)

// Phases of a replica's record.
const (
	recordNone uint8 = iota
	recordLoading
	recordUnloading
	// recordGone means removed; the name is not reused.
	recordGone
)

// LoadRecord is the control plane's record of a replica.
type LoadRecord struct {
	Phase uint8
	// Incarnation is that of the engine for which the load was decided. LoadFence and
	// UnloadFence are the revisions of the decisions, which their orders carry.
	Incarnation, LoadFence, UnloadFence uint8
}

// LoadState is a state of the load model. Every order may be delivered at any time after its
// decision and any number of times.
type LoadState struct {
	Records  [loadReplicas]LoadRecord
	Revision uint8

	// Incarnation, Fence, Holds and Ended are the state of the engine.
	Incarnation, Fence uint8
	Holds, Ended       [loadReplicas]bool

	// ReportIncarnation, ReportFence and ReportHolds are the last report of the engine, which may
	// be stale.
	ReportIncarnation, ReportFence uint8
	ReportHolds                    [loadReplicas]bool

	// Undecided is set if the engine loaded a replica that was removed or decided for another
	// incarnation; Overcommitted is set if it loaded more than its memory holds.
	Undecided, Overcommitted bool
}

// LoadRules selects the rules of the load model to break.
type LoadRules struct {
	// NoFence makes the engine accept any order.
	NoFence bool
	// FreeOnDecision removes the record when the unload is decided.
	FreeOnDecision bool
	// ReuseNames allows loading a replica that has ended.
	ReuseNames bool
}

// Load returns the model of fenced loads.
func Load(rules LoadRules) Model[LoadState] {
	return Model[LoadState]{
		Initial: LoadState{Incarnation: 1, ReportIncarnation: 1},
		Next: func(state LoadState, visit func(string, LoadState)) {
			for replica := range loadReplicas {
				rules.decide(state, replica, visit)
				rules.deliver(state, replica, visit)
				removeConfirmed(state, replica, visit)
			}
			reportAndRestart(state, visit)
		},
		Violation: func(state LoadState) string {
			switch {
			case state.Overcommitted:
				return "memory was overcommitted"
			case state.Undecided:
				return "an engine loaded a replica without a decision"
			}
			return ""
		},
	}
}

// decide makes the leader load a replica if no other is reserved, or unload it.
func (r LoadRules) decide(state LoadState, replica int, visit func(string, LoadState)) {
	if state.Revision == loadRevisions {
		return
	}
	record := &state.Records[replica]
	other := state.Records[1-replica].Phase
	state.Revision++
	switch {
	case record.Phase == recordNone && (other == recordNone || other == recordGone):
		*record = LoadRecord{Phase: recordLoading, Incarnation: state.ReportIncarnation, LoadFence: state.Revision}
		visit(fmt.Sprintf("load of %d decided at %d", replica, state.Revision), state)
	case record.Phase == recordLoading:
		record.Phase, record.UnloadFence = recordUnloading, state.Revision
		if r.FreeOnDecision {
			record.Phase = recordGone
		}
		visit(fmt.Sprintf("unload of %d decided at %d", replica, state.Revision), state)
	}
}

// deliver delivers an order that was decided, possibly again.
func (r LoadRules) deliver(state LoadState, replica int, visit func(string, LoadState)) {
	record := state.Records[replica]
	if record.LoadFence > 0 {
		r.applyOrder(state, replica, true, record.LoadFence, visit)
	}
	if record.UnloadFence > 0 {
		r.applyOrder(state, replica, false, record.UnloadFence, visit)
	}
}

func (r LoadRules) applyOrder(state LoadState, replica int, isLoad bool, fence uint8, visit func(string, LoadState)) {
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
	state.Undecided = state.Undecided || record.Phase == recordGone || record.Incarnation != state.Incarnation
	state.Overcommitted = state.Overcommitted || state.Holds[1-replica]
	state.Holds[replica] = true
	visit(fmt.Sprintf("engine loads %d", replica), state)
}

// removeConfirmed removes a record if the report proves that the engine does not hold the replica
// and will not load it again.
func removeConfirmed(state LoadState, replica int, visit func(string, LoadState)) {
	record := &state.Records[replica]
	restarted := state.ReportIncarnation > record.Incarnation
	unloaded := record.Phase == recordUnloading && state.ReportIncarnation == record.Incarnation &&
		!state.ReportHolds[replica] && state.ReportFence >= record.UnloadFence
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
	if state.Incarnation < loadIncarnations {
		state.Incarnation++
		state.Fence = 0
		state.Holds, state.Ended = [loadReplicas]bool{}, [loadReplicas]bool{}
		visit("the engine restarts", state)
	}
}
