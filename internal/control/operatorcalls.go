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
	report = instances.WithContent(report)
	status := n.status.Load()
	if status.Leader == status.ID {
		if n.instances.Take(n.now(), report) {
			n.wakeLeader()
		}
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
	if report.GetLeaving() {
		if err := n.leave(ctx, report, v1.MachineLeaving); err != nil {
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

// Deregister records that a machine is gone.
func (n *Node) Deregister(ctx context.Context, machine string) error {
	return n.leave(ctx, &wirepb.InstanceReport{Machine: machine}, v1.MachineGone)
}

func (n *Node) leave(ctx context.Context, report *wirepb.InstanceReport, phase v1.MachinePhase) error {
	command := &wirepb.RegisterCommand{Machine: report.GetMachine(), Phase: string(phase), Reason: instances.ReasonSaidSo}
	if report.GetEndpoint() != "" {
		if registration := instances.Registration(report, nil); registration != nil {
			command.Spec = registration.GetSpec()
		}
	}
	result, err := n.Propose(ctx, &wirepb.Command{Body: &wirepb.Command_Register{Register: command}})
	if err != nil {
		return err
	}
	n.logger.Info("machine_"+string(phase), "machine", report.GetMachine(), "reason", instances.ReasonSaidSo, "revision", result.GetWrite().GetRevision())
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
