package feed

import (
	"github.com/weldline/weldline/internal/subset"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// digestSubset cuts digests to the machines that a watcher knows. It belongs to one connection.
type digestSubset struct {
	// positions are those of the known machines in the whole roster, in order.
	positions []int
	roster    *wirepb.Roster
	// rosterSequence is that of the digest with which the roster came first.
	rosterSequence uint64
	// whole is the digest that positions were made for, changes the state of the subset then.
	whole   *wirepb.ClusterDigest
	changes uint64
}

// of returns a digest with what it says of the machines of a subset, which is nil where nothing
// is known yet. The digest itself is shared and stays as it is.
func (d *digestSubset) of(whole *wirepb.ClusterDigest, chosen *subset.Subset) *wirepb.ClusterDigest {
	var changes uint64
	if chosen != nil {
		changes = chosen.MachineChanges() + 1
	}
	if d.whole == nil || !sameRoster(d.whole, whole) || d.changes != changes {
		d.cut(whole, chosen)
		d.changes = changes
	}
	d.whole = whole
	part := withRoster(whole, d.roster)
	part.RosterSequence = d.rosterSequence
	part.MachineLoads = d.pick(whole.GetMachineLoads())
	part.MachineWork = d.pick(whole.GetMachineWork())
	part.MachineAnswers = d.pick(whole.GetMachineAnswers())
	part.MachineErrors = d.pick(whole.GetMachineErrors())
	part.MachineWarming = d.pick(whole.GetMachineWarming())
	return part
}

// cut takes over a new roster, or a new subset.
func (d *digestSubset) cut(whole *wirepb.ClusterDigest, chosen *subset.Subset) {
	d.positions, d.rosterSequence = nil, whole.GetSequence()
	d.roster = &wirepb.Roster{
		Nodes: whole.GetRoster().GetNodes(), Control: whole.GetRoster().GetControl(), ControlZones: whole.GetRoster().GetControlZones(),
	}
	if chosen == nil {
		return
	}
	for position, machine := range whole.GetRoster().GetMachines() {
		if chosen.KnowsMachine(machine) {
			d.positions = append(d.positions, position)
			d.roster.Machines = append(d.roster.Machines, machine)
		}
	}
}

// pick returns the numbers of the known machines. What lies behind the end stands for nothing, in
// the whole as in the part.
func (d *digestSubset) pick(whole []byte) []byte {
	var part []byte
	for number, position := range d.positions {
		if position >= len(whole) {
			break
		}
		if whole[position] == 0 {
			continue
		}
		for len(part) < number {
			part = append(part, 0)
		}
		part = append(part, whole[position])
	}
	return part
}
