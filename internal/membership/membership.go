// Package membership computes the membership of a replicated log that forms from seed addresses,
// without a configured list of members. A node's identity belongs to its disk: with an empty disk
// it takes a new identity and asks to join, and the previous identity at its address is removed.
// Joining nodes become learners; a learner that has caught up replaces a voter that is gone or
// unresponsive, or one whose replacement brings the voters closer to the required tolerance.
//
// Invariant: each step changes at most one voter, so that quorums before and after it overlap, and
// no vote of a lost identity is counted. The functions are pure; the leader proposes one step at a
// time.
package membership

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/raft"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// maxPromotionLag is the maximum number of log entries that a learner may lag behind when it is
// promoted.
const maxPromotionLag = 64

// Policy configures the membership.
type Policy struct {
	// Voters is the minimum number of voters; tolerating zone or region losses may require more.
	Voters int
	// Zones and Regions are how many of each may be lost at the same time.
	Zones, Regions int
	// Places maps zones to regions.
	Places places.ZoneMap
	// ReplaceAfter is how long a voter may be unresponsive before a learner replaces it.
	ReplaceAfter time.Duration
	// RemoveLearnerAfter is how long a learner may be unresponsive before it is removed.
	RemoveLearnerAfter time.Duration
}

// Input is the input of a step.
type Input struct {
	Status  raft.Status
	Current *wirepb.Membership
	Peers   map[uint64]raft.PeerState
	// Joins are the nodes that recently asked to join.
	Joins  []*wirepb.MemberAddress
	Policy Policy
}

// SeedID returns the identity of an initial voter, which all nodes derive from its address.
func SeedID(address string) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(address))
	id := digest.Sum64()
	if id == raft.None {
		id++
	}
	return id
}

// InitialMembership returns the membership of a new cluster.
func InitialMembership(addresses []string) *wirepb.Membership {
	first := &wirepb.Membership{}
	for _, address := range addresses {
		id := SeedID(address)
		first.Voters = append(first.Voters, id)
		first.Addresses = append(first.Addresses, &wirepb.MemberAddress{Id: id, Address: address})
	}
	return first
}

// Next returns the membership after the next step, or nil if there is nothing to change.
func Next(input Input) *wirepb.Membership {
	steps := []func(Input) *wirepb.Membership{
		removeReplaced, addLearners, removeExcessVoter, replaceUnresponsiveVoter, addVoter, rebalance, removeLearner,
	}
	for _, step := range steps {
		if next := step(input); next != nil {
			return next
		}
	}
	return nil
}

// removeReplaced removes a member whose disk is lost: another identity has asked to join from its
// address.
func removeReplaced(input Input) *wirepb.Membership {
	for _, join := range input.Joins {
		for _, held := range input.Current.GetAddresses() {
			if held.GetAddress() != join.GetAddress() || held.GetId() == join.GetId() || held.GetId() == input.Status.ID {
				continue
			}
			if mustKeep(input, held.GetId()) {
				continue
			}
			return withoutMember(input.Current, held.GetId())
		}
	}
	return nil
}

// mustKeep reports whether a voter may be removed only after another has been added, because only
// one copy of the log would be left.
func mustKeep(input Input, id uint64) bool {
	voters := input.Current.GetVoters()
	return slices.Contains(voters, id) && len(voters) <= 2
}

// addLearners adds the joining nodes as learners and updates changed addresses.
func addLearners(input Input) *wirepb.Membership {
	next := clone(input.Current)
	changed := false
	for _, join := range input.Joins {
		position := slices.IndexFunc(next.GetAddresses(), func(held *wirepb.MemberAddress) bool {
			return held.GetId() == join.GetId()
		})
		if position < 0 {
			next.Addresses = append(next.Addresses, join)
			changed = true
		} else if !sameAddress(next.Addresses[position], join) {
			next.Addresses[position] = join
			changed = true
		}
		if !slices.Contains(next.GetVoters(), join.GetId()) && !slices.Contains(next.GetLearners(), join.GetId()) {
			next.Learners = append(next.Learners, join.GetId())
			changed = true
		}
	}
	if !changed {
		return nil
	}
	return next
}

func sameAddress(left, right *wirepb.MemberAddress) bool {
	return left.GetAddress() == right.GetAddress() && left.GetNode() == right.GetNode() && left.GetZone() == right.GetZone()
}

