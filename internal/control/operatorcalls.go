package control

import (
	"context"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/instances"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// receiveInstanceReport stores a machine's report; a follower forwards it to the leader.
func (n *Node) receiveInstanceReport(report *wirepb.InstanceReport) {
	n.counters.heartbeats.Add(1)
	report = instances.WithContentHash(report)
	status := n.status.Load()
	if status.Leader == status.ID {
		n.storeInstanceReport(report)
		return
	}
	if link := n.peers.link(status.Leader); link != nil {
		link.sendInstance(report)
	}
}

// Heartbeat handles a machine's report. An acknowledged report must not be lost, so Heartbeat fails
// if no leader is known or this node's messages do not reach it. A machine's leaving is committed
// before it is acknowledged.
func (n *Node) Heartbeat(ctx context.Context, report *wirepb.InstanceReport) error {
	if _, err := n.checkInstance(report); err != nil {
		return err
	}
	if report.GetLeaving() {
		if err := n.leave(ctx, report); err != nil {
			return err
		}
	}
	if !n.HasLeader() {
		return fault.Unavailable.New("there is no leader")
	}
	if n.isIsolated() {
		return errIsolated()
	}
	n.receiveInstanceReport(report)
	return nil
}

// Deregister records that a machine is gone. It applies to the latest start of the machine.
func (n *Node) Deregister(ctx context.Context, id string) error {
	if err := n.awaitRecords(ctx); err != nil {
		return err
	}
	name := n.newestInstance(id)
	recorded, unknown := n.countUnknown(name)
	switch {
	case recorded:
		return n.recordPhase(ctx, name, &wirepb.InstanceReport{Machine: id}, v1.MachineGone)
	case !instances.IsValidID(id):
		return fault.InvalidField("machine", "%q can't be the id of a machine", id)
	case unknown >= maxUnknownGone:
		return fault.Unavailable.New("%d machines without a record have deregistered already", unknown)
	}
	return n.proposeRegistration(ctx, instances.Deregistration(name, time.Now(), n.Level()))
}

// maxUnknownGone bounds the records of machines that deregistered before they had registered.
const maxUnknownGone = 256

// countUnknown reports whether there is a record with a name, and the number of records of machines that deregistered before
// they had registered.
func (n *Node) countUnknown(name string) (recorded bool, unknown int) {
	n.Read(func(machine *state.Machine) {
		recorded = machine.Get(v1.KindMachine, name) != nil
		lookup := recordsOf(machine)
		machine.EachMachine(func(name string) {
			if spec := lookup(name); spec != nil && instances.IsUnknown(spec) {
				unknown++
			}
		})
	})
	return recorded, unknown
}

// leave records that a machine is leaving.
func (n *Node) leave(ctx context.Context, report *wirepb.InstanceReport) error {
	if err := n.awaitRecords(ctx); err != nil {
		return err
	}
	name := n.instanceName(report)
	if n.isEarlierStart(name, report) {
		// A delayed report must not affect the later start. A machine whose clock was set back is
		// accepted once the later start is lost.
		return fault.Unavailable.New("a later start of %s is in use", report.GetMachine())
	}
	return n.recordPhase(ctx, name, report, v1.MachineLeaving)
}

func (n *Node) recordPhase(ctx context.Context, name string, report *wirepb.InstanceReport, phase v1.MachinePhase) error {
	command := &wirepb.RegisterCommand{Machine: name, Phase: string(phase), Reason: instances.ReasonAnnounced}
	if report.GetEndpoint() != "" {
		if registration := instances.Registration(name, report, nil, n.Level()); registration != nil {
			command.Spec = registration.GetSpec()
		}
	}
	return n.proposeRegistration(ctx, command)
}

func (n *Node) proposeRegistration(ctx context.Context, command *wirepb.RegisterCommand) error {
	result, err := n.Propose(ctx, &wirepb.Command{Body: &wirepb.Command_Register{Register: command}})
	if err != nil {
		return err
	}
	n.logger.Info("machine_"+command.GetPhase(), "machine", command.GetMachine(), "reason", command.GetReason(), "revision", result.GetWrite().GetRevision(),
		"code", result.GetCode().String())
	if result.GetCode() != wirepb.ResultCode_RESULT_CODE_OK {
		return fault.Unavailable.New("the phase of machine %s is not recorded: %s", command.GetMachine(), result.GetMessage())
	}
	return nil
}

// Declare replaces the declared state by a document, unless a newer one is in force.
func (n *Node) Declare(ctx context.Context, command *wirepb.DeclareCommand) error {
	if err := state.CheckDeclaration(command.GetObjects()); err != nil {
		return err
	}
	result, err := n.Propose(ctx, &wirepb.Command{Body: &wirepb.Command_Declare{Declare: command}})
	if err != nil {
		return err
	}
	n.logger.Info("declared", "version", command.GetVersion(), "outcome", result.GetMessage(), "code", result.GetCode().String(), "revision", result.GetWrite().GetRevision())
	if result.GetCode() != wirepb.ResultCode_RESULT_CODE_OK {
		return fault.InvalidField(result.GetWrite().GetField(), "%s", result.GetMessage())
	}
	return nil
}

// Declaration returns the latest document, confirmed by the leader; nil if there is none.
func (n *Node) Declaration(ctx context.Context) (*wirepb.Declaration, error) {
	if err := n.Barrier(ctx); err != nil {
		return nil, err
	}
	var declaration *wirepb.Declaration
	n.Read(func(machine *state.Machine) { declaration = machine.Declaration() })
	return declaration, nil
}
