package ratelimit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// endMemory is for how long the end of a limit is told: about as long as a router may be
	// without digests, or a report on its way, before it hears of a machine by itself.
	endMemory = 10 * time.Second
	// passingTime is how long what another node tells may have been on its way. Ages are told, so a
	// statement seems to have been made later than it was, by as much as this.
	passingTime = 250 * time.Millisecond
)

// Limits are what a node knows of the limits that machines name. They are not safe for concurrent
// use.
type Limits struct {
	held map[string]Statement
}

// Change tells that a machine's limit is another one.
type Change struct {
	Machine string
	Before  Limit
	After   Limit
}

// IsNews reports whether anything has changed.
func (c Change) IsNews() bool {
	return c.Before != c.After
}

// LogFields are what logs tell of a change, and by what it was heard of.
func (c Change) LogFields(by string) []any {
	return []any{
		"machine", c.Machine, "limited", c.After.IsSet, "per_second", c.After.PerSecond,
		"was_limited", c.Before.IsSet, "per_second_before", c.Before.PerSecond, "by", by,
	}
}

// Told is a statement about a machine as one node tells it to another.
type Told struct {
	Machine string
	Limit   Limit
	// SentAge and HeardAge are how long ago the statement's request was sent and its answer came.
	SentAge, HeardAge time.Duration
}

// New returns the limits of a node that knows of none.
func New() *Limits {
	return &Limits{held: map[string]Statement{}}
}

// Take takes what a machine said. That it names no limit is kept only where one was named lately.
func (l *Limits) Take(machine string, said Statement) Change {
	held, known := l.held[machine]
	change := Change{Machine: machine, Before: held.Limit, After: held.Limit}
	if !known && !said.Limit.IsSet || known && !said.supersedes(held) {
		return change
	}
	l.held[machine] = said
	change.After = said.Limit
	return change
}

// TakeTold takes what another node tells. That may be what it was told by this one: the same limit is
// taken for newer only where that is certain, so that nodes don't renew a limit for each other which its
// machine names no more.
func (l *Limits) TakeTold(now time.Duration, told Told) Change {
	said := Statement{Limit: told.Limit, Sent: now - told.SentAge - passingTime, Heard: now - told.HeardAge}
	if held, known := l.held[told.Machine]; known && held.Limit == said.Limit && said.Sent < held.Heard {
		return Change{Machine: told.Machine, Before: held.Limit, After: held.Limit}
	}
	return l.Take(told.Machine, said)
}

// Of returns a machine's limit.
func (l *Limits) Of(machine string) Limit {
	return l.held[machine].Limit
}

// Set returns the limits that are in force, by machine.
func (l *Limits) Set() map[string]Limit {
	set := map[string]Limit{}
	for machine, said := range l.held {
		if said.Limit.IsSet {
			set[machine] = said.Limit
		}
	}
	return set
}

// Tell returns what other nodes are to hear of a machine; known is false where that is nothing.
func (l *Limits) Tell(now time.Duration, machine string) (told Told, known bool) {
	said, known := l.held[machine]
	if !known {
		return Told{}, false
	}
	return Told{Machine: machine, Limit: said.Limit, SentAge: now - said.Sent, HeardAge: now - said.Heard}, true
}

// TellAll returns what other nodes are to hear, by machine, and forgets what they need not hear any
// more.
func (l *Limits) TellAll(now time.Duration) []Told {
	maps.DeleteFunc(l.held, func(_ string, said Statement) bool {
		return !said.Limit.IsSet && now-said.Heard > endMemory
	})
	all := make([]Told, 0, len(l.held))
	for machine := range l.held {
		told, _ := l.Tell(now, machine)
		all = append(all, told)
	}
	slices.SortFunc(all, func(left, right Told) int { return cmp.Compare(left.Machine, right.Machine) })
	return all
}

// Retain forgets all machines but those that are listed.
func (l *Limits) Retain(isListed func(machine string) bool) {
	maps.DeleteFunc(l.held, func(machine string, _ Statement) bool { return !isListed(machine) })
}
