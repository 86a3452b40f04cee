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
// that: so it waits from then on. What it may have missed (before its start, or
// under a snapshot) counts as granted when it began to know. It is safe for
// concurrent use.
type Grants struct {
	self string
	// wait is for how long a machine is left alone after a grant to another.
	wait time.Duration

	mutex sync.Mutex
	// known is since when no grant can have been missed.
	known time.Duration
	noted map[string]notedGrant
}

type notedGrant struct {
	holder string
	at     time.Duration
}

// NewGrants returns the grants of a node that starts now, at 0.
func NewGrants(self string, wait time.Duration) *Grants {
	return &Grants{self: self, wait: wait, noted: map[string]notedGrant{}}
}

// Forget notes that grants may have been missed until now.
func (g *Grants) Forget(now time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.known = now
	g.noted = map[string]notedGrant{}
}

// Note notes a grant that the log holds.
func (g *Grants) Note(now time.Duration, holder string, machines []string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, machine := range machines {
		g.noted[machine] = notedGrant{holder: holder, at: now}
	}
	for machine, grant := range g.noted {
		if now-grant.at > 2*g.wait {
			delete(g.noted, machine)
		}
	}
}

// Free reports whether this node may have a grant for a machine.
func (g *Grants) Free(now time.Duration, machine string) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if now-g.known < g.wait {
		return false
	}
	grant, noted := g.noted[machine]
	return !noted || grant.holder == g.self || now-grant.at >= g.wait
}
