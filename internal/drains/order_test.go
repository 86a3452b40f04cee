package drains

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// drainIn returns whether a zone is drained, and the revision of its ZoneDrain.
func drainIn(machine *state.Machine, zone string) (drained bool, revision uint64) {
	spec, found := machine.Spec(v1.KindZoneDrain, zone).(*v1.ZoneDrainSpec)
	return found && spec.Drained, machine.Get(v1.KindZoneDrain, zone).GetRevision()
}

// TestZoneStatusOf: settings need not list zones, and without any machine a node can't call a zone
// unknown.
func TestZoneStatusOf(t *testing.T) {
	empty, registered := state.New(), state.New()
	spec := []byte(`{"endpoint":"http://10.0.0.1:80","zone":"m","pool":"p","slots":1}`)
	write := &wirepb.ObjectWrite{Object: &wirepb.Object{Kind: string(v1.KindMachine), Name: "machine", Spec: spec}}
	pool := &wirepb.ObjectWrite{Object: &wirepb.Object{Kind: string(v1.KindPool), Name: "p", Spec: []byte(`{}`)}}
	applyWrites(t, registered, pool, write)
	for _, check := range []struct {
		machine    *state.Machine
		configured []string
		zone       string
		want       ZoneStatus
	}{
		{empty, nil, "m", ZonesNotReported},
		{empty, []string{"z"}, "z", ZoneKnown},
		{empty, []string{"z"}, "m", ZoneUnknown},
		{registered, nil, "m", ZoneKnown},
		{registered, nil, "z", ZoneUnknown},
		{registered, nil, "", ZoneUnknown},
	} {
		if got := ZoneStatusOf(check.machine, check.configured, check.zone); got != check.want {
			t.Errorf("zone %q with configured zones %v: got %d, want %d", check.zone, check.configured, got, check.want)
		}
	}
}

func applyWrites(t interface{ Fatal(...any) }, machine *state.Machine, writes ...*wirepb.ObjectWrite) *wirepb.CommandResult {
	data, err := proto.Marshal(&wirepb.Command{Body: &wirepb.Command_Write{Write: &wirepb.WriteCommand{Writes: writes}}})
	if err != nil {
		t.Fatal(err)
	}
	return machine.Apply(data)
}

// TestLateWritesChangeNothing checks that writes of abandoned or duplicated requests that are
// committed late never replace the last acknowledged one, also after restoring a snapshot.
func TestLateWritesChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := state.New()
		var late []*wirepb.ObjectWrite
		acknowledged, any := false, false
		deliver := func(position int) {
			applyWrites(t, machine, late[position])
			late = append(late[:position], late[position+1:]...)
		}
		deliverSome := func(label string) {
			for range rapid.IntRange(0, len(late)).Draw(t, label) {
				deliver(rapid.IntRange(0, len(late)-1).Draw(t, "which"))
			}
		}
		for range rapid.IntRange(1, 12).Draw(t, "requests") {
			drained := rapid.Bool().Draw(t, "drained")
			for {
				_, revision := drainIn(machine, "z")
				write, err := NewWrite("z", drained, revision, time.Unix(0, 0))
				if err != nil {
					t.Fatal(err)
				}
				deliverSome("before the write")
				if rapid.Bool().Draw(t, "abandoned") {
					late = append(late, write)
					break
				}
				if applyWrites(t, machine, write).GetCode() == wirepb.ResultCode_RESULT_CODE_OK {
					acknowledged, any = drained, true
					// The network may deliver the write again.
					late = append(late, write)
					checkDrained(t, machine, acknowledged)
					break
				}
			}
			deliverSome("after the request")
			if rapid.Bool().Draw(t, "restart") {
				machine = restored(t, machine)
			}
		}
		// The operator's last request succeeds.
		if any {
			for {
				_, revision := drainIn(machine, "z")
				write, err := NewWrite("z", acknowledged, revision, time.Unix(0, 0))
				if err != nil {
					t.Fatal(err)
				}
				if applyWrites(t, machine, write).GetCode() == wirepb.ResultCode_RESULT_CODE_OK {
					break
				}
			}
			for len(late) > 0 {
				deliver(0)
				checkDrained(t, machine, acknowledged)
			}
			checkDrained(t, restored(t, machine), acknowledged)
		}
	})
}

func checkDrained(t *rapid.T, machine *state.Machine, want bool) {
	if drained, _ := drainIn(machine, "z"); drained != want {
		t.Fatalf("drained is %t after an acknowledged request for %t", drained, want)
	}
}

func restored(t *rapid.T, machine *state.Machine) *state.Machine {
	snapshot, err := machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	next := state.New()
	if err := next.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	return next
}
