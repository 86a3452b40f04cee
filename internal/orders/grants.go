package orders

import (
	"sync"
	"time"
)

// Grants determines which machines a node may send orders to as leader, without overlapping with the
// orders of an earlier leader.
//
// A leader commits a grant to the log before it sends orders to a machine. The grant is valid for a
// short time after its proposal. A later leader can't apply the grant before it was proposed, so the
// grant has expired once the leader has waited for that time after applying it.
//
// The log holds only the last holder of each machine, not the time of the grant. Grants from before a
// node's start, or contained in a snapshot, therefore count as made when the node learned of them.
// Machines without a grant to another node need no wait. Grants is safe for concurrent use.
type Grants struct {
	self string
	// wait is the time after another node's grant during which no orders may be sent.
	wait time.Duration

	mutex sync.Mutex
	// completeSince is the time since which no grant was missed.
	completeSince time.Duration
	// lastGrant has the time at which the newest grant of each machine was applied.
	lastGrant map[string]time.Duration
}

// NewGrants returns the grants of a node, with times relative to its start. Self identifies the node as
// holder and must be unique to this data folder, also if node names are reused.
func NewGrants(self string, wait time.Duration) *Grants {
	return &Grants{self: self, wait: wait, lastGrant: map[string]time.Duration{}}
}

// Reset records that grants up to now may have been missed.
func (g *Grants) Reset(now time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.completeSince = now
	g.lastGrant = map[string]time.Duration{}
}

// Record records a committed grant.
func (g *Grants) Record(now time.Duration, machines []string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, machine := range machines {
		g.lastGrant[machine] = now
	}
	for machine, at := range g.lastGrant {
		if now-at > 2*g.wait {
			delete(g.lastGrant, machine)
		}
	}
}

// MayOrder reports whether this node may send orders to a machine, provided that it holds the leader's
// lease. Holder is the node with the last committed grant, or empty.
func (g *Grants) MayOrder(now time.Duration, machine, holder string) bool {
	if holder == "" || holder == g.self {
		return true
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	since := max(g.completeSince, g.lastGrant[machine])
	return now-since >= g.wait
}
