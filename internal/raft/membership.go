package raft

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

func (n *Node) quorum() int {
	return len(n.membership.GetVoters())/2 + 1
}

func (n *Node) isVoter(id uint64) bool {
	return slices.Contains(n.membership.GetVoters(), id)
}

func (n *Node) peers() []uint64 {
	all := slices.Concat(n.membership.GetVoters(), n.membership.GetLearners())
	return slices.DeleteFunc(all, func(id uint64) bool { return id == n.config.ID })
}

// ProposeMembership proposes a new membership as leader. It may add or remove at most one voter, so
// that quorums before and after overlap, and the previous change must have been applied.
func (n *Node) ProposeMembership(now time.Duration, next *wirepb.Membership) error {
	n.advanceClock(now)
	if n.role != Leader || n.transferTo != None {
		return fault.Unavailable.New("not the leader")
	}
	if n.pendingMembership > n.log.applied {
		return fault.Conflict.New("the previous membership change is not applied yet")
	}
	if len(next.GetVoters()) == 0 {
		return fault.InvalidField("voters", "a membership needs at least one voter")
	}
	if countDifferences(n.membership.GetVoters(), next.GetVoters()) > 1 {
		return fault.InvalidField("voters", "a change may add or remove one voter at a time")
	}
	data, err := proto.Marshal(next)
	if err != nil {
		return fault.Internal.Wrap(err, "encoding a membership")
	}
	n.appendAsLeader(&wirepb.Entry{Kind: wirepb.EntryKind_ENTRY_KIND_MEMBERSHIP, Data: data})
	n.pendingMembership = n.log.lastIndex()
	return nil
}

func countDifferences(left, right []uint64) int {
	count := 0
	for _, id := range left {
		if !slices.Contains(right, id) {
			count++
		}
	}
	for _, id := range right {
		if !slices.Contains(left, id) {
			count++
		}
	}
	return count
}

func (n *Node) applyMembership(entry *wirepb.Entry) {
	next := &wirepb.Membership{}
	if err := proto.Unmarshal(entry.GetData(), next); err != nil {
		return // Not reached: ProposeMembership encoded it.
	}
	n.membership = next
	if n.role != Leader {
		return
	}
	if !n.isVoter(n.config.ID) {
		n.becomeFollower(n.term, None)
		return
	}
	n.syncProgress()
	n.maybeCommit()
}

// syncProgress adds and removes progress records to match the membership.
func (n *Node) syncProgress() {
	members := slices.Concat(n.membership.GetVoters(), n.membership.GetLearners())
	for id := range n.progress {
		if !slices.Contains(members, id) {
			delete(n.progress, id)
		}
	}
	for _, id := range members {
		if n.progress[id] == nil {
			n.progress[id] = &progress{next: n.log.lastIndex() + 1, lastActive: n.now}
		}
	}
	if own := n.progress[n.config.ID]; own != nil {
		own.match = n.log.stable
	}
}

// PeerState is the leader's view of a peer.
type PeerState struct {
	Match       uint64
	InactiveFor time.Duration
}

// Peers returns the leader's view of the other members; nil on followers.
func (n *Node) Peers() map[uint64]PeerState {
	if n.role != Leader {
		return nil
	}
	peers := map[uint64]PeerState{}
	for _, id := range n.peers() {
		state := n.progress[id]
		peers[id] = PeerState{Match: state.match, InactiveFor: n.now - state.lastActive}
	}
	return peers
}
