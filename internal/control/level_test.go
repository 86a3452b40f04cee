package control

import (
	"testing"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/level"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// TestLevelWaitsForEarlierRelease checks that the level is not raised while a node of the previous
// release reports, and that such a node is refused once it is raised.
func TestLevelWaitsForEarlierRelease(t *testing.T) {
	_, node := startSingleNode(t)
	report := func(name string, supported level.Level) {
		node.receiveReports([]*wirepb.NodeReport{{Node: name, Router: true, Incarnation: 1, Sequence: 1, Level: uint32(supported)}})
	}
	waits := func() bool {
		supported, complete := node.supportedLevels()
		_, raised := level.Next(level.None, supported)
		return !complete || !raised
	}
	report("new", level.Supported)
	if waits() {
		t.Error("the level is not raised although all nodes support it")
	}
	report("before", level.None)
	if !waits() {
		t.Error("the level is raised despite a node of the previous release")
	}
	if refusal := node.levelRefusal(&wirepb.Hello{}); refusal == "" {
		t.Error("a node of the previous release is accepted at the raised level")
	}
	if refusal := node.levelRefusal(&wirepb.Hello{Level: uint32(level.Supported)}); refusal != "" {
		t.Errorf("a node of this release is refused: %s", refusal)
	}
}

// TestUnknownCommandsAreNotProposed guards against commands in the log that stop every member.
func TestUnknownCommandsAreNotProposed(t *testing.T) {
	_, node := startSingleNode(t)
	if _, err := node.Propose(t.Context(), &wirepb.Command{RequestId: "later"}); !fault.Is(err, fault.Invalid) {
		t.Errorf("unknown command: got %v, want an invalid-field error", err)
	}
	var unsupported error
	node.Read(func(machine *state.Machine) { unsupported = machine.Unsupported() })
	if unsupported != nil || !node.leads() {
		t.Errorf("the member stopped: %v", unsupported)
	}
}
