package controller

import (
	"slices"
	"time"

	"github.com/weldline/weldline/internal/raft"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// maxPromotionLag is the maximum number of log entries that a learner may lag behind when it is
// promoted.
const maxPromotionLag = 128

// NextMembership returns the next change of membership needed to replace a voter that has been silent
// for replaceAfter, or nil. First a learner that is up to date becomes a voter, then the silent voter
// becomes a learner. Each step changes one voter, so that quorums before and after it intersect. If the
// silent voter returns between the two steps, the newest voter becomes a learner instead.
//
// Without such a learner, the voters are left as they are: fewer voters would tolerate fewer failures.
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

// demote makes the silent voter a learner, or the newest voter if none is silent.
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
