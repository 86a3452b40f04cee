// Package raft implements the Raft consensus algorithm as a deterministic state machine, with
// pre-vote, check quorum, leader leases, pipelined replication, snapshots, learners and
// single-server membership changes. It has no clock, no I/O and no goroutines: the current time is
// an argument, and randomness is a function in the configuration.
//
// The driver calls Tick, Step or Propose and takes a Ready. It makes Ready.Snapshot,
// Ready.HardState and Ready.Entries durable, and only then sends Ready.Messages, applies
// Ready.Committed and calls Advance.
//
// Invariant: at most one node holds the leader lease at a time. After each contact with its leader,
// a follower promises to vote for no other candidate for at least the election timeout; a restarted
// node assumes its longest promise. The leader's lease runs from the time it sent a heartbeat that
// a quorum has answered, for the promised duration less LeaseMargin. Clock rates may differ by no
// more than LeaseMargin over that time.
package raft
