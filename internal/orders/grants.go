package orders

import (
	"sync"
	"time"
)

// Grants tells a node which machines other nodes may have given orders to
// lately, so that no machine gets orders of two in turns. A new leader need not
// wait for every machine, only for those that the one before had just used.
//
// Before a leader orders a machine, a grant is committed to the log, and it may
// order for a short time counted from before the proposal. A later leader holds
// every committed grant, and noted it when it applied it, which was later than
// that: so it waits from then on. Who was granted orders last is part of the
// replicated state, but not when: what was granted before a node's start, or under
// a snapshot, counts as granted when it began to know. A machine that nobody else
// was granted since need not wait, not even for a node that has started anew. It is
// safe for concurrent use.
type Grants struct {
	self string
	// wait is for how long a machine is left alone after a grant to another.
	wait time.Duration

	mutex sync.Mutex
	// known is since when no grant can have been missed.
	known time.Duration
	// noted is when each machine was granted last, as far as was seen.
	noted map[string]time.Duration
}

// NewGrants returns the grants of a node that starts now, at 0. Self names the node
// as holder, as nobody else ever is: a node that lost its disk, or has taken another
// one's name, is another holder.
func NewGrants(self string, wait time.Duration) *Grants {
	return &Grants{self: self, wait: wait, noted: map[string]time.Duration{}}
}

// Reset notes that grants may have been missed until now.
func (g *Grants) Reset(now time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.known = now
	g.noted = map[string]time.Duration{}
}

// Record notes a grant that the log holds.
func (g *Grants) Record(now time.Duration, machines []string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, machine := range machines {
		g.noted[machine] = now
	}
	for machine, at := range g.noted {
		if now-at > 2*g.wait {
			delete(g.noted, machine)
		}
	}
}

// MayOrder reports whether a machine may be given orders by this node, as leader that
// holds its lease. Holder is whom the state names as the one who was granted orders
// to it last, empty if nobody was.
func (g *Grants) MayOrder(now time.Duration, machine, holder string) bool {
	if holder == "" || holder == g.self {
		return true
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	since := max(g.known, g.noted[machine])
	return now-since >= g.wait
}
