package feed

import (
	"math"
	"slices"

	"github.com/weldline/weldline/internal/subset"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// unlistedPosition marks a machine that is not in the full roster.
const unlistedPosition = -1

// rosterIndex maps machine names to positions in the latest full roster. All sessions share it, to
// avoid a search through the roster for each of their machines.
type rosterIndex struct {
	roster    *wirepb.Roster
	positions map[string]int
}

func (i *rosterIndex) positionsOf(roster *wirepb.Roster) map[string]int {
	if i.positions == nil || i.roster != roster {
		i.roster, i.positions = roster, make(map[string]int, len(roster.GetMachines()))
		for position, machine := range roster.GetMachines() {
			i.positions[machine] = position
		}
	}
	return i.positions
}

// digestFilter restricts digests to the machines known to a watcher. It belongs to one connection.
//
// The watcher's roster is append-only: machines keep their positions, so changes of other machines
// don't require sending it again. Machine names make up most of a digest.
type digestFilter struct {
	listedMachines map[string]bool
	// selectRouters returns the routers of the roster that the watcher learns of.
	selectRouters func(all []*wirepb.RouterEntry) []*wirepb.RouterEntry
	// positions maps the watcher's roster to positions in the full roster, or to unlistedPosition.
	positions []int
	roster    *wirepb.Roster
	// rosterSequence is the sequence of the first digest with this roster.
	rosterSequence uint64
	// lastDigest, lastSubset and lastMachineChanges identify the input for which positions was
	// computed.
	lastDigest         *wirepb.ClusterDigest
	lastSubset         *subset.Subset
	lastMachineChanges uint64
}

// apply returns a copy of the digest restricted to the machines of a subset. The subset is nil before
// the first list.
func (d *digestFilter) apply(full *wirepb.ClusterDigest, selected *subset.Subset, index *rosterIndex) *wirepb.ClusterDigest {
	var changes uint64
	if selected != nil {
		changes = selected.MachineChanges()
	}
	if d.lastDigest == nil || !sameRoster(d.lastDigest, full) || d.lastSubset != selected || d.lastMachineChanges != changes {
		d.updateRoster(full, selected, index.positionsOf(full.GetRoster()))
	}
	d.lastDigest, d.lastSubset, d.lastMachineChanges = full, selected, changes
	filtered := withRoster(full, d.roster)
	filtered.RosterSequence = d.rosterSequence
	filtered.MachineLoads = d.selectValues(full.GetMachineLoads(), 0)
	filtered.MachineWork = d.selectValues(full.GetMachineWork(), 0)
	filtered.MachineAnswers = d.selectValues(full.GetMachineAnswers(), 0)
	filtered.MachineErrors = d.selectValues(full.GetMachineErrors(), 0)
	// A machine missing from the full roster may have just started and is treated as warming up.
	filtered.MachineWarming = d.selectValues(full.GetMachineWarming(), math.MaxUint8)
	filtered.Limits = d.filterLimits(full.GetLimits())
	return filtered
}

func (d *digestFilter) filterLimits(all []*wirepb.MachineLimit) []*wirepb.MachineLimit {
	var filtered []*wirepb.MachineLimit
	for _, limit := range all {
		if d.listedMachines[limit.GetMachine()] {
			filtered = append(filtered, limit)
		}
	}
	return filtered
}

// updateRoster recomputes the roster and the positions for a new digest or subset.
func (d *digestFilter) updateRoster(full *wirepb.ClusterDigest, selected *subset.Subset, positions map[string]int) {
	added := d.newMachines(selected, positions)
	roster := full.GetRoster()
	routers := d.selectRouters(roster.GetRouters())
	isUnchanged := d.roster != nil && d.lastDigest.GetTerm() == full.GetTerm() && len(added) == 0 && sameRouters(d.roster.GetRouters(), routers) && sameRouters(d.roster.GetKeepers(), roster.GetKeepers()) &&
		slices.Equal(d.roster.GetControl(), roster.GetControl()) && slices.Equal(d.roster.GetControlZones(), roster.GetControlZones())
	if !isUnchanged {
		machines := slices.Concat(d.roster.GetMachines(), added)
		d.roster = &wirepb.Roster{
			Machines: machines, Nodes: roster.GetNodes(), Control: roster.GetControl(), ControlZones: roster.GetControlZones(), Routers: routers,
			Keepers: roster.GetKeepers(),
		}
		d.rosterSequence = full.GetSequence()
	}
	d.positions = d.positions[:0]
	for _, machine := range d.roster.GetMachines() {
		position, listed := positions[machine]
		if !listed {
			position = unlistedPosition
		}
		d.positions = append(d.positions, position)
	}
}

// newMachines returns the sorted names of machines that are in the subset and in the full roster, but
// not yet in the watcher's.
func (d *digestFilter) newMachines(selected *subset.Subset, positions map[string]int) []string {
	if selected == nil {
		return nil
	}
	if d.listedMachines == nil {
		d.listedMachines = map[string]bool{}
	}
	var added []string
	selected.EachMachine(func(machine string) {
		if _, listed := positions[machine]; listed && !d.listedMachines[machine] {
			d.listedMachines[machine] = true
			added = append(added, machine)
		}
	})
	slices.Sort(added)
	return added
}

// selectValues returns the values of the watcher's machines, with unlistedValue for those missing from
// the full roster. Trailing zeros are omitted, as in the full digest.
func (d *digestFilter) selectValues(values []byte, unlistedValue byte) []byte {
	var selected []byte
	for index, position := range d.positions {
		value := byte(0)
		switch {
		case position == unlistedPosition:
			value = unlistedValue
		case position < len(values):
			value = values[position]
		}
		if value == 0 {
			continue
		}
		for len(selected) < index {
			selected = append(selected, 0)
		}
		selected = append(selected, value)
	}
	return selected
}
