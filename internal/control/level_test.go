package control

import (
	"testing"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/level"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// TestNodesOfTheReleaseBeforeHoldTheLevel: as long as one of them is in touch the level stays, and once
// it is raised they are not let in.
func TestNodesOfTheReleaseBeforeHoldTheLevel(t *testing.T) {
	_, node := aloneWithPool(t)
	report := func(name string, understood level.Level) {
		node.takeReports([]*wirepb.NodeReport{{Node: name, Router: true, Incarnation: 1, Sequence: 1, Level: uint32(understood)}})
	}
	isHeld := func() bool {
		understood, complete := node.understoodLevels()
		_, raised := level.Next(level.None, understood)
		return !complete || !raised
	}
	report("new", level.Supported)
	if isHeld() {
		t.Error("the level is held up by nodes that understand it")
	}
	report("before", level.None)
	if !isHeld() {
		t.Error("the level is raised over a node of the release before")
	}
	if refusal := node.refuseLevel(&wirepb.Hello{}); refusal == "" {
		t.Error("a node of the release before is let in at the raised level")
	}
	if refusal := node.refuseLevel(&wirepb.Hello{Level: uint32(level.Supported)}); refusal != "" {
		t.Errorf("a node of this release is refused: %s", refusal)
	}
}

// TestUnknownCommandsAreNotProposed: in the log they would stop every member.
func TestUnknownCommandsAreNotProposed(t *testing.T) {
	_, node := aloneWithPool(t)
	if _, err := node.Propose(t.Context(), &wirepb.Command{RequestId: "later"}); !fault.Is(err, fault.Invalid) {
		t.Errorf("a command of a later release: %v", err)
	}
	var unsupported error
	node.Read(func(machine *state.Machine) { unsupported = machine.Unsupported() })
	if unsupported != nil || !node.leads() {
		t.Errorf("the member stopped: %v", unsupported)
	}
}
