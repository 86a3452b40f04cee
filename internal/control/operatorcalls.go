package control

import (
	"context"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/instances"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// takeInstance keeps a machine's report; a follower passes it on to the
// leader.
func (n *Node) takeInstance(report *wirepb.InstanceReport) {
	n.taken.heartbeats.Add(1)
	report = instances.WithContentHash(report)
	status := n.status.Load()
	if status.Leader == status.ID {
		n.keepInstance(report)
		return
	}
	if link := n.peers.link(status.Leader); link != nil {
		link.sendInstance(report)
	}
}

// Heartbeat takes what a machine says of itself. It fails where no leader is
// known or the leader does not hear this node, and for a machine that leaves until
// that is committed: what was acknowledged must not be forgotten.
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
	if n.isUnheard() {
		return errUnheard()
	}
	n.takeInstance(report)
	return nil
}

// Deregister records that a machine is gone. The call names no start: it is that of the newest.
func (n *Node) Deregister(ctx context.Context, id string) error {
	if err := n.awaitRecords(ctx); err != nil {
		return err
	}
	return n.recordPhase(ctx, n.newestInstance(id), &wirepb.InstanceReport{Machine: id}, v1.MachineGone)
}

// leave records that a machine leaves.
func (n *Node) leave(ctx context.Context, report *wirepb.InstanceReport) error {
	if err := n.awaitRecords(ctx); err != nil {
		return err
	}
	name := n.instanceName(report)
	if n.isEarlierStart(name, report) {
		// What was held up on its way asks for nothing any more; a machine whose clock was set
		// back is heard once the later start is lost.
		return fault.Unavailable.New("a later start of %s is in use", report.GetMachine())
	}
	return n.recordPhase(ctx, name, report, v1.MachineLeaving)
}

func (n *Node) recordPhase(ctx context.Context, name string, report *wirepb.InstanceReport, phase v1.MachinePhase) error {
	command := &wirepb.RegisterCommand{Machine: name, Phase: string(phase), Reason: instances.ReasonAnnounced}
	if report.GetEndpoint() != "" {
		if registration := instances.Registration(name, report, nil, n.recordsStarts()); registration != nil {
			command.Spec = registration.GetSpec()
		}
	}
	result, err := n.Propose(ctx, &wirepb.Command{Body: &wirepb.Command_Register{Register: command}})
	if err != nil {
		return err
	}
	n.logger.Info("machine_"+string(phase), "machine", name, "reason", instances.ReasonAnnounced, "revision", result.GetWrite().GetRevision())
	return nil
}

// Declare makes a document the declared state, unless a newer one is.
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

// Declaration returns the newest document, confirmed by the leader; nil if
// there is none yet.
func (n *Node) Declaration(ctx context.Context) (*wirepb.Declaration, error) {
	if err := n.Barrier(ctx); err != nil {
		return nil, err
	}
	var declaration *wirepb.Declaration
	n.Read(func(machine *state.Machine) { declaration = machine.Declaration() })
	return declaration, nil
}
