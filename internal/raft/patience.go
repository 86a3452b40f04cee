package raft

import (
	"slices"
	"time"
)

// Where a round trip takes a large part of the configured election timeout, a delayed packet costs
// the leader its lease. The leader therefore measures heartbeat round trips and requests a longer
// election timeout from its followers.
//
// This is safe whatever timeout each node uses: a follower promises at least its configured
// election timeout, stores a longer promise before it reports it, and the leader derives its lease
// from the promises reported by a quorum.

const (
	// maxTimeoutFactor bounds the requested election timeout as a multiple of the configured one,
	// and with it the time to detect a lost leader.
	maxTimeoutFactor = 2
	// shortLinkDivisor is the heartbeat interval divided by the longest round trip that needs no
	// longer timeout.
	shortLinkDivisor = 4
	// timeoutSteps is the number of steps per configured election timeout in which the requested
	// timeout changes: each longer promise has to be stored.
	timeoutSteps = 8
	// roundTripSmoothing is the inverse weight of a new round trip sample, as in RFC 6298. The
	// deviation is not used: on a lossy short link it would only delay the detection of a lost
	// leader.
	roundTripSmoothing = 8
)

// smoothRoundTrip adds a sample to the estimate, which is 0 if there is none yet.
func smoothRoundTrip(estimate, sample time.Duration) time.Duration {
	if estimate == 0 {
		return sample
	}
	return estimate + (sample-estimate)/roundTripSmoothing
}

// electionTimeoutFor returns the election timeout to request for a round trip time to a quorum: the
// configured timeout plus one round trip, rounded up to whole steps. It is lowered only by two
// steps or more.
func (c *Config) electionTimeoutFor(roundTrip, current time.Duration) time.Duration {
	timeout := c.ElectionTimeout
	if roundTrip > c.HeartbeatInterval/shortLinkDivisor {
		timeout += roundTrip
	}
	step := max(c.ElectionTimeout/timeoutSteps, time.Millisecond)
	steps := (timeout - c.ElectionTimeout + step - 1) / step
	timeout = min(c.ElectionTimeout+steps*step, maxTimeoutFactor*c.ElectionTimeout)
	if timeout < current && current-timeout < 2*step {
		return current
	}
	return timeout
}

// activeElectionTimeout is the election timeout in force: as leader the requested one, otherwise
// the promised one.
func (n *Node) activeElectionTimeout() time.Duration {
	if n.role == Leader {
		return n.requestedTimeout
	}
	return n.promise
}

// recordRoundTrip records the round trip of a heartbeat and updates the requested election timeout
// by the round trips to the nearest quorum.
func (n *Node) recordRoundTrip(state *progress, round uint64) {
	sentAt, known := n.lease.sentAt[round]
	if !known {
		return
	}
	state.roundTrip = smoothRoundTrip(state.roundTrip, n.now-sentAt)
	roundTrips := make([]time.Duration, 0, len(n.membership.GetVoters()))
	for _, peer := range n.membership.GetVoters() {
		peerState := n.progress[peer]
		if peer == n.config.ID || peerState == nil || peerState.roundTrip == 0 {
			continue
		}
		roundTrips = append(roundTrips, peerState.roundTrip)
	}
	needed := n.quorum() - 1
	if needed == 0 || len(roundTrips) < needed {
		return
	}
	slices.Sort(roundTrips)
	n.requestedTimeout = n.config.electionTimeoutFor(roundTrips[needed-1], n.requestedTimeout)
}

// acceptTimeout adopts the election timeout that the leader requests, within the allowed bounds.
func (n *Node) acceptTimeout(requested time.Duration) {
	n.promise = min(max(requested, n.config.ElectionTimeout), maxTimeoutFactor*n.config.ElectionTimeout)
	n.longestPromise = max(n.longestPromise, n.promise)
}

func (n *Node) renewPromise() {
	n.promisedUntil = max(n.promisedUntil, n.now+n.promise)
}

// storedPromise returns the longest promise in milliseconds. It is stored even if it is not longer
// than the configured timeout, which may be shorter at the next start.
func (n *Node) storedPromise() uint32 {
	return uint32(n.longestPromise.Milliseconds())
}

func milliseconds(count uint32) time.Duration {
	return time.Duration(count) * time.Millisecond
}
