package state

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// TestMain fixes the seed to make the results reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestRandomCommands applies random replica writes, some of them stale. No accelerator may be
// overcommitted, no model may exceed its replicas, revisions must not decrease, a rejected command
// must change nothing, and a restored copy must stay identical.
func TestRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := New()
		mustApply(t, machine, &wirepb.WriteCommand{Writes: []*wirepb.ObjectWrite{
			written("Machine", "m0", `{"endpoint":"http://127.0.0.1:1","zone":"z","accelerators":2,"acceleratorBytes":100}`),
			written("Machine", "m1", `{"endpoint":"http://127.0.0.1:2","zone":"z","accelerators":1,"acceleratorBytes":100}`),
			status("m0", `{"phase":"Live","incarnation":1}`), status("m1", `{"phase":"Live","incarnation":1}`),
			written("Model", "a", `{"maxReplicas":1}`), written("Model", "b", `{"maxReplicas":3}`),
		}})
		twin := copyMachine(t, machine)
		steps := rapid.IntRange(1, 40).Draw(t, "steps")
		for range steps {
			command := &wirepb.Command{
				RequestId: rapid.SampledFrom([]string{"", "", "r1", "r2"}).Draw(t, "request"),
				Body:      &wirepb.Command_Write{Write: &wirepb.WriteCommand{Writes: drawWrites(t, machine)}},
			}
			checkApply(t, machine, twin, command)
		}
	})
}

func checkApply(t *rapid.T, machine, twin *Machine, command *wirepb.Command) {
	before, revision := snapshotOf(t, machine), machine.Revision()
	data, err := proto.Marshal(command)
	if err != nil {
		t.Fatal(err)
	}
	result, again := machine.Apply(data), twin.Apply(data)
	if !proto.Equal(result, again) || !bytes.Equal(snapshotOf(t, machine), snapshotOf(t, twin)) {
		t.Fatalf("the copy returned %v, want %v", again, result)
	}
	refused := result.GetCode() != wirepb.ResultCode_RESULT_CODE_OK
	if refused && command.GetRequestId() == "" && !bytes.Equal(before, snapshotOf(t, machine)) {
		t.Fatalf("rejected with %v, but the state changed", result)
	}
	if machine.Revision() < revision || refused && machine.Revision() != revision {
		t.Fatalf("revision %d, then %d", revision, machine.Revision())
	}
	checkReplicas(t, machine)
}

// drawWrites draws one or two replica writes, unconditional or with a current or stale
// expected revision.
func drawWrites(t *rapid.T, machine *Machine) []*wirepb.ObjectWrite {
	var writes []*wirepb.ObjectWrite
	for range rapid.IntRange(1, 2).Draw(t, "writes") {
		name := fmt.Sprintf("r%d", rapid.IntRange(0, 5).Draw(t, "replica"))
		spec := fmt.Sprintf(`{"model":%q,"version":"v","machine":%q,"incarnation":1,"accelerators":[%d],"bytesPerAccelerator":%d,"phase":%q}`,
			rapid.SampledFrom([]string{"a", "b"}).Draw(t, "model"), rapid.SampledFrom([]string{"m0", "m1"}).Draw(t, "machine"),
			rapid.IntRange(0, 1).Draw(t, "accelerator"), rapid.IntRange(1, 70).Draw(t, "bytes"),
			rapid.SampledFrom([]v1.ReplicaPhase{v1.ReplicaLoading, v1.ReplicaReady, v1.ReplicaUnloading}).Draw(t, "phase"))
		write := written("Replica", name, spec)
		if held := machine.Get(v1.KindReplica, name); held != nil {
			// A replica never moves to another machine.
			write.Object.Spec = held.GetSpec()
		}
		if rapid.IntRange(0, 3).Draw(t, "deletes") == 0 {
			write.Operation = wirepb.ObjectWrite_OPERATION_DELETE
		}
		if rapid.Bool().Draw(t, "conditional") {
			expected := uint64(rapid.IntRange(0, int(machine.Revision())).Draw(t, "expected"))
			write.ExpectedRevision = &expected
		}
		writes = append(writes, write)
	}
	return writes
}

func checkReplicas(t *rapid.T, machine *Machine) {
	reserved := map[string]int64{}
	counted := map[string]int{}
	machine.Each(func(_ *wirepb.Object, spec v1.Spec) {
		replica, isReplica := spec.(*v1.ReplicaSpec)
		if !isReplica {
			return
		}
		for _, accelerator := range replica.Accelerators {
			reserved[fmt.Sprintf("%s/%d", replica.Machine, accelerator)] += replica.BytesPerAccelerator
		}
		if replica.Phase != v1.ReplicaUnloading {
			counted[replica.Model]++
		}
	})
	for accelerator, bytes := range reserved {
		if bytes > 100 || accelerator == "m1/1" {
			t.Fatalf("%d bytes reserved on %s", bytes, accelerator)
		}
	}
	if counted["a"] > 1 || counted["b"] > 3 {
		t.Fatalf("%v replicas", counted)
	}
}

func written(kind, name, spec string) *wirepb.ObjectWrite {
	return &wirepb.ObjectWrite{Object: &wirepb.Object{Kind: kind, Name: name, Spec: []byte(spec)}}
}

func status(name, content string) *wirepb.ObjectWrite {
	return &wirepb.ObjectWrite{
		Operation: wirepb.ObjectWrite_OPERATION_PUT_STATUS,
		Object:    &wirepb.Object{Kind: string(v1.KindMachine), Name: name, Status: []byte(content)},
	}
}

func mustApply(t *rapid.T, machine *Machine, write *wirepb.WriteCommand) {
	data, err := proto.Marshal(&wirepb.Command{Body: &wirepb.Command_Write{Write: write}})
	if err != nil {
		t.Fatal(err)
	}
	if result := machine.Apply(data); result.GetCode() != wirepb.ResultCode_RESULT_CODE_OK {
		t.Fatal(result)
	}
}

func snapshotOf(t *rapid.T, machine *Machine) []byte {
	data, err := machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func copyMachine(t *rapid.T, machine *Machine) *Machine {
	copied := New()
	if err := copied.Restore(snapshotOf(t, machine)); err != nil {
		t.Fatal(err)
	}
	return copied
}
