package spec

import (
	"fmt"
	"math/bits"
)

// Bounds of the log model.
const (
	logNodes   = 3
	logQuorum  = 2
	logEntries = 2
	// stickyTicks is how long a node that received a heartbeat votes for no other candidate;
	// leaseTicks is shorter by the margin for clock drift.
	stickyTicks = 2
	leaseTicks  = 1
)

// LogNode is the state of a node in the log model. Vote is the index of the node that it voted for in Term,
// plus 1, or 0 if it has not voted.
type LogNode struct {
	Term, Vote uint8
	// Votes is the set of nodes that voted for this candidate, as bits.
	Votes  uint8
	Leader bool
	// WasLeader is set if the node was the leader of its current term, also after a restart.
	// ReleasedTerm is the highest term up to which no leader is known to hold a lease.
	WasLeader    bool
	ReleasedTerm uint8
	// StickyTicks and LeaseTicks are the remaining ticks of leader stickiness and of the lease.
	StickyTicks, LeaseTicks uint8
	// Entries holds the terms of the node's entries, followed by zeros.
	Entries [logEntries]uint8
	// Answered is the set of nodes that answered the leader's current heartbeat, as bits; Age is
	// the number of ticks since it was sent.
	Answered, Age uint8
}

// LogState is a state of the log model. The zero value is the initial state, in which the log is empty and
// all nodes are followers in term 0.
type LogState struct {
	Nodes [logNodes]LogNode
	// Committed holds the terms of all entries that were ever committed.
	Committed [logEntries]uint8
	// CommitChanged is set if a committed entry was replaced by another.
	CommitChanged bool
}

// LogRules bounds the log model and selects the rules to break. Time and entries are explored
// separately to limit the number of states; the safety of the log must not depend on time.
type LogRules struct {
	// Terms and Entries bound the exploration; Entries is at most 2.
	Terms   uint8
	Entries int
	// WithoutTime omits leader stickiness, heartbeats and leases.
	WithoutTime bool
	// LoseVotes makes a restart lose the vote.
	LoseVotes bool
	// LongLease makes the lease longer than the stickiness.
	LongLease bool
	// IgnoreStickiness grants votes in spite of the stickiness.
	IgnoreStickiness bool
	// CommitOldTerms commits entries of earlier terms by counting replicas.
	CommitOldTerms bool
	// ReleaseByIdleQuorum accepts a quorum of idle nodes, where all others have to be idle.
	ReleaseByIdleQuorum bool
	// ReleaseOnAnyRestart makes any restarted node release the lease of its term, not only its leader.
	ReleaseOnAnyRestart bool
}

// Log returns the model of elections, leases, replication and commits.
func Log(rules LogRules) Model[LogState] {
	return Model[LogState]{
		Next: func(state LogState, visit func(string, LogState)) {
			for node := range logNodes {
				rules.campaign(state, node, visit)
				rules.restart(state, node, visit)
				rules.lead(state, node, visit)
				for other := range logNodes {
					if other != node {
						rules.vote(state, node, other, visit)
						replicate(state, node, other, visit)
						if !rules.WithoutTime {
							rules.heartbeat(state, node, other, visit)
							propagateRelease(state, node, other, visit)
						}
					}
				}
			}
			if !rules.WithoutTime {
				tick(state, visit)
			}
		},
		Violation: logViolation,
	}
}

func (r LogRules) campaign(state LogState, node int, visit func(string, LogState)) {
	own := &state.Nodes[node]
	if own.Leader || own.Term == r.Terms || own.StickyTicks > 0 && !own.isReleased() && !r.allIdle(state, node, own.Term) {
		return
	}
	own.Term++
	own.WasLeader = false
	own.Vote = uint8(node + 1)
	own.Votes = 1 << node
	visit(fmt.Sprintf("%d campaigns in term %d", node, own.Term), state)
}

