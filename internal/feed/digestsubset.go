package feed

import (
	"math"
	"slices"

	"github.com/weldline/weldline/internal/subset"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// notListed is the position of a machine that the whole roster does not list.
const notListed = -1

// rosterIndex has the positions of the machines of the newest whole roster. All sessions use it: to
// look for each of their machines in ten thousand names would cost more than all else.
type rosterIndex struct {
	roster    *wirepb.Roster
	positions map[string]int
}

func (x *rosterIndex) of(roster *wirepb.Roster) map[string]int {
	if x.positions == nil || x.roster != roster {
		x.roster, x.positions = roster, make(map[string]int, len(roster.GetMachines()))
		for position, machine := range roster.GetMachines() {
			x.positions[machine] = position
		}
	}
	return x.positions
}

// digestSubset cuts digests to the machines that a watcher knows. It belongs to one connection.
//
// The watcher's roster only grows while the connection lasts: a machine gets its number when the
// watcher learns of it, and keeps it. So neither what becomes of other machines nor a new one makes it
// travel again; names are nearly all of what a digest could hold.
type digestSubset struct {
	// listed are the machines of the watcher's roster.
	listed map[string]bool
	// positions are theirs in the whole roster, in the watcher's order; notListed for those that
	// are in it no more.
	positions []int
	roster    *wirepb.Roster
	// rosterSequence is that of the digest with which the roster came first.
	rosterSequence uint64
	// whole is the digest that positions were made for, chosen the subset and changes its state then.
	whole   *wirepb.ClusterDigest
	chosen  *subset.Subset
	changes uint64
}

// of returns a digest with what it says of the machines of a subset, which is nil where nothing
// is known yet. The digest itself is shared and stays as it is.
func (d *digestSubset) of(whole *wirepb.ClusterDigest, chosen *subset.Subset, index *rosterIndex) *wirepb.ClusterDigest {
	var changes uint64
	if chosen != nil {
		changes = chosen.MachineChanges()
	}
	if d.whole == nil || !sameRoster(d.whole, whole) || d.chosen != chosen || d.changes != changes {
		d.follow(whole, chosen, index.of(whole.GetRoster()))
	}
	d.whole, d.chosen, d.changes = whole, chosen, changes
	part := withRoster(whole, d.roster)
	part.RosterSequence = d.rosterSequence
	part.MachineLoads = d.pick(whole.GetMachineLoads(), 0)
	part.MachineWork = d.pick(whole.GetMachineWork(), 0)
	part.MachineAnswers = d.pick(whole.GetMachineAnswers(), 0)
	part.MachineErrors = d.pick(whole.GetMachineErrors(), 0)
	// A machine that nothing is said of may have just started.
	part.MachineWarming = d.pick(whole.GetMachineWarming(), math.MaxUint8)
	part.Limits = d.limits(whole.GetLimits())
	return part
}

// limits are those of the machines that the watcher knows.
func (d *digestSubset) limits(all []*wirepb.MachineLimit) []*wirepb.MachineLimit {
	var known []*wirepb.MachineLimit
	for _, limit := range all {
		if d.listed[limit.GetMachine()] {
			known = append(known, limit)
		}
	}
	return known
}

// follow takes over a new roster, or a new subset.
func (d *digestSubset) follow(whole *wirepb.ClusterDigest, chosen *subset.Subset, positions map[string]int) {
	added := d.news(chosen, positions)
	own := whole.GetRoster()
	isSame := d.roster != nil && d.whole.GetTerm() == whole.GetTerm() && len(added) == 0 &&
		slices.Equal(d.roster.GetControl(), own.GetControl()) && slices.Equal(d.roster.GetControlZones(), own.GetControlZones())
	if !isSame {
		machines := slices.Concat(d.roster.GetMachines(), added)
		d.roster = &wirepb.Roster{Machines: machines, Nodes: own.GetNodes(), Control: own.GetControl(), ControlZones: own.GetControlZones()}
		d.rosterSequence = whole.GetSequence()
	}
	d.positions = d.positions[:0]
	for _, machine := range d.roster.GetMachines() {
		position, listed := positions[machine]
		if !listed {
			position = notListed
		}
		d.positions = append(d.positions, position)
	}
}

// news returns the known machines of the whole roster that the watcher's does not list, sorted.
func (d *digestSubset) news(chosen *subset.Subset, positions map[string]int) []string {
	if chosen == nil {
		return nil
	}
	if d.listed == nil {
		d.listed = map[string]bool{}
	}
	var added []string
	chosen.EachMachine(func(machine string) {
		if _, listed := positions[machine]; listed && !d.listed[machine] {
			d.listed[machine] = true
			added = append(added, machine)
		}
	})
	slices.Sort(added)
	return added
}

// pick returns the numbers of the watcher's machines, with a number of its own for those that the
// whole roster does not list. What lies behind the end stands for nothing, in the whole as in the part.
func (d *digestSubset) pick(whole []byte, unlisted byte) []byte {
	var part []byte
	for number, position := range d.positions {
		value := byte(0)
		switch {
		case position == notListed:
			value = unlisted
		case position < len(whole):
			value = whole[position]
		}
		if value == 0 {
			continue
		}
		for len(part) < number {
			part = append(part, 0)
		}
		part = append(part, value)
	}
	return part
}
