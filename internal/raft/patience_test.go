package raft

import (
	"testing"
	"time"
)

func TestElectionTimeoutFor(t *testing.T) {
	const ms = time.Millisecond
	config := &Config{ElectionTimeout: 400 * ms, HeartbeatInterval: 80 * ms}
	for _, test := range []struct {
		roundTrip, requested, want time.Duration
	}{
		{roundTrip: 0, requested: 400 * ms, want: 400 * ms},
		{roundTrip: 20 * ms, requested: 400 * ms, want: 400 * ms},
		{roundTrip: 21 * ms, requested: 400 * ms, want: 450 * ms},
		{roundTrip: 60 * ms, requested: 400 * ms, want: 500 * ms},
		{roundTrip: 60 * ms, requested: 550 * ms, want: 550 * ms},
		{roundTrip: 60 * ms, requested: 600 * ms, want: 500 * ms},
		{roundTrip: time.Second, requested: 400 * ms, want: 800 * ms},
	} {
		if got := config.electionTimeoutFor(test.roundTrip, test.requested); got != test.want {
			t.Errorf("round trip %s, current timeout %s: got %s, want %s", test.roundTrip, test.requested, got, test.want)
		}
	}
}

// TestPromiseOutlivesRestart checks that a promise longer than the configured timeout binds a
// restarted node.
func TestPromiseOutlivesRestart(t *testing.T) {
	const timeout = 400 * time.Millisecond
	config := Config{
		ID: 1, ElectionTimeout: timeout, HeartbeatInterval: timeout / 5, LeaseMargin: timeout / 5,
		Random: func(int64) int64 { return 0 },
	}
	node, err := New(config, Stored{}, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	before := node.HardState()
	node.acceptTimeout(timeout + timeout/2)
	node.acceptTimeout(timeout)
	if stored := node.HardState(); sameExceptCommit(before, stored) {
		t.Error("a longer promise does not change the state to store")
	}
	restarted, err := New(config, Stored{HardState: node.HardState()}, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	restarted.advanceClock(timeout + timeout/4)
	if !restarted.promisedToLeader(None) {
		t.Error("the restarted node is free to vote before its promise ends")
	}
	restarted.advanceClock(timeout + timeout/2)
	if restarted.promisedToLeader(None) {
		t.Error("the promise does not end")
	}
}
