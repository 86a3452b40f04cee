package member

import (
	"maps"
	"slices"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// Done receives the result of a proposed command. After an Unavailable error, the command may or
// may not have been applied.
type Done func(result *wirepb.CommandResult, err error)

// Proposals tracks the commands proposed on this node that have not been applied. They are matched
// by index and term: another leader's entry may have replaced one of the same index.
type Proposals struct {
	waiting map[uint64]proposal
}

type proposal struct {
	term uint64
	done Done
}

// NewProposals returns an empty Proposals.
func NewProposals() *Proposals {
	return &Proposals{waiting: map[uint64]proposal{}}
}

// Add registers done, to be called once, for the entry with the index and term that Propose
// returned.
func (p *Proposals) Add(index, term uint64, done Done) {
	previous, replaced := p.waiting[index]
	p.waiting[index] = proposal{term: term, done: done}
	if replaced {
		previous.done(nil, fault.Unavailable.New("the leader changed before the command was committed"))
	}
}

// Complete delivers the results in an output.
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

// Fail fails all pending proposals, in log order so that simulations are deterministic.
func (p *Proposals) Fail(reason string) {
	for _, index := range slices.Sorted(maps.Keys(p.waiting)) {
		entry := p.waiting[index]
		delete(p.waiting, index)
		entry.done(nil, fault.Unavailable.New("%s", reason))
	}
}
