package state

import (
	"bytes"
	"encoding/base64"
	"os"
	"strconv"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/level"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

func raise(t *testing.T, machine *Machine, to level.Level) {
	t.Helper()
	apply(t, machine, &wirepb.Command{Body: &wirepb.Command_RaiseLevel{RaiseLevel: &wirepb.RaiseLevelCommand{Level: uint32(to)}}})
}

// TestLevelOnlyGrows also checks that a snapshot carries the level.
func TestLevelOnlyGrows(t *testing.T) {
	machine := New()
	for _, to := range []level.Level{level.None, level.MachineStarts, level.None} {
		raise(t, machine, to)
	}
	if machine.Level() != level.MachineStarts || machine.Unsupported() != nil {
		t.Errorf("level %d, %v", machine.Level(), machine.Unsupported())
	}
	data, err := machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	copied := New()
	if err := copied.Restore(data); err != nil || copied.Level() != level.MachineStarts {
		t.Errorf("a copy is at level %d, %v", copied.Level(), err)
	}
}

// TestUnsupportedInput applies a command, a level and a snapshot of a later release. Members that
// skipped them would diverge from the others.
func TestUnsupportedInput(t *testing.T) {
	unknown := New()
	apply(t, unknown, &wirepb.Command{ProposedUnixMs: 5})
	if !fault.Is(unknown.Unsupported(), fault.Protocol) {
		t.Errorf("an unknown command: %v", unknown.Unsupported())
	}
	above := New()
	raise(t, above, level.Supported+1)
	if !fault.Is(above.Unsupported(), fault.Protocol) || above.Level() != level.None {
		t.Errorf("an unknown level: %v, level %d", above.Unsupported(), above.Level())
	}
	encoded, err := proto.Marshal(&wirepb.StateSnapshot{Level: uint32(level.Supported) + 1, Revision: 9})
	if err != nil {
		t.Fatal(err)
	}
	machine := New()
	if err := machine.Restore(encoded); !fault.Is(err, fault.Protocol) || machine.Revision() != 0 {
		t.Errorf("a snapshot of an unknown level: %v, revision %d", err, machine.Revision())
	}
}

// TestSnapshotBelowLevel checks that snapshots keep the previous release's encoding until the
// level is raised.
func TestSnapshotBelowLevel(t *testing.T) {
	machine := New()
	registerStart(t, machine, "m", 0)
	data, err := machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if bytes.Contains(data, []byte("startedMs")) {
		t.Error("a snapshot below the level holds a start time")
	}
	snapshot := &wirepb.StateSnapshot{}
	if err := proto.Unmarshal(data, snapshot); err != nil || snapshot.GetLevel() != 0 {
		t.Errorf("%v, level %d", err, snapshot.GetLevel())
	}
}

func registerStart(t *testing.T, machine *Machine, name string, startedMs int64) {
	t.Helper()
	spec := declared(t, v1.KindMachine, name, &v1.MachineSpec{
		Endpoint: "http://10.0.0.1:80", Zone: "z", Pool: "p", Slots: 4, StartedMs: startedMs,
	}).GetSpec()
	result := apply(t, machine, &wirepb.Command{Body: &wirepb.Command_Register{Register: &wirepb.RegisterCommand{
		Machine: name, Spec: spec, Phase: string(v1.MachineLive), Reason: "registered",
	}}})
	if result.GetCode() != wirepb.ResultCode_RESULT_CODE_OK {
		t.Fatal(result.GetMessage())
	}
}

// TestStartTimeIsRecordedOnce also checks that it is not recorded before the level is raised.
func TestStartTimeIsRecordedOnce(t *testing.T) {
	machine := New()
	started := func() int64 {
		spec, _ := machine.Spec(v1.KindMachine, "m").(*v1.MachineSpec)
		return spec.StartedMs
	}
	registerStart(t, machine, "m", 0)
	registerStart(t, machine, "m", 1000)
	if started() != 0 {
		t.Errorf("below the level the record has the start time %d", started())
	}
	raise(t, machine, level.MachineStarts)
	registerStart(t, machine, "m", 1000)
	registerStart(t, machine, "m", 2000)
	if started() != 1000 {
		t.Errorf("the record has the start time %d", started())
	}
	object := machine.Get(v1.KindMachine, "m")
	if !strings.Contains(string(object.GetSpec()), `"slots":4`) || machine.MachineStatus("m").Phase != v1.MachineLive {
		t.Errorf("the rest of the record changed: %s, %s", object.GetSpec(), object.GetStatus())
	}
}

// TestSoftwareIsRecordedOnce also checks that it is not recorded before the level is raised.
func TestSoftwareIsRecordedOnce(t *testing.T) {
	machine := New()
	register := func(software string) string {
		spec := declared(t, v1.KindMachine, "m", &v1.MachineSpec{
			Endpoint: "http://10.0.0.1:80", Zone: "z", Pool: "p", Slots: 4, StartedMs: 1000, Software: software,
		}).GetSpec()
		apply(t, machine, &wirepb.Command{Body: &wirepb.Command_Register{Register: &wirepb.RegisterCommand{
			Machine: "m", Spec: spec, Phase: string(v1.MachineLive), Reason: "registered",
		}}})
		recorded, _ := machine.Spec(v1.KindMachine, "m").(*v1.MachineSpec)
		return recorded.Software
	}
	raise(t, machine, level.MachineStarts)
	register("")
	if software := register("v1"); software != "" {
		t.Errorf("below the level the record has the software %q", software)
	}
	raise(t, machine, level.MachineSoftware)
	register("v1")
	if software := register("v2"); software != "v1" {
		t.Errorf("the record has the software %q", software)
	}
}

// TestLogOfPreviousRelease replays a recorded log of the previous release. Revisions, results and
// the snapshot must be identical, or members diverge during a rolling upgrade.
func TestLogOfPreviousRelease(t *testing.T) {
	recorded, err := os.ReadFile("recorded/before-levels")
	if err != nil {
		t.Fatal(err)
	}
	machine, commands := New(), 0
	for number, line := range strings.Split(strings.TrimSpace(string(recorded)), "\n") {
		fields := strings.Fields(line)
		switch {
		case strings.HasPrefix(line, "#"):
		case fields[0] == "snapshot":
			compareSnapshot(t, machine, fields[1])
		default:
			commands++
			result := machine.Apply(decode(t, fields[0]))
			if revision := strconv.FormatUint(machine.Revision(), 10); revision != fields[1] || result.GetCode().String() != fields[2] {
				t.Errorf("line %d: revision %s, %s; recorded %s, %s", number+1, revision, result.GetCode(), fields[1], fields[2])
			}
		}
	}
	if commands < 10 || machine.Unsupported() != nil {
		t.Errorf("%d commands, %v", commands, machine.Unsupported())
	}
}

func decode(t *testing.T, text string) []byte {
	t.Helper()
	data, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func compareSnapshot(t *testing.T, machine *Machine, recorded string) {
	t.Helper()
	own, err := machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(own, decode(t, recorded)) {
		t.Error("the snapshot differs")
	}
	restored := New()
	if err := restored.Restore(decode(t, recorded)); err != nil {
		t.Fatal(err)
	}
	if again, err := restored.Snapshot(); err != nil || !bytes.Equal(again, own) {
		t.Errorf("the restored snapshot differs: %v", err)
	}
}
