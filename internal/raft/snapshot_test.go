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

// newFollower returns a follower whose log holds entries 1 to last of term 1, all of
// them acknowledged to the leader and committed up to commit.
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
	if reply := carryOut(follower); reply.GetReject() || reply.GetIndex() != last {
		t.Fatalf("the entries were answered by %v", reply)
	}
	return follower
}

// carryOut does the outstanding work of a node and returns the last message.
func carryOut(node *raft.Node) *wirepb.RaftMessage {
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
	return carryOut(follower)
}

// TestLateSnapshotKeepsAcknowledgedEntries: the leader counts on every entry that a
// follower has acknowledged. A snapshot that arrives after them must not drop those
// that lie behind it, or a committed entry could be on fewer disks than a quorum.
func TestLateSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	follower := newFollower(t, 5, 1)
	reply := stepSnapshot(follower, 3, 1)
	if reply.GetIndex() < 3 {
		t.Errorf("the snapshot was answered by %v", reply)
	}
	status := follower.Status()
	if status.Last != 5 || status.Committed != 3 || status.Applied != 3 {
		t.Errorf("last %d, committed %d, applied %d; wanted 5, 3, 3", status.Last, status.Committed, status.Applied)
	}
}

// TestSnapshotReplacesOtherEntries: where the entry at the snapshot's index is of
// another term, the log is not the leader's, and all of it goes.
func TestSnapshotReplacesOtherEntries(t *testing.T) {
	follower := newFollower(t, 5, 1)
	stepSnapshot(follower, 3, 2)
	status := follower.Status()
	if status.Last != 3 || status.Committed != 3 || status.FirstIndex != 4 {
		t.Errorf("last %d, committed %d, first held %d; wanted 3, 3, 4", status.Last, status.Committed, status.FirstIndex)
	}
}
