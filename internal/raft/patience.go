package raft

import (
	"slices"
	"time"
)

// The election timeout of the settings is made for short links. Where a round trip takes a good
// part of it, a late or repeated packet costs the leader its lease, and the followers their
// leader. So a leader measures the round trips of its heartbeats and asks its followers for more
// patience.
//
// It is safe whatever each node uses: a follower promises at least the election timeout of its
// own settings, says in each reply what it has promised, and has stored the longest promise before
// it says so; the leader counts its lease by what a quorum has promised, not by what it asked for.

const (
	// maxStretch is how many times the election timeout of the settings a leader may ask for: one
	// that is lost is missed for as long. A round trip of up to that timeout is granted whole.
	maxStretch = 2
	// nearDivisor is by what the heartbeat interval is divided for the longest round trip that
	// counts as short.
	nearDivisor = 4
	// patienceSteps is how many steps the election timeout of the settings has: the patience
	// changes by whole steps only, since a longer promise has to be stored.
	patienceSteps = 8
	// sampleDivisor is the inverse of the weight of a new sample in the estimate of a round trip,
	// as TCP has it (RFC 6298). Deviations are left out: they are those of lost packets, whose time
	// does not grow with the link, and a lossy short link would make lost leaders be missed for
	// longer.
	sampleDivisor = 8
)

// smoothed returns the estimate of a round trip with one more sample; 0 stands for none yet.
func smoothed(estimate, sample time.Duration) time.Duration {
	if estimate == 0 {
		return sample
	}
	return estimate + (sample-estimate)/sampleDivisor
}

// patienceFor returns for how long followers should wait for a leader, where a round trip to a
// quorum takes so long: longer by one round trip, by which the replies come later that the lease
// counts on. It changes from what is asked for now by whole steps, and goes back only by two or
// more.
func (c *Config) patienceFor(roundTrip, asked time.Duration) time.Duration {
	wanted := c.ElectionTimeout
	if roundTrip > c.HeartbeatInterval/nearDivisor {
		wanted += roundTrip
	}
	step := max(c.ElectionTimeout/patienceSteps, time.Millisecond)
	steps := (wanted - c.ElectionTimeout + step - 1) / step
	wanted = min(c.ElectionTimeout+steps*step, maxStretch*c.ElectionTimeout)
	if wanted < asked && asked-wanted < 2*step {
		return asked
	}
	return wanted
}

// patience is for how long this node's part in its term holds without news: as leader what it
// asked for, else what it promised.
func (n *Node) patience() time.Duration {
	if n.role == Leader {
		return n.asked
	}
	return n.promise
}

// measure notes what a heartbeat's round trip took, and asks for as much patience as a quorum's
// round trips need.
func (n *Node) measure(state *progress, round uint64) {
	sent, known := n.lease.sentAt[round]
	if !known {
		return
	}
	state.roundTrip = smoothed(state.roundTrip, n.now-sent)
	trips := make([]time.Duration, 0, len(n.membership.GetVoters()))
	for _, peer := range n.membership.GetVoters() {
		measured := n.progress[peer]
		if peer == n.config.ID || measured == nil || measured.roundTrip == 0 {
			continue
		}
		trips = append(trips, measured.roundTrip)
	}
	others := n.quorum() - 1
	if others == 0 || len(trips) < others {
		return
	}
	slices.Sort(trips)
	n.asked = n.config.patienceFor(trips[others-1], n.asked)
}

// hearAsked takes what a leader asks for, as far as it is allowed.
func (n *Node) hearAsked(asked time.Duration) {
	n.promise = min(max(asked, n.config.ElectionTimeout), maxStretch*n.config.ElectionTimeout)
	n.longestPromise = max(n.longestPromise, n.promise)
}

// keepPromise begins the time of a promise anew.
func (n *Node) keepPromise() {
	n.promisedUntil = max(n.promisedUntil, n.now+n.promise)
}

// storedPromise is the longest promise as it is stored. One that is no longer than the settings say
// is stored too: the settings may be shorter at the next start.
func (n *Node) storedPromise() uint32 {
	return uint32(n.longestPromise.Milliseconds())
}

func milliseconds(count uint32) time.Duration {
	return time.Duration(count) * time.Millisecond
}
