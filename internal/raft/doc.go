// Package raft is the agreement core of the control plane: a replicated log
// with leader election, as a pure state machine.
//
// The problem: a few control nodes must agree on one sequence of decisions
// while any of them may stop, freeze, lose unsynced writes or be cut off, and
// a leader that is cut off in silence must stop deciding before another may
// start.
//
// The mechanism is Raft with pre-vote, check-quorum, a leader lease,
// pipelined replication, snapshots, learners and membership changes of one
// node at a time. The core has no clock, no I/O and no goroutines. Time is an
// argument, randomness is a function given at construction. The driver
//
//  1. calls Tick, Step or Propose;
//  2. takes a Ready;
//  3. makes Ready.Snapshot, Ready.HardState and Ready.Entries durable;
//  4. only then sends Ready.Messages and applies Ready.Committed;
//  5. calls Advance.
//
// Step 3 before step 4 is what makes a vote or an acknowledgement a promise.
//
// The lease: a follower that heard from a leader refuses to vote for another
// for as long as it has promised, at least ElectionTimeout, and so does a node
// that just started, which may have forgotten. A leader counts its lease from
// the moment at which it sent a heartbeat that a quorum has answered, for as
// long as these have promised in their answers, and stops LeaseMargin earlier
// than the followers do. Clocks may differ in value but not in rate by more than
// LeaseMargin in a promise. Over long links a leader asks for longer promises;
// see patience.go.
package raft
