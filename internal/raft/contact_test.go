package raft

import (
	"testing"
	"time"
)

// TestFollowerKnowsWhetherItIsHeard: a follower whose replies are lost goes on getting
// heartbeats. What they confirm tells it apart from one that is heard.
func TestFollowerKnowsWhetherItIsHeard(t *testing.T) {
	const (
		interval = 100 * time.Millisecond
		timeout  = 250 * time.Millisecond
	)
	node := &Node{config: Config{ID: 2, ElectionTimeout: timeout}, promise: timeout, leader: 1}
	held := &node.contact
	now := time.Duration(0)
	status := func() Status {
		return Status{ID: 2, Leader: 1, ReachableUntil: node.heardUntil(), LeaderHasQuorum: true}
	}
	beat := func(term, round, confirmed uint64) {
		now += interval
		held.confirm(term, confirmed)
		held.reply(now, term, round)
	}
	for round := uint64(1); round <= 100; round++ {
		beat(1, round, round-1)
		if !status().ReachesLeader(now) {
			t.Fatalf("not heard in round %d", round)
		}
	}
	// From here on the replies are lost: the last one confirmed stays the same.
	lost := now
	for round := uint64(101); round <= 110; round++ {
		beat(1, round, 100)
	}
	if held.heard != lost {
		t.Errorf("heard at %s, the last reply that arrived was sent at %s", held.heard, lost)
	}
	if status().ReachesLeader(now) {
		t.Error("heard although no reply arrives")
	}
	if !status().IsolatedFromLeader(now) {
		t.Error("a leader that hears others does not hear this node, and it takes itself to be heard")
	}
	if alone := (Status{ID: 2, Leader: 1, ReachableUntil: node.heardUntil()}); alone.IsolatedFromLeader(now) {
		t.Error("a leader that hears nobody is taken for one that does not hear this node")
	}
	// A new leader has not confirmed anything yet, and gets the time for it. Rounds of the
	// term before mean nothing in its term.
	beat(2, 1, 0)
	if !status().ReachesLeader(now) {
		t.Error("not heard by a leader that has just begun")
	}
	beat(2, 2, 105)
	for round := uint64(3); round <= 8; round++ {
		beat(2, round, 0)
	}
	if status().ReachesLeader(now) {
		t.Error("the new leader has confirmed nothing, and its time is over")
	}
	beat(2, 9, 8)
	if !status().ReachesLeader(now) {
		t.Error("not heard after a confirmation")
	}
	leaderless, leading := Status{ID: 2}, Status{ID: 2, Leader: 2}
	if leaderless.ReachesLeader(0) || leaderless.IsolatedFromLeader(now) || !leading.ReachesLeader(now) {
		t.Error("without a leader there is nobody to hear a node; a leader hears itself")
	}
}