// restart keeps only the durable state. The node no longer knows when it last received a
// heartbeat, so it starts with full stickiness.
func (r LogRules) restart(state LogState, node int, visit func(string, LogState)) {
	own := &state.Nodes[node]
	*own = LogNode{Term: own.Term, Vote: own.Vote, WasLeader: own.WasLeader, Entries: own.Entries}
	if !r.WithoutTime {
		own.StickyTicks = stickyTicks
		if own.WasLeader || r.ReleaseOnAnyRestart {
			own.ReleasedTerm = own.Term
		}
	}
	if r.LoseVotes {
		own.Vote = 0
	}
	visit(fmt.Sprintf("%d restarts", node), state)
}

func (r LogRules) vote(state LogState, voter, candidate int, visit func(string, LogState)) {
	own, requester := &state.Nodes[voter], &state.Nodes[candidate]
	campaigning := requester.Votes != 0 && !requester.Leader
	if !campaigning || requester.Term < own.Term || !upToDate(requester.Entries, own.Entries) {
		return
	}
	newTerm := requester.Term > own.Term
	released := own.isReleased() || r.allIdle(state, candidate, own.Term)
	bound := own.StickyTicks > 0 && !released || own.LeaseTicks > 0
	if newTerm && bound && !r.IgnoreStickiness {
		return
	}
	if !newTerm && own.Vote != 0 && own.Vote != uint8(candidate+1) || !newTerm && own.Leader {
		return
	}
	own.becomeFollower(requester.Term)
	own.Vote = uint8(candidate + 1)
	requester.Votes |= 1 << voter
	visit(fmt.Sprintf("%d votes for %d in term %d", voter, candidate, requester.Term), state)
}

// becomeFollower makes the node a follower in a term.
func (n *LogNode) becomeFollower(term uint8) {
	if term > n.Term {
		n.Term, n.Vote, n.WasLeader = term, 0, false
	}
	n.Votes, n.Leader, n.LeaseTicks, n.Answered, n.Age = 0, false, 0, 0, 0
}

// isReleased reports whether no leader up to the node's term holds a lease.
func (n *LogNode) isReleased() bool {
	return n.ReleasedTerm > 0 && n.Term <= n.ReleasedTerm
}

// isIdle reports whether a node does not lead any term up to the given one, and never will.
func (n *LogNode) isIdle(term uint8) bool {
	return n.Term > term || n.Term == term && !n.Leader && n.Votes == 0
}

// allIdle reports whether a candidate can know that all other nodes are idle up to a term. Idleness
// is stable, so it does not matter when they reported it. The candidate itself is in a later term.
func (r LogRules) allIdle(state LogState, candidate int, term uint8) bool {
	idle := 1
	for node := range state.Nodes {
		if node != candidate && state.Nodes[node].isIdle(term) {
			idle++
		}
	}
	return idle == logNodes || r.ReleaseByIdleQuorum && idle >= logQuorum
}

// propagateRelease informs another node up to which term no lease is held.
func propagateRelease(state LogState, node, other int, visit func(string, LogState)) {
	sender, receiver := state.Nodes[node], &state.Nodes[other]
	if sender.ReleasedTerm <= receiver.ReleasedTerm {
		return
	}
	receiver.ReleasedTerm = sender.ReleasedTerm
	visit(fmt.Sprintf("%d learns from %d that term %d is released", other, node, receiver.ReleasedTerm), state)
}

func upToDate(candidate, voter [logEntries]uint8) bool {
	candidateLength, voterLength := length(candidate), length(voter)
	candidateTerm, voterTerm := lastTerm(candidate), lastTerm(voter)
	return candidateTerm > voterTerm || candidateTerm == voterTerm && candidateLength >= voterLength
}

func length(entries [logEntries]uint8) int {
	count := 0
	for count < logEntries && entries[count] != 0 {
		count++
	}
	return count
}

func lastTerm(entries [logEntries]uint8) uint8 {
	if count := length(entries); count > 0 {
		return entries[count-1]
	}
	return 0
}

