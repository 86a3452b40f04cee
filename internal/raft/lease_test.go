package raft

import (
	"testing"
	"time"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// TestLeaseOfOneVoterEndsWithOthers checks that the lease of a single voter does not outlast the
// addition of voters that have promised nothing.
func TestLeaseOfOneVoterEndsWithOthers(t *testing.T) {
	const timeout = 400 * time.Millisecond
	lease := newLease()
	round := lease.nextRound(0)
	lease.recordReply(2, round, timeout, []uint64{1}, 1, 1)
	voters := []uint64{1, 2, 3}
	node := &Node{
		config: Config{ID: 1, ElectionTimeout: timeout}, role: Leader, lease: lease,
		membership: &wirepb.Membership{Voters: voters},
	}
	if until := node.leaseUntil(); until > timeout {
		t.Errorf("lease held until %s without a promise of another voter", until)
	}
	node.lease.recordReply(2, node.lease.nextRound(timeout), timeout, voters, 1, 2)
	if until := node.leaseUntil(); until != 2*timeout {
		t.Errorf("want the lease held until the end of the quorum's promise at %s, got %s", 2*timeout, until)
	}
}
