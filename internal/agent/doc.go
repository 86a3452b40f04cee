// Package agent polls engines on behalf of the control plane and sends them the
// orders that follow from the decided replicas.
//
// Each machine has one agent, chosen by rendezvous hashing over the live nodes.
// Agents are level-triggered: each poll compares the decided state with the
// reported one. Every order carries its decision's store revision as a fence and
// the engine's incarnation, so an engine refuses orders from a stale agent.
package agent
