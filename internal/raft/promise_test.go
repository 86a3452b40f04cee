package raft

import (
	"testing"
	"time"
)

// TestPromiseOutlivesAShorterSetting: a leader counts on what was promised under the settings of
// then; a follower that starts anew with a shorter election timeout is bound by that.
func TestPromiseOutlivesAShorterSetting(t *testing.T) {
	const long, short = 800 * time.Millisecond, 400 * time.Millisecond
	config := Config{
		ID: 1, ElectionTimeout: long, HeartbeatInterval: short / 5, LeaseMargin: short / 5,
		Random: func(int64) int64 { return 0 },
	}
	node, err := New(config, Stored{}, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	node.hearAsked(long)
	config.ElectionTimeout = short
	restarted, err := New(config, Stored{HardState: node.HardState()}, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	restarted.advanceClock(long - 1)
	if !restarted.promisedToLeader(None) {
		t.Error("a shorter setting has shortened a promise")
	}
	restarted.advanceClock(long)
	if restarted.promisedToLeader(None) {
		t.Error("a promise does not end")
	}
}
