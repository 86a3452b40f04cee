package control

import (
	"context"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/instances"
	"github.com/weldline/weldline/internal/level"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// recordsStarts reports whether records of machines tell when these started.
func (n *Node) recordsStarts() bool {
	return n.Level() >= level.MachineStarts
}

// instanceName returns the name of the record of the machine that a report comes from, by the
// records that this node has applied.
func (n *Node) instanceName(report *wirepb.InstanceReport) (name string) {
	n.Read(func(machine *state.Machine) { name = nameOf(machine, report) })
	return name
}

func nameOf(machine *state.Machine, report *wirepb.InstanceReport) string {
	if machine.Level() < level.MachineStarts {
		return report.GetMachine()
	}
	return instances.NameOf(report.GetMachine(), report.GetStartedMs(), recordsOf(machine))
}

func recordsOf(machine *state.Machine) instances.RecordLookup {
	return func(name string) *v1.MachineSpec {
		spec, _ := machine.Spec(v1.KindMachine, name).(*v1.MachineSpec)
		return spec
	}
}

// newestInstance returns the name of the newest record under an id; the id if there is none.
func (n *Node) newestInstance(id string) string {
	newest, created := id, uint64(0)
	n.Read(func(machine *state.Machine) {
		machine.EachMachine(func(name string) {
			if instances.IDOf(name) != id {
				return
			}
			if revision := machine.Get(v1.KindMachine, name).GetCreateRevision(); revision > created {
				newest, created = name, revision
			}
		})
	})
	return newest
}

// isEarlierStart reports whether a report that has no record under a name comes from a start before
// one that is in use under its id.
func (n *Node) isEarlierStart(name string, report *wirepb.InstanceReport) bool {
	if report.GetStartedMs() == 0 || name == report.GetMachine() {
		return false
	}
	newest, earlier := n.newestInstance(report.GetMachine()), false
	n.Read(func(machine *state.Machine) {
		held := recordsOf(machine)(newest)
		earlier = machine.Get(v1.KindMachine, name) == nil && held != nil &&
			instances.PrecedesActiveStart(report.GetStartedMs(), held, machine.MachineStatus(newest).Phase)
	})
	return earlier
}

// awaitRecords waits until this node has applied the records that the leader has: by them a start
// is told from another, and what is acknowledged to one must be recorded of that one.
func (n *Node) awaitRecords(ctx context.Context) error {
	if !n.recordsStarts() {
		return nil
	}
	return n.Barrier(ctx)
}

// checkInstance returns the name of the record of the machine that a report comes from. It refuses one
// that can't be of the machine under whose id it comes, since it was written by another, and names the
// field.
func (n *Node) checkInstance(report *wirepb.InstanceReport) (name string, err error) {
	if !instances.IsValidID(report.GetMachine()) {
		return "", fault.InvalidField("machine", "%q can't be the id of a machine", report.GetMachine())
	}
	n.Read(func(machine *state.Machine) {
		name = nameOf(machine, report)
		err = checkWriter(name, recordsOf(machine)(name), report)
	})
	return name, err
}

// checkWriter checks a report against the record of the machine, which is nil before there is one. No
// record tells of a start below the level at which reports have to.
func checkWriter(name string, held *v1.MachineSpec, report *wirepb.InstanceReport) error {
	switch {
	case held == nil || held.Pool == "":
		return nil
	case held.Pool != report.GetPool():
		return fault.InvalidField("pool", "machine %s is of pool %s, not of %q", name, held.Pool, report.GetPool())
	case held.StartedMs != 0 && report.GetStartedMs() == 0:
		return fault.InvalidField("started", "machine %s tells when it started, the report does not", name)
	}
	return nil
}

// keepInstance keeps a machine's report as the leader.
func (n *Node) keepInstance(report *wirepb.InstanceReport) {
	name, err := n.checkInstance(report)
	if err != nil {
		n.logger.Warn("report_refused", "machine", report.GetMachine(), "field", fault.FieldOf(err), "error", fault.Message(err))
		return
	}
	if n.instances.Add(n.now(), name, report) {
		n.wakeLeader()
	}
}
