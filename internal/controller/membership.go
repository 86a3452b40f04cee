package controller

import (
	"slices"
	"time"

	"github.com/weldline/weldline/internal/raft"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// maxPromotionLag is by how many entries a learner may be behind to take a
// voter's place.
const maxPromotionLag = 128

// NextMembership returns the next step of repair, or nil. A voter that has
// been silent for replaceAfter gives its place to a learner that has caught
// up: the learner becomes a voter first, then the silent one a learner. Each
// step changes one voter, so quorums of the sets before and after meet. Should
// the silent one return, it is the new standby; should it return between the
// two steps, the newest voter goes back to being one.
//
// Without a learner nothing is changed: a smaller set of voters would survive
// fewer losses than the operator asked for.
func NextMembership(status raft.Status, peers map[uint64]raft.PeerState, target int, replaceAfter time.Duration) *wirepb.Membership {
	silent := silentVoter(status, peers, replaceAfter)
	if len(status.Voters) > target {
		return demote(status, silent)
	}
	if silent == raft.None && len(status.Voters) == target {
		return nil
	}
	ready := readyLearner(status, peers, replaceAfter)
	if ready == raft.None {
		return nil
	}
	return &wirepb.Membership{
		Voters:   append(slices.Clone(status.Voters), ready),
		Learners: without(status.Learners, ready),
	}
}

// demote makes a learner of the silent voter, or of the newest one.
func demote(status raft.Status, silent uint64) *wirepb.Membership {
	demoted := silent
	for position := len(status.Voters) - 1; demoted == raft.None && position >= 0; position-- {
		if status.Voters[position] != status.ID {
			demoted = status.Voters[position]
		}
	}
	return &wirepb.Membership{
		Voters:   without(status.Voters, demoted),
		Learners: append(slices.Clone(status.Learners), demoted),
	}
}

func without(ids []uint64, removed uint64) []uint64 {
	return slices.DeleteFunc(slices.Clone(ids), func(id uint64) bool { return id == removed })
}

func silentVoter(status raft.Status, peers map[uint64]raft.PeerState, replaceAfter time.Duration) uint64 {
	longest, silent := replaceAfter, raft.None
	for _, id := range status.Voters {
		if id != status.ID && peers[id].InactiveFor > longest {
			longest, silent = peers[id].InactiveFor, id
		}
	}
	return silent
}

func readyLearner(status raft.Status, peers map[uint64]raft.PeerState, replaceAfter time.Duration) uint64 {
	for _, id := range status.Learners {
		peer := peers[id]
		if peer.InactiveFor < replaceAfter/2 && peer.Match+maxPromotionLag >= status.Last {
			return id
		}
	}
	return raft.None
}
