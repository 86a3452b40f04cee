package raft_test

import (
	"testing"
	"time"

	"github.com/weldline/weldline/internal/raft"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	followerID = 1
	leaderID   = 2
)

// newFollower returns a follower with entries 1 to last of term 1, committed up to commit.
func newFollower(t *testing.T, last, commit uint64) *raft.Node {
	t.Helper()
	membership := &wirepb.Membership{Voters: []uint64{followerID, leaderID, 3}}
	config := raft.Config{
		ID: followerID, ElectionTimeout: time.Second, HeartbeatInterval: 100 * time.Millisecond,
		MaxEntriesPerMessage: 16, MaxInflightMessages: 4, Random: func(int64) int64 { return 0 },
	}
	follower, err := raft.New(config, raft.Stored{Membership: membership}, 0, func() *wirepb.Snapshot { return nil })
	if err != nil {
		t.Fatal(err)
	}
	message := &wirepb.RaftMessage{
		Type: wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND, From: leaderID, To: followerID, Term: 1, Commit: commit,
	}
	for index := uint64(1); index <= last; index++ {
		message.Entries = append(message.Entries, &wirepb.Entry{Index: index, Term: 1, Kind: wirepb.EntryKind_ENTRY_KIND_COMMAND})
	}
	follower.Step(0, message)
	if reply := drainReady(follower); reply.GetReject() || reply.GetIndex() != last {
		t.Fatalf("append reply %v", reply)
	}
	return follower
}

// drainReady completes the outstanding work of a node and returns the last message sent.
func drainReady(node *raft.Node) *wirepb.RaftMessage {
	var last *wirepb.RaftMessage
	for {
		ready := node.Ready()
		if ready.Empty() {
			return last
		}
		if count := len(ready.Messages); count > 0 {
			last = ready.Messages[count-1]
		}
		node.Advance(ready)
	}
}

func stepSnapshot(follower *raft.Node, index, term uint64) *wirepb.RaftMessage {
	follower.Step(0, &wirepb.RaftMessage{
		Type: wirepb.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT, From: leaderID, To: followerID, Term: 2,
		Snapshot: &wirepb.Snapshot{Meta: &wirepb.SnapshotMeta{
			Index: index, Term: term, Membership: &wirepb.Membership{Voters: []uint64{followerID, leaderID, 3}},
		}},
	})
	return drainReady(follower)
}

// TestLateSnapshotKeepsAcknowledgedEntries checks that a late snapshot does not drop acknowledged
// entries behind it, which may leave a committed entry on less than a quorum.
func TestLateSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	follower := newFollower(t, 5, 1)
	reply := stepSnapshot(follower, 3, 1)
	if reply.GetIndex() < 3 {
		t.Errorf("snapshot reply %v", reply)
	}
	status := follower.Status()
	if status.Last != 5 || status.Committed != 3 || status.Applied != 3 {
		t.Errorf("last %d, committed %d, applied %d; want 5, 3, 3", status.Last, status.Committed, status.Applied)
	}
}

// TestSnapshotReplacesConflictingLog checks that the whole log is dropped if the entry at the
// snapshot's index has another term.
func TestSnapshotReplacesConflictingLog(t *testing.T) {
	follower := newFollower(t, 5, 1)
	stepSnapshot(follower, 3, 2)
	status := follower.Status()
	if status.Last != 3 || status.Committed != 3 || status.FirstIndex != 4 {
		t.Errorf("last %d, committed %d, first index %d; want 3, 3, 4", status.Last, status.Committed, status.FirstIndex)
	}
}