// lead makes a candidate with a quorum of votes the leader, and lets a leader send heartbeats,
// append and commit.
func (r LogRules) lead(state LogState, node int, visit func(string, LogState)) {
	own := state.Nodes[node]
	if !own.Leader {
		if bits.OnesCount8(own.Votes) >= logQuorum {
			next := state
			next.Nodes[node].Leader = true
			next.Nodes[node].WasLeader = !r.WithoutTime
			visit(fmt.Sprintf("%d leads term %d", node, own.Term), next)
		}
		return
	}
	if !r.WithoutTime {
		next := state
		next.Nodes[node].Answered, next.Nodes[node].Age = 1<<node, 0
		visit(fmt.Sprintf("%d sends a heartbeat", node), next)
	}
	if count := length(own.Entries); count < r.Entries {
		next := state
		next.Nodes[node].Entries[count] = own.Term
		visit(fmt.Sprintf("%d appends", node), next)
	}
	r.commit(state, node, visit)
}

// heartbeat delivers a heartbeat and its response. The lease starts when the heartbeat was sent.
func (r LogRules) heartbeat(state LogState, leader, other int, visit func(string, LogState)) {
	own, follower := &state.Nodes[leader], &state.Nodes[other]
	if !own.Leader || own.Answered == 0 || follower.Term > own.Term {
		return
	}
	follower.becomeFollower(own.Term)
	follower.StickyTicks = stickyTicks
	own.Answered |= 1 << other
	duration := uint8(leaseTicks)
	if r.LongLease {
		duration = 2 * stickyTicks
	}
	if bits.OnesCount8(own.Answered) >= logQuorum && own.Age < duration {
		own.LeaseTicks = max(own.LeaseTicks, duration-own.Age)
	}
	visit(fmt.Sprintf("%d answers the heartbeat of %d", other, leader), state)
}

// replicate replaces a node's log by the leader's.
func replicate(state LogState, leader, other int, visit func(string, LogState)) {
	own, follower := &state.Nodes[leader], &state.Nodes[other]
	if !own.Leader || follower.Term > own.Term || follower.Entries == own.Entries {
		return
	}
	follower.becomeFollower(own.Term)
	follower.Entries = own.Entries
	visit(fmt.Sprintf("%d replicates the log of %d", other, leader), state)
}

// commit commits the entries that a quorum stores, if the last one is of the current term.
func (r LogRules) commit(state LogState, leader int, visit func(string, LogState)) {
	own := state.Nodes[leader]
	for count := 1; count <= length(own.Entries); count++ {
		holders := 0
		for _, node := range state.Nodes {
			if samePrefix(node.Entries, own.Entries, count) {
				holders++
			}
		}
		if holders < logQuorum || own.Entries[count-1] != own.Term && !r.CommitOldTerms {
			continue
		}
		next := state
		for position := range count {
			held := next.Committed[position]
			next.CommitChanged = next.CommitChanged || held != 0 && held != own.Entries[position]
			next.Committed[position] = own.Entries[position]
		}
		if next != state {
			visit(fmt.Sprintf("%d commits %d entries", leader, count), next)
		}
	}
}

func samePrefix(left, right [logEntries]uint8, count int) bool {
	for position := range count {
		if left[position] != right[position] {
			return false
		}
	}
	return true
}

// tick advances the clocks of all nodes by one tick.
func tick(state LogState, visit func(string, LogState)) {
	for position := range state.Nodes {
		node := &state.Nodes[position]
		node.StickyTicks -= min(node.StickyTicks, 1)
		node.LeaseTicks -= min(node.LeaseTicks, 1)
		if node.Answered != 0 {
			node.Age = min(node.Age+1, stickyTicks)
		}
	}
	visit("one tick passes", state)
}

func logViolation(state LogState) string {
	leaders := map[uint8]bool{}
	leases := 0
	for _, node := range state.Nodes {
		if !node.Leader {
			continue
		}
		if leaders[node.Term] {
			return "two leaders in one term"
		}
		leaders[node.Term] = true
		if node.LeaseTicks > 0 {
			leases++
		}
	}
	switch {
	case leases > 1:
		return "two leases at once"
	case state.CommitChanged:
		return "a committed entry was replaced"
	}
	return ""
}
