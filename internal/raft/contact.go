package raft

import "time"

// unheardElectionTimeouts is for how many election timeouts a follower may lack its leader's
// confirmation before it takes itself to be unheard. A leader steps down after one without a
// quorum; a lost packet, or a pause of either, makes the next confirmation late by up to another
// half.
const unheardElectionTimeouts = 2

// contact tells a follower whether its leader hears it. A connection can carry one
// direction only: such a follower gets heartbeats and digests, and takes itself to be
// a part of the cluster, while nothing that it says or acknowledges arrives.
//
// Heartbeats name the newest reply that the leader has got; so the follower knows
// that it was heard when it sent that one.
type contact struct {
	term uint64
	// repliedAt is when each round was answered; those kept are the newest.
	repliedAt map[uint64]time.Duration
	// confirmed is the newest round whose reply the leader has got, heard when that
	// reply was sent.
	confirmed uint64
	heard     time.Duration
	// quorumHeard is whether the leader heard a quorum when it sent its newest heartbeat.
	quorumHeard bool
}

// reply notes that a heartbeat is answered. The first of a term begins the time in
// which a reply has to be confirmed.
func (c *contact) reply(now time.Duration, term, round uint64) {
	if term != c.term {
		*c = contact{term: term, repliedAt: map[uint64]time.Duration{}, heard: now}
	}
	c.repliedAt[round] = now
	delete(c.repliedAt, round-maxRoundsKept)
}

// confirm notes that the leader of a term has got the reply to a round. Of a late
// heartbeat it notes nothing.
func (c *contact) confirm(term, round uint64) {
	sent, known := c.repliedAt[round]
	if term != c.term || !known || round <= c.confirmed {
		return
	}
	c.confirmed, c.heard = round, sent
}

func (n *Node) heardUntil() time.Duration {
	return n.contact.heard + unheardElectionTimeouts*n.promise
}