// removeExcessVoter removes a voter above the target number: the one unresponsive the longest,
// otherwise the one whose removal leaves the best placement, preferring the latest.
func removeExcessVoter(input Input) *wirepb.Membership {
	voters := input.Current.GetVoters()
	if len(voters) <= input.targetVoters() {
		return nil
	}
	if unresponsive := unresponsiveVoter(input); unresponsive != raft.None {
		return withoutMember(input.Current, unresponsive)
	}
	chosen, best := raft.None, placementScore{}
	for _, voter := range slices.Backward(voters) {
		rest := input.scoreOf(withoutID(voters, voter))
		if voter != input.Status.ID && (chosen == raft.None || rest.betterThan(best)) {
			chosen, best = voter, rest
		}
	}
	if chosen == raft.None {
		return nil
	}
	return withoutMember(input.Current, chosen)
}

// replaceUnresponsiveVoter promotes a learner if a voter is unresponsive; removeExcessVoter then removes that voter. Until the
// learner is a voter, the unresponsive one may be needed: it may return, and another voter may be lost meanwhile.
func replaceUnresponsiveVoter(input Input) *wirepb.Membership {
	ready := bestReadyLearner(input)
	if unresponsiveVoter(input) == raft.None || ready == raft.None {
		return nil
	}
	return promote(input, ready)
}

// addVoter promotes a learner while there are too few voters.
func addVoter(input Input) *wirepb.Membership {
	if len(input.Current.GetVoters()) >= input.targetVoters() {
		return nil
	}
	ready := bestReadyLearner(input)
	if ready == raft.None {
		return nil
	}
	return promote(input, ready)
}

func promote(input Input, id uint64) *wirepb.Membership {
	next := clone(input.Current)
	next.Voters = append(next.Voters, id)
	next.Learners = withoutID(next.Learners, id)
	return next
}

// removeLearner removes a learner that has been unresponsive for too long.
func removeLearner(input Input) *wirepb.Membership {
	for _, id := range input.Current.GetLearners() {
		if input.Peers[id].InactiveFor > input.Policy.RemoveLearnerAfter {
			return withoutMember(input.Current, id)
		}
	}
	return nil
}

func unresponsiveVoter(input Input) uint64 {
	silence, chosen := input.Policy.ReplaceAfter, raft.None
	for _, id := range input.Current.GetVoters() {
		if id != input.Status.ID && input.Peers[id].InactiveFor > silence {
			silence, chosen = input.Peers[id].InactiveFor, id
		}
	}
	return chosen
}

// bestReadyLearner returns the caught-up learner that gives the live voters the best placement.
func bestReadyLearner(input Input) uint64 {
	live := liveVoters(input)
	chosen, best := raft.None, placementScore{}
	for _, learner := range readyLearners(input) {
		with := input.scoreOf(append(slices.Clone(live), learner))
		if chosen == raft.None || with.betterThan(best) {
			chosen, best = learner, with
		}
	}
	return chosen
}

func readyLearners(input Input) []uint64 {
	var ready []uint64
	for _, id := range input.Current.GetLearners() {
		peer := input.Peers[id]
		if peer.InactiveFor < input.Policy.ReplaceAfter/2 && peer.Match+maxPromotionLag >= input.Status.Last && peer.Match > 0 {
			ready = append(ready, id)
		}
	}
	return ready
}

func liveVoters(input Input) []uint64 {
	var live []uint64
	for _, id := range input.Current.GetVoters() {
		if id == input.Status.ID || input.Peers[id].InactiveFor <= input.Policy.ReplaceAfter {
			live = append(live, id)
		}
	}
	return live
}

func zoneOf(current *wirepb.Membership, id uint64) string {
	for _, held := range current.GetAddresses() {
		if held.GetId() == id {
			return held.GetZone()
		}
	}
	return ""
}

func clone(current *wirepb.Membership) *wirepb.Membership {
	return &wirepb.Membership{
		Voters:    slices.Clone(current.GetVoters()),
		Learners:  slices.Clone(current.GetLearners()),
		Addresses: slices.Clone(current.GetAddresses()),
	}
}

func withoutMember(current *wirepb.Membership, id uint64) *wirepb.Membership {
	next := clone(current)
	next.Voters = withoutID(next.Voters, id)
	next.Learners = withoutID(next.Learners, id)
	next.Addresses = slices.DeleteFunc(next.Addresses, func(held *wirepb.MemberAddress) bool { return held.GetId() == id })
	return next
}

// withoutID returns a copy of ids without id.
func withoutID(ids []uint64, id uint64) []uint64 {
	return slices.DeleteFunc(slices.Clone(ids), func(other uint64) bool { return other == id })
}
