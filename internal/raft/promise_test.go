package raft

import (
	"testing"
	"time"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// TestPromiseOutlivesShorterSetting checks that a promise made under a longer election timeout
// binds a node restarted with a shorter one.
func TestPromiseOutlivesShorterSetting(t *testing.T) {
	const long, short = 800 * time.Millisecond, 400 * time.Millisecond
	config := Config{
		ID: 1, ElectionTimeout: long, HeartbeatInterval: short / 5, LeaseMargin: short / 5,
		Random: func(int64) int64 { return 0 },
	}
	node, err := New(config, Stored{}, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	node.acceptTimeout(long)
	config.ElectionTimeout = short
	restarted, err := New(config, Stored{HardState: node.HardState()}, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	restarted.advanceClock(long - 1)
	if !restarted.promisedToLeader(None) {
		t.Error("the node is free to vote before its promise ends")
	}
	restarted.advanceClock(long)
	if restarted.promisedToLeader(None) {
		t.Error("the promise does not end")
	}
}

// TestPromiseOutlivesNewerTerm checks that a promise binds a node that learns of a newer term from
// a message other than the vote request; otherwise two leaders could hold the lease.
func TestPromiseOutlivesNewerTerm(t *testing.T) {
	const timeout = 400 * time.Millisecond
	config := Config{
		ID: 2, ElectionTimeout: timeout, HeartbeatInterval: timeout / 5, LeaseMargin: timeout / 5,
		Random: func(int64) int64 { return 0 },
	}
	node, err := New(config, Stored{Membership: &wirepb.Membership{Voters: []uint64{1, 2, 3}}}, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	granted := func(now time.Duration, kind wirepb.RaftMessageType, from, term, round uint64) bool {
		node.Step(now, &wirepb.RaftMessage{Type: kind, From: from, To: 2, Term: term, Round: round, Reject: kind == wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE_REPLY})
		ready := node.Ready()
		node.Advance(ready)
		for _, sent := range ready.Messages {
			if sent.GetType() == wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE_REPLY && !sent.GetReject() {
				return true
			}
		}
		return false
	}
	const vote = wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE
	granted(2*timeout, wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT, 1, 5, 1)
	granted(2*timeout, wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE_REPLY, 3, 6, 0)
	if term := node.Status().Term; term != 6 {
		t.Fatalf("term %d, want 6", term)
	}
	if granted(3*timeout-1, vote, 3, 6, 0) {
		t.Error("vote granted during a promise to another leader")
	}
	if !granted(3*timeout, vote, 3, 6, 0) {
		t.Error("no vote granted after the promise ended")
	}
	granted(3*timeout, wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT, 3, 6, 1)
	granted(3*timeout, wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE_REPLY, 1, 7, 0)
	if !granted(3*timeout, vote, 1, 7, forcedElection) {
		t.Error("no vote granted in an election requested by the leader")
	}
}

// TestPromiseOutlivesShorterPromise checks that a later, shorter promise does not shorten an
// earlier one.
func TestPromiseOutlivesShorterPromise(t *testing.T) {
	const timeout = 400 * time.Millisecond
	config := Config{
		ID: 2, ElectionTimeout: timeout, HeartbeatInterval: timeout / 5, LeaseMargin: timeout / 5,
		Random: func(int64) int64 { return 0 },
	}
	node, err := New(config, Stored{}, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	for round, asked := range []time.Duration{2 * timeout, timeout} {
		node.Step(timeout, &wirepb.RaftMessage{
			Type: heartbeatType, From: 1, To: 2, Term: 5, Round: uint64(round + 1), PromiseMs: uint32(asked.Milliseconds()),
		})
	}
	node.advanceClock(3*timeout - 1)
	if !node.promisedToLeader(None) {
		t.Error("a shorter promise shortened an earlier one")
	}
	node.advanceClock(3 * timeout)
	if node.promisedToLeader(None) {
		t.Error("the promise does not end")
	}
}
