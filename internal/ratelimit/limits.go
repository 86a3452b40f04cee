package ratelimit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// endRetention is how long the end of a limit is published. It exceeds the delay of digests
	// and reports.
	endRetention = 10 * time.Second
	// maxExchangeDelay is the assumed delay of an observation between nodes. Observations carry
	// ages, so a delayed one makes its statement appear younger than it is.
	maxExchangeDelay = 250 * time.Millisecond
)

// Limits holds the advertised limits known to a node, by machine. It is not safe for concurrent
// use.
type Limits struct {
	statements map[string]Statement
}

// Change describes a limit transition.
type Change struct {
	Machine string
	Before  Limit
	After   Limit
}

// Changed reports whether the limits before and after differ.
func (c Change) Changed() bool {
	return c.Before != c.After
}

// LogFields returns the log fields for the change. source is what reported it: a response, a
// report, a permit request or a digest.
func (c Change) LogFields(source string) []any {
	return []any{
		"machine", c.Machine, "limited", c.After.IsSet, "per_second", c.After.PerSecond,
		"was_limited", c.Before.IsSet, "per_second_before", c.Before.PerSecond, "by", source,
	}
}

// Observation is a machine's advertised limit as exchanged between nodes. It carries ages instead
// of timestamps because node clocks differ.
type Observation struct {
	Machine string
	Limit   Limit
	// SentAge and ReceivedAge are the ages of the request and of the response that stated the
	// limit.
	SentAge, ReceivedAge time.Duration
}

// New returns an empty Limits.
func New() *Limits {
	return &Limits{statements: map[string]Statement{}}
}

// Observe records a machine's statement, unless a newer or stricter one holds. The absence of a
// limit is recorded only for machines that stated one recently.
func (l *Limits) Observe(machine string, stated Statement) Change {
	current, known := l.statements[machine]
	change := Change{Machine: machine, Before: current.Limit, After: current.Limit}
	if !known && !stated.Limit.IsSet || known && !stated.supersedes(current) {
		return change
	}
	l.statements[machine] = stated
	change.After = stated.Limit
	return change
}

// Merge records an observation of another node. It may originate from this node, so the same limit
// replaces the current one only if it is certainly newer. Otherwise nodes would renew for each
// other a limit that the machine no longer states.
func (l *Limits) Merge(now time.Duration, observed Observation) Change {
	stated := Statement{Limit: observed.Limit, Sent: now - observed.SentAge - maxExchangeDelay, Received: now - observed.ReceivedAge}
	if current, known := l.statements[observed.Machine]; known && current.Limit == stated.Limit && stated.Sent < current.Received {
		return Change{Machine: observed.Machine, Before: current.Limit, After: current.Limit}
	}
	return l.Observe(observed.Machine, stated)
}

// Get returns the limit of a machine, or Unlimited.
func (l *Limits) Get(machine string) Limit {
	return l.statements[machine].Limit
}

// Active returns the limits in force, by machine.
func (l *Limits) Active() map[string]Limit {
	active := map[string]Limit{}
	for machine, stated := range l.statements {
		if stated.Limit.IsSet {
			active[machine] = stated.Limit
		}
	}
	return active
}

// Lookup returns the observation of one machine to send to other nodes, if there is any.
func (l *Limits) Lookup(now time.Duration, machine string) (observed Observation, known bool) {
	stated, known := l.statements[machine]
	if !known {
		return Observation{}, false
	}
	return Observation{Machine: machine, Limit: stated.Limit, SentAge: now - stated.Sent, ReceivedAge: now - stated.Received}, true
}

// Snapshot returns the observations to send to other nodes, sorted by machine. It forgets ended
// limits after endRetention.
func (l *Limits) Snapshot(now time.Duration) []Observation {
	maps.DeleteFunc(l.statements, func(_ string, stated Statement) bool {
		return !stated.Limit.IsSet && now-stated.Received > endRetention
	})
	all := make([]Observation, 0, len(l.statements))
	for machine := range l.statements {
		observed, _ := l.Lookup(now, machine)
		all = append(all, observed)
	}
	slices.SortFunc(all, func(left, right Observation) int { return cmp.Compare(left.Machine, right.Machine) })
	return all
}

// Retain forgets unlisted machines.
func (l *Limits) Retain(isListed func(machine string) bool) {
	maps.DeleteFunc(l.statements, func(machine string, _ Statement) bool { return !isListed(machine) })
}
