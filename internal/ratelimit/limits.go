package ratelimit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// endMemory is how long the end of a limit is published: about as long as a router may be without
	// digests, or a report delayed.
	endMemory = 10 * time.Second
	// maxExchangeDelay is the assumed delay of an observation between nodes. Observations carry ages, so a
	// delayed one makes its statement look younger than it is.
	maxExchangeDelay = 250 * time.Millisecond
)

// Limits holds the stated limits that a node knows, by machine. It is not safe for concurrent use.
type Limits struct {
	held map[string]Statement
}

// Change describes a limit transition.
type Change struct {
	Machine string
	Before  Limit
	After   Limit
}

// Changed reports whether the limit differs from the one before.
func (c Change) Changed() bool {
	return c.Before != c.After
}

// LogFields returns the fields of a log line about the change. Source is what reported it: an answer, a
// report, a permit request or a digest.
func (c Change) LogFields(source string) []any {
	return []any{
		"machine", c.Machine, "limited", c.After.IsSet, "per_second", c.After.PerSecond,
		"was_limited", c.Before.IsSet, "per_second_before", c.Before.PerSecond, "by", source,
	}
}

// Observation is a machine's stated limit as exchanged between nodes. It carries ages instead of timestamps
// because node clocks differ.
type Observation struct {
	Machine string
	Limit   Limit
	// SentAge and ReceivedAge are the ages of the request and of the answer that stated the limit.
	SentAge, ReceivedAge time.Duration
}

// New returns empty Limits.
func New() *Limits {
	return &Limits{held: map[string]Statement{}}
}

// Observe records a machine's statement, unless a newer or stricter one holds. The absence of a limit is
// recorded only for machines that stated one recently.
func (l *Limits) Observe(machine string, stated Statement) Change {
	held, known := l.held[machine]
	change := Change{Machine: machine, Before: held.Limit, After: held.Limit}
	if !known && !stated.Limit.IsSet || known && !stated.supersedes(held) {
		return change
	}
	l.held[machine] = stated
	change.After = stated.Limit
	return change
}

// Merge records an observation of another node. It may originate from this node, so the same limit replaces
// the held one only if it is certainly newer. Otherwise nodes would renew for each other a limit that the machine
// no longer states.
func (l *Limits) Merge(now time.Duration, observed Observation) Change {
	stated := Statement{Limit: observed.Limit, Sent: now - observed.SentAge - maxExchangeDelay, Received: now - observed.ReceivedAge}
	if held, known := l.held[observed.Machine]; known && held.Limit == stated.Limit && stated.Sent < held.Received {
		return Change{Machine: observed.Machine, Before: held.Limit, After: held.Limit}
	}
	return l.Observe(observed.Machine, stated)
}

// Get returns the limit of a machine, or None.
func (l *Limits) Get(machine string) Limit {
	return l.held[machine].Limit
}

// Active returns the limits that are in force, by machine.
func (l *Limits) Active() map[string]Limit {
	set := map[string]Limit{}
	for machine, stated := range l.held {
		if stated.Limit.IsSet {
			set[machine] = stated.Limit
		}
	}
	return set
}

// Lookup returns the observation of one machine to send to other nodes, if there is any.
func (l *Limits) Lookup(now time.Duration, machine string) (observed Observation, known bool) {
	stated, known := l.held[machine]
	if !known {
		return Observation{}, false
	}
	return Observation{Machine: machine, Limit: stated.Limit, SentAge: now - stated.Sent, ReceivedAge: now - stated.Received}, true
}

// Snapshot returns the observations to send to other nodes, sorted by machine. It forgets ended limits that
// need not be published any more.
func (l *Limits) Snapshot(now time.Duration) []Observation {
	maps.DeleteFunc(l.held, func(_ string, stated Statement) bool {
		return !stated.Limit.IsSet && now-stated.Received > endMemory
	})
	all := make([]Observation, 0, len(l.held))
	for machine := range l.held {
		observed, _ := l.Lookup(now, machine)
		all = append(all, observed)
	}
	slices.SortFunc(all, func(left, right Observation) int { return cmp.Compare(left.Machine, right.Machine) })
	return all
}

// Retain forgets all machines but the listed ones.
func (l *Limits) Retain(isListed func(machine string) bool) {
	maps.DeleteFunc(l.held, func(machine string, _ Statement) bool { return !isListed(machine) })
}
