// Package agent watches over machines on behalf of the control plane: it asks
// their engines for reports and gives them the orders that follow from the
// decided replicas.
//
// The problem: the leader can't talk to a thousand engines, orders and
// answers get lost, agents change when nodes come and go, and an agent that
// is behind must do no harm.
//
// The mechanism: each machine has one agent, a live node of its zone chosen
// by rendezvous hashing over the nodes in the leader's digest. Agents are
// level-triggered: Orders compares what is decided with what the engine
// reports, each time anew. Every order carries the store revision of its
// decision as fence and the engine's incarnation, so orders of an agent that
// is behind, or for a process that is gone, are refused.
package agent
