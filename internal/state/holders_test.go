package state

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// TestHoldersLastAsLongAsTheirMachine: who was granted orders last is known after a
// restart from a snapshot, and forgotten with the machine.
func TestHoldersLastAsLongAsTheirMachine(t *testing.T) {
	apply := func(machine *Machine, command *wirepb.Command) {
		t.Helper()
		data, err := proto.Marshal(command)
		if err != nil {
			t.Fatal(err)
		}
		machine.Apply(data)
	}
	grant := func(holder string, machines ...string) *wirepb.Command {
		return &wirepb.Command{Body: &wirepb.Command_Grant{Grant: &wirepb.GrantCommand{Holder: holder, Machines: machines}}}
	}
	register := func(command *wirepb.RegisterCommand) *wirepb.Command {
		return &wirepb.Command{Body: &wirepb.Command_Register{Register: command}}
	}
	held := New()
	apply(held, register(&wirepb.RegisterCommand{Machine: "m", Phase: "Live", Spec: []byte(`{"endpoint":"http://10.0.0.1:80","zone":"z","pool":"p"}`)}))
	apply(held, grant("1", "m", "n"))
	apply(held, grant("2", "m"))
	data, err := held.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	for _, machine := range []*Machine{held, restored} {
		if machine.OrderHolder("m") != "2" || machine.OrderHolder("n") != "1" || machine.OrderHolder("o") != "" {
			t.Errorf("holders %q, %q, %q", machine.OrderHolder("m"), machine.OrderHolder("n"), machine.OrderHolder("o"))
		}
	}
	apply(restored, register(&wirepb.RegisterCommand{Machine: "m", Phase: "Gone"}))
	apply(restored, register(&wirepb.RegisterCommand{Machine: "m", Phase: "Gone", Forget: true}))
	if restored.OrderHolder("m") != "" {
		t.Errorf("a machine that is forgotten has the holder %q", restored.OrderHolder("m"))
	}
}
