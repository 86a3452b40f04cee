package raft

import (
	"testing"
	"time"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// TestLeaseOfOneVoterEndsWithOthers: a leader that was the only voter has promises of nobody; once
// there are others, it holds the lease by theirs alone.
func TestLeaseOfOneVoterEndsWithOthers(t *testing.T) {
	const timeout = 400 * time.Millisecond
	lease := newLease()
	round := lease.nextRound(0)
	lease.answer(2, round, timeout, []uint64{1}, 1, 1)
	voters := []uint64{1, 2, 3}
	node := &Node{
		config: Config{ID: 1, ElectionTimeout: timeout}, role: Leader, lease: lease,
		membership: &wirepb.Membership{Voters: voters},
	}
	if until := node.leaseUntil(); until > timeout {
		t.Errorf("no other voter has promised anything, and the lease is held until %s", until)
	}
	node.lease.answer(2, node.lease.nextRound(timeout), timeout, voters, 1, 2)
	if until := node.leaseUntil(); until != 2*timeout {
		t.Errorf("a quorum has promised until %s, and the lease is held until %s", 2*timeout, until)
	}
}
