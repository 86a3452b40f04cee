package faultsim

import (
	"google.golang.org/protobuf/proto"

	"github.com/weldline/weldline/api/engine"
	"github.com/weldline/weldline/internal/spec"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// conformance holds the state of the specification, for a step-by-step comparison with the
// implementation.
type conformance struct {
	claims map[string]spec.Claim[string]
	// ended holds the replica names that have ended under the engine's current incarnation.
	ended        map[*machine]map[string]bool
	incarnations map[*machine]uint64
	// votes holds each control node's vote by term.
	votes map[uint64]map[uint64]uint64
	terms map[uint64]uint64
}

func newConformance() conformance {
	return conformance{
		claims: map[string]spec.Claim[string]{}, ended: map[*machine]map[string]bool{}, incarnations: map[*machine]uint64{},
		votes: map[uint64]map[uint64]uint64{}, terms: map[uint64]uint64{},
	}
}

// expectOrder returns whether the specification accepts an order. It must be called before the engine
// applies the order.
func (c *checks) expectOrder(m *machine, order engine.Order) bool {
	if c.conformance.incarnations[m] != m.incarnation {
		c.conformance.incarnations[m] = m.incarnation
		c.conformance.ended[m] = map[string]bool{}
	}
	ended := c.conformance.ended[m]
	current := m.engine.Replica(order.Replica)
	if current != nil && current.Phase == engine.PhaseFailed {
		ended[order.Replica] = true
	}
	return spec.EngineAccepts(m.incarnation, m.engine.Fence, current != nil, ended[order.Replica],
		order.Kind == engine.OrderLoad, order.Incarnation, order.Fence)
}

// compareOrder compares the engine's result with the specification.
func (c *checks) compareOrder(m *machine, order engine.Order, result engine.OrderResult, expected bool) {
	accepted := result.Accepted || result.Reason == engine.ReasonNoMemory
	if accepted != expected {
		c.violate(CheckSpec, "%s %s of %s: accepted %t, specified %t", m.name, order.Kind, order.Replica, accepted, expected)
	}
	if accepted && (order.Kind == engine.OrderUnload || !result.Accepted) {
		c.conformance.ended[m][order.Replica] = true
	}
}

var specOperations = map[wirepb.ClaimCommand_Operation]spec.ClaimOperation{
	wirepb.ClaimCommand_OPERATION_OPEN:     spec.ClaimRequest,
	wirepb.ClaimCommand_OPERATION_COMPLETE: spec.ClaimComplete,
	wirepb.ClaimCommand_OPERATION_NOT_RUN:  spec.ClaimCloseNotRun,
	wirepb.ClaimCommand_OPERATION_UNKNOWN:  spec.ClaimCloseUnknown,
}

var specPhases = map[spec.ClaimPhase]wirepb.ClaimState{
	spec.ClaimNone:      wirepb.ClaimState_CLAIM_STATE_UNKNOWN,
	spec.ClaimOpen:      wirepb.ClaimState_CLAIM_STATE_OPEN,
	spec.ClaimCompleted: wirepb.ClaimState_CLAIM_STATE_COMPLETED,
	spec.ClaimNotRun:    wirepb.ClaimState_CLAIM_STATE_NOT_RUN,
	spec.ClaimUnknown:   wirepb.ClaimState_CLAIM_STATE_UNKNOWN,
}

// compareClaims applies the claims of a committed entry to the specification. A sweep, which depends
// on time, may have closed an open claim as unknown before.
func (c *checks) compareClaims(entry *wirepb.Entry, result *wirepb.CommandResult) {
	command := &wirepb.Command{}
	if proto.Unmarshal(entry.GetData(), command) != nil {
		return
	}
	for position, claim := range command.GetClaims().GetClaims() {
		if position >= len(result.GetClaims()) {
			return
		}
		actual := result.GetClaims()[position].GetState()
		current := c.conformance.claims[claim.GetKey()]
		next, specified := stepClaim(current, claim)
		if specified != actual && current.Phase == spec.ClaimOpen {
			current.Phase = spec.ClaimUnknown
			next, specified = stepClaim(current, claim)
		}
		if specified != actual {
			c.violate(CheckSpec, "claim %s: %s, specified %s", claim.GetKey(), actual, specified)
		}
		c.conformance.claims[claim.GetKey()] = next
	}
}

func stepClaim(current spec.Claim[string], claim *wirepb.ClaimCommand) (spec.Claim[string], wirepb.ClaimState) {
	next, granted := current.Step(specOperations[claim.GetOperation()], claim.GetOwner())
	if granted {
		return next, wirepb.ClaimState_CLAIM_STATE_GRANTED
	}
	return next, specPhases[next.Phase]
}

// checkHardState checks that a control node's durable term never decreases and that it votes once per
// term.
func (c *checks) checkHardState(node *controlNode) {
	hardState := node.member.Raft.HardState()
	if hardState.GetTerm() < c.conformance.terms[node.id] {
		c.violate(CheckSpec, "%s went from term %d to %d", node.name, c.conformance.terms[node.id], hardState.GetTerm())
	}
	c.conformance.terms[node.id] = hardState.GetTerm()
	if c.conformance.votes[node.id] == nil {
		c.conformance.votes[node.id] = map[uint64]uint64{}
	}
	votes := c.conformance.votes[node.id]
	if before := votes[hardState.GetTerm()]; before != 0 && hardState.GetVote() != before {
		c.violate(CheckSpec, "%s voted for %d, then for %d in term %d", node.name, before, hardState.GetVote(), hardState.GetTerm())
	}
	votes[hardState.GetTerm()] = hardState.GetVote()
}

// forgetNode resets the state of a node whose disk was lost: it rejoins as a new node.
func (c *checks) forgetNode(node *controlNode) {
	delete(c.conformance.terms, node.id)
	delete(c.conformance.votes, node.id)
}
