// Package membership decides who belongs to the replicated log where nobody
// lists the members.
//
// The problem: a control node is told a few addresses to begin with, not how
// many others there are. Members restart, come back with empty disks, are
// replaced at other addresses, or never return; each loss must be repaired
// before the next one comes, and no vote may be counted that its voter has
// forgotten.
//
// The mechanism: a member's identity lives and dies with its disk. A node
// with an empty disk takes a new identity and asks to join; the old one at the
// same address can never vote again and is removed. Joiners become learners. A
// voter that is dead or has been silent too long gives its place to a learner
// that has caught up, from the zone where it helps most. Where the voters could
// not bear the loss of as many zones or regions as asked for, a learner takes
// the place of one of them. Every step changes one voter, so quorums of the
// sets before and after meet. The functions are pure: the leader proposes one
// step at a time and asks again.
package membership

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/raft"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// maxPromotionLag is by how many entries a learner may be behind to become a
// voter.
const maxPromotionLag = 64

// Policy tunes the repair.
type Policy struct {
	// Voters is how many voters are aimed at; what zones and regions must bear may ask for
	// more.
	Voters int
	// Zones and Regions are how many of each may be lost at once.
	Zones, Regions int
	// Places tells the regions of zones.
	Places places.Map
	// ReplaceAfter is how long a voter may be silent before a learner takes
	// its place.
	ReplaceAfter time.Duration
	// RemoveLearnerAfter is how long a learner may be silent before it is removed.
	RemoveLearnerAfter time.Duration
}

// Input is everything that a step depends on.
type Input struct {
	// Status is the leader's.
	Status  raft.Status
	Current *wirepb.Membership
	Peers   map[uint64]raft.PeerState
	// Joins are the nodes that asked to join lately.
	Joins  []*wirepb.MemberAddress
	Policy Policy
}

// SeedID is the identity of a first voter: all nodes derive it alike from
// its address, without asking each other.
func SeedID(address string) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(address))
	id := digest.Sum64()
	if id == raft.None {
		id++
	}
	return id
}

// InitialMembership returns the membership of a system that starts for the first time.
func InitialMembership(addresses []string) *wirepb.Membership {
	first := &wirepb.Membership{}
	for _, address := range addresses {
		id := SeedID(address)
		first.Voters = append(first.Voters, id)
		first.Addresses = append(first.Addresses, &wirepb.MemberAddress{Id: id, Address: address})
	}
	return first
}

// Next returns the next step, or nil if there is nothing to do.
func Next(input Input) *wirepb.Membership {
	steps := []func(Input) *wirepb.Membership{
		removeDead, admit, shrink, replaceSilent, grow, balance, forgetLearner,
	}
	for _, step := range steps {
		if next := step(input); next != nil {
			return next
		}
	}
	return nil
}

// removeDead removes a member whose disk is lost: another identity has asked
// to join from its address.
func removeDead(input Input) *wirepb.Membership {
	for _, join := range input.Joins {
		for _, held := range input.Current.GetAddresses() {
			if held.GetAddress() != join.GetAddress() || held.GetId() == join.GetId() || held.GetId() == input.Status.ID {
				continue
			}
			if mustKeep(input, held.GetId()) {
				continue
			}
			return without(input.Current, held.GetId())
		}
	}
	return nil
}

// mustKeep reports whether a voter may go only once another has been added:
// a set of two would be left with one copy.
func mustKeep(input Input, id uint64) bool {
	voters := input.Current.GetVoters()
	return slices.Contains(voters, id) && len(voters) <= 2
}

// admit makes learners of the nodes that asked to join, and takes over
// addresses that changed.
func admit(input Input) *wirepb.Membership {
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

// shrink removes a voter above the number aimed at: the most silent one, or the one without which
// the others bear most; of those the newest.
func shrink(input Input) *wirepb.Membership {
	voters := input.Current.GetVoters()
	if len(voters) <= input.voters() {
		return nil
	}
	if silent := silentVoter(input); silent != raft.None {
		return without(input.Current, silent)
	}
	chosen, best := raft.None, spread{}
	for _, voter := range slices.Backward(voters) {
		rest := input.spreadOf(removed(voters, voter))
		if voter != input.Status.ID && (chosen == raft.None || rest.less(best)) {
			chosen, best = voter, rest
		}
	}
	if chosen == raft.None {
		return nil
	}
	return without(input.Current, chosen)
}

// replaceSilent takes out a voter that has been silent too long, if a learner
// can take its place. In between, as many must stay up as before; adding the
// learner first would ask for more.
func replaceSilent(input Input) *wirepb.Membership {
	silent := silentVoter(input)
	if silent == raft.None || readyLearner(input) == raft.None {
		return nil
	}
	if mustKeep(input, silent) {
		return promote(input, readyLearner(input))
	}
	return without(input.Current, silent)
}

// grow makes a voter of a learner while there are too few.
func grow(input Input) *wirepb.Membership {
	if len(input.Current.GetVoters()) >= input.voters() {
		return nil
	}
	ready := readyLearner(input)
	if ready == raft.None {
		return nil
	}
	return promote(input, ready)
}

func promote(input Input, id uint64) *wirepb.Membership {
	next := clone(input.Current)
	next.Voters = append(next.Voters, id)
	next.Learners = removed(next.Learners, id)
	return next
}

// forgetLearner removes a learner that has been silent for long.
func forgetLearner(input Input) *wirepb.Membership {
	for _, id := range input.Current.GetLearners() {
		if input.Peers[id].InactiveFor > input.Policy.RemoveLearnerAfter {
			return without(input.Current, id)
		}
	}
	return nil
}

func silentVoter(input Input) uint64 {
	longest, silent := input.Policy.ReplaceAfter, raft.None
	for _, id := range input.Current.GetVoters() {
		if id != input.Status.ID && input.Peers[id].InactiveFor > longest {
			longest, silent = input.Peers[id].InactiveFor, id
		}
	}
	return silent
}

// readyLearner returns the learner that has caught up with which the live voters bear most.
func readyLearner(input Input) uint64 {
	live := liveVoters(input)
	chosen, best := raft.None, spread{}
	for _, learner := range readyLearners(input) {
		with := input.spreadOf(append(slices.Clone(live), learner))
		if chosen == raft.None || with.less(best) {
			chosen, best = learner, with
		}
	}
	return chosen
}

// readyLearners returns the learners that have caught up.
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

// liveVoters returns the voters that are not silent for too long.
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

func without(current *wirepb.Membership, id uint64) *wirepb.Membership {
	next := clone(current)
	next.Voters = removed(next.Voters, id)
	next.Learners = removed(next.Learners, id)
	next.Addresses = slices.DeleteFunc(next.Addresses, func(held *wirepb.MemberAddress) bool { return held.GetId() == id })
	return next
}

// removed returns the ids without one.
func removed(ids []uint64, id uint64) []uint64 {
	return slices.DeleteFunc(slices.Clone(ids), func(other uint64) bool { return other == id })
}
