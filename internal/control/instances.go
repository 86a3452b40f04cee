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

// recordsStarts reports whether machine records include the start time, which depends on the
// cluster level.
func (n *Node) recordsStarts() bool {
	return n.Level() >= level.MachineStarts
}

// instanceName returns the record name for the machine that a report comes from, as of the applied
// state.
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

// newestInstance returns the name of the latest record with an ID; the ID itself if there is none.
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

// isEarlierStart reports whether a report without a record comes from an earlier start than the one
// in use for its ID.
func (n *Node) isEarlierStart(name string, report *wirepb.InstanceReport) bool {
	if report.GetStartedMs() == 0 || name == report.GetMachine() {
		return false
	}
	newest, earlier := n.newestInstance(report.GetMachine()), false
	n.Read(func(machine *state.Machine) {
		record := recordsOf(machine)(newest)
		earlier = machine.Get(v1.KindMachine, name) == nil && record != nil &&
			instances.PrecedesActiveStart(report.GetStartedMs(), record, machine.MachineStatus(newest).Phase)
	})
	return earlier
}

// awaitRecords waits until this node has applied the leader's records, which identify the start
// that a report comes from.
func (n *Node) awaitRecords(ctx context.Context) error {
	if !n.recordsStarts() {
		return nil
	}
	return n.Barrier(ctx)
}

// checkInstance returns the record name for the machine that a report comes from. It returns an
// error that names the field if the report can't come from the machine whose ID it carries.
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

// checkWriter checks a report against the machine's record, nil if there is none. Below the level
// that requires start times, records do not have one.
func checkWriter(name string, record *v1.MachineSpec, report *wirepb.InstanceReport) error {
	switch {
	case record == nil || record.Pool == "" || instances.IsUnknown(record):
		return nil
	case record.Pool != report.GetPool():
		return fault.InvalidField("pool", "machine %s is of pool %s, not of %q", name, record.Pool, report.GetPool())
	case record.StartedMs != 0 && report.GetStartedMs() == 0:
		return fault.InvalidField("started", "machine %s tells when it started, the report does not", name)
	}
	return nil
}

// storeInstanceReport stores a machine's report on the leader.
func (n *Node) storeInstanceReport(report *wirepb.InstanceReport) {
	name, err := n.checkInstance(report)
	if err != nil {
		n.logger.Warn("report_refused", "machine", report.GetMachine(), "field", fault.FieldOf(err), "error", fault.Message(err))
		return
	}
	if n.instances.Add(n.now(), name, report) {
		n.wakeLeader()
	}
}
