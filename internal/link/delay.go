package link

import "time"

const (
	// sampleLifetime is how long the duration of a connect counts as recent.
	sampleLifetime = 250 * time.Millisecond
	// peerLifetime is how long the fastest connection to a peer is remembered after the last one.
	peerLifetime = 10 * time.Minute
	// minPeers is the number of peers whose connections must have been slow: a single one may be slow itself.
	minPeers = 3
)

// connectTimes holds the times that connections to each peer took to open. Attempts that failed are left out: they would
// make lost paths look like a full link.
type connectTimes map[string]connectTime

type connectTime struct {
	at time.Time
	// taken is the duration of the newest connect, fastest the shortest so far, which reflects the distance of the peer.
	taken, fastest time.Duration
}

// record returns by how much the connection took longer than the fastest one to the same peer.
func (c connectTimes) record(now time.Time, peer string, taken time.Duration) (excess time.Duration) {
	known, isKnown := c[peer]
	if !isKnown || taken < known.fastest {
		known.fastest = taken
	}
	known.at, known.taken = now, taken
	c[peer] = known
	return taken - known.fastest
}

// delay returns the least time by which recent connections took longer than usual: what all peers have in common is this
// node's own link. It is 0 if there are too few.
func (c connectTimes) delay(now time.Time) time.Duration {
	least, peers := time.Duration(0), 0
	for peer, sample := range c {
		age := now.Sub(sample.at)
		if age > peerLifetime {
			delete(c, peer)
		}
		if age > sampleLifetime {
			continue
		}
		if excess := sample.taken - sample.fastest; peers == 0 || excess < least {
			least = excess
		}
		peers++
	}
	if peers < minPeers {
		return 0
	}
	return least
}
