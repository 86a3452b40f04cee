package faultsim

import (
	"google.golang.org/protobuf/proto"

	"github.com/weldline/weldline/api/engine"
	"github.com/weldline/weldline/internal/spec"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// conformance holds the specification's state beside the implementation's, to
// compare them step by step.
type conformance struct {
	claims map[string]spec.Claim[string]
	// ended are the replica names that ended in an engine's present life.
	ended map[*machine]map[string]bool
	lives map[*machine]uint64
	// votes are what each control node voted in each term.
	votes map[uint64]map[uint64]uint64
	terms map[uint64]uint64
}

func newConformance() conformance {
	return conformance{
		claims: map[string]spec.Claim[string]{}, ended: map[*machine]map[string]bool{}, lives: map[*machine]uint64{},
		votes: map[uint64]map[uint64]uint64{}, terms: map[uint64]uint64{},
	}
}

// expectOrder returns what the specification says of an order, before the
// engine sees it.
func (c *checks) expectOrder(m *machine, order engine.Order) bool {
	if c.conforms.lives[m] != m.incarnation {
		c.conforms.lives[m] = m.incarnation
		c.conforms.ended[m] = map[string]bool{}
	}
	ended := c.conforms.ended[m]
	held := m.engine.Replica(order.Replica)
	if held != nil && held.Phase == engine.PhaseFailed {
		ended[order.Replica] = true
	}
	return spec.EngineAccepts(m.incarnation, m.engine.Fence, held != nil, ended[order.Replica],
		order.Kind == engine.OrderLoad, order.Incarnation, order.Fence)
}

// compareOrder compares what the engine did with it.
func (c *checks) compareOrder(m *machine, order engine.Order, result engine.OrderResult, expected bool) {
	accepted := result.Accepted || result.Reason == engine.ReasonNoMemory
	if accepted != expected {
		c.violate(CheckSpec, "%s %s of %s: accepted %t, specified %t", m.name, order.Kind, order.Replica, accepted, expected)
	}
	if accepted && (order.Kind == engine.OrderUnload || !result.Accepted) {
		c.conforms.ended[m][order.Replica] = true
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

// compareClaims takes the claims of a committed entry through the
// specification. A sweep, which depends on time, may have closed an open claim
// as unknown before.
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
		held := c.conforms.claims[claim.GetKey()]
		next, specified := stepClaim(held, claim)
		if specified != actual && held.Phase == spec.ClaimOpen {
			held.Phase = spec.ClaimUnknown
			next, specified = stepClaim(held, claim)
		}
		if specified != actual {
			c.violate(CheckSpec, "claim %s: %s, specified %s", claim.GetKey(), actual, specified)
		}
		c.conforms.claims[claim.GetKey()] = next
	}
}

func stepClaim(held spec.Claim[string], claim *wirepb.ClaimCommand) (spec.Claim[string], wirepb.ClaimState) {
	next, granted := held.Step(specOperations[claim.GetOperation()], claim.GetOwner())
	if granted {
		return next, wirepb.ClaimState_CLAIM_STATE_GRANTED
	}
	return next, specPhases[next.Phase]
}

// promised checks what a control node has made durable: its term never goes
// down, and it votes once in a term.
func (c *checks) promised(node *controlNode) {
	held := node.member.Raft.HardState()
	if held.GetTerm() < c.conforms.terms[node.id] {
		c.violate(CheckSpec, "%s went from term %d to %d", node.name, c.conforms.terms[node.id], held.GetTerm())
	}
	c.conforms.terms[node.id] = held.GetTerm()
	if c.conforms.votes[node.id] == nil {
		c.conforms.votes[node.id] = map[uint64]uint64{}
	}
	votes := c.conforms.votes[node.id]
	if before := votes[held.GetTerm()]; before != 0 && held.GetVote() != before {
		c.violate(CheckSpec, "%s voted for %d, then %d in term %d", node.name, before, held.GetVote(), held.GetTerm())
	}
	votes[held.GetTerm()] = held.GetVote()
}

// forget is for a node whose disk was lost for good: it is another one now.
func (c *checks) forget(node *controlNode) {
	delete(c.conforms.terms, node.id)
	delete(c.conforms.votes, node.id)
}
