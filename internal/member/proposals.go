package member

import (
	"maps"
	"slices"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// Done takes the result of a proposed command, or an Unavailable error: then
// it may or may not have been carried out.
type Done func(result *wirepb.CommandResult, err error)

// Proposals are the commands that were proposed here and are not applied yet.
// The index of an entry alone doesn't tell whose command was applied there:
// another leader's may have taken its place, which its term shows.
type Proposals struct {
	waiting map[uint64]proposal
}

type proposal struct {
	term uint64
	done Done
}

// NewProposals returns an empty set.
func NewProposals() *Proposals {
	return &Proposals{waiting: map[uint64]proposal{}}
}

// Add waits for the entry that Propose gave an index and a term. Done is
// called once.
func (p *Proposals) Add(index, term uint64, done Done) {
	older, replaced := p.waiting[index]
	p.waiting[index] = proposal{term: term, done: done}
	if replaced {
		older.done(nil, fault.Unavailable.New("the leader changed before the command was committed"))
	}
}

// Complete hands out the results that an output holds.
func (p *Proposals) Complete(output Output) {
	if output.Restored {
		p.Fail("the command's outcome was lost with a snapshot")
	}
	for _, applied := range output.Applied {
		entry, found := p.waiting[applied.Index]
		if !found {
			continue
		}
		delete(p.waiting, applied.Index)
		if entry.term != applied.Term {
			entry.done(nil, fault.Unavailable.New("another leader's command took its place"))
			continue
		}
		entry.done(applied.Result, nil)
	}
}

// Fail ends all, in order of the log: a simulation must take the same course
// each time, and a map has no order.
func (p *Proposals) Fail(reason string) {
	for _, index := range slices.Sorted(maps.Keys(p.waiting)) {
		entry := p.waiting[index]
		delete(p.waiting, index)
		entry.done(nil, fault.Unavailable.New("%s", reason))
	}
}
