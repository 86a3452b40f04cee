package raft

import (
	"testing"
	"time"
)

// TestFollowerDetectsOneWayConnection checks that a follower whose replies are lost detects this
// although it keeps receiving heartbeats.
func TestFollowerDetectsOneWayConnection(t *testing.T) {
	const (
		interval = 100 * time.Millisecond
		timeout  = 250 * time.Millisecond
	)
	node := &Node{config: Config{ID: 2, ElectionTimeout: timeout}, promise: timeout, leader: 1}
	tracker := &node.replyTracker
	now := time.Duration(0)
	status := func() Status {
		return Status{ID: 2, Leader: 1, ReachableUntil: node.reachableUntil(), LeaderHasQuorum: true}
	}
	heartbeat := func(term, round, confirmed uint64) {
		now += interval
		tracker.confirmRound(term, confirmed)
		tracker.recordReply(now, term, round)
	}
	for round := uint64(1); round <= 100; round++ {
		heartbeat(1, round, round-1)
		if !status().ReachesLeader(now) {
			t.Fatalf("does not reach the leader in round %d", round)
		}
	}
	// From here on replies are lost: the confirmed round no longer advances.
	lastConfirmedAt := now
	for round := uint64(101); round <= 110; round++ {
		heartbeat(1, round, 100)
	}
	if tracker.confirmedSentAt != lastConfirmedAt {
		t.Errorf("last confirmed reply sent at %s, want %s", tracker.confirmedSentAt, lastConfirmedAt)
	}
	if status().ReachesLeader(now) {
		t.Error("reaches the leader although its replies are lost")
	}
	if !status().IsolatedFromLeader(now) {
		t.Error("not isolated although the leader has a quorum and receives no replies")
	}
	if alone := (Status{ID: 2, Leader: 1, ReachableUntil: node.reachableUntil()}); alone.IsolatedFromLeader(now) {
		t.Error("isolated from a leader without a quorum")
	}
	// A new leader gets the confirmation timeout from its first heartbeat. Rounds of the previous
	// term do not count.
	heartbeat(2, 1, 0)
	if !status().ReachesLeader(now) {
		t.Error("does not reach a new leader within the confirmation timeout")
	}
	heartbeat(2, 2, 105)
	for round := uint64(3); round <= 8; round++ {
		heartbeat(2, round, 0)
	}
	if status().ReachesLeader(now) {
		t.Error("reaches a new leader that has confirmed nothing within the timeout")
	}
	heartbeat(2, 9, 8)
	if !status().ReachesLeader(now) {
		t.Error("does not reach the leader after a confirmation")
	}
	leaderless, leading := Status{ID: 2}, Status{ID: 2, Leader: 2}
	if leaderless.ReachesLeader(0) || leaderless.IsolatedFromLeader(now) || !leading.ReachesLeader(now) {
		t.Error("a node without a leader must reach none and be isolated from none; a leader must reach itself")
	}
}
