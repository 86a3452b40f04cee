// Package faultsim is a deterministic simulator that runs whole clusters in virtual time under
// injected faults and checks their invariants.
//
// The production code of control nodes, routers and engines runs on one goroutine; the network,
// disks, clocks and process lifecycles are simulated. All randomness comes from one seed, so a
// schedule always replays identically. A Mutation disables one rule of the system to show that a
// check detects it.
package faultsim
