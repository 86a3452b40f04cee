// Package state is the replicated state machine of the control plane.
//
// The problem: operators race each other under equal versions, resend
// requests whose answers were lost, and the nodes that apply the log must
// come to the same state from the same commands.
//
// The mechanism: Apply is a function of the present state and one command. It
// reads no clock (commands carry the proposer's) and draws no random numbers.
// A write carries the revision that its author saw; exactly one of several
// writers with the same one wins. The results of operators' requests are kept
// in a bounded record that is part of the state, so a resent request gets its
// first result from any node, also after a change of leader.
//
// Claims of unrepeatable requests live beside the objects; see claims.go.
package state
