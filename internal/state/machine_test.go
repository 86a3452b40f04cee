package state

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"google.golang.org/protobuf/proto"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// TestMachine applies the commands of the tables in testdata. A write has a
// line for each object: put or delete, kind/name, perhaps @version, then the
// spec or status.
func TestMachine(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		table := &stateTable{t: t, machine: New()}
		datadriven.RunTest(t, path, table.run)
	})
}

type stateTable struct {
	t       *testing.T
	machine *Machine
	clock   int64
}

func (s *stateTable) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "write":
		command := &wirepb.Command{Body: &wirepb.Command_Write{Write: &wirepb.WriteCommand{Writes: parseWrites(t, d.Input)}}}
		d.MaybeScanArgs(t, "request", &command.RequestId)
		return s.apply(command)
	case "claim":
		return s.claims(d.Input)
	case "sweep":
		var seconds int64
		d.ScanArgs(t, "after", &seconds)
		s.clock += seconds * 1000
		s.apply(&wirepb.Command{Body: &wirepb.Command_ClaimSweep{ClaimSweep: &wirepb.ClaimSweep{}}})
		held, open := s.machine.ClaimCounts()
		return fmt.Sprintf("held %d, open %d\n", held, open)
	case "restore":
		return s.restore()
	case "events":
		var after uint64
		d.ScanArgs(t, "after", &after)
		events, err := s.machine.EventsAfter(after)
		if err != nil {
			return err.Error() + "\n"
		}
		var out strings.Builder
		for _, event := range events {
			fmt.Fprintf(&out, "%d %s/%s deleted=%t\n", event.GetObject().GetRevision(), event.GetObject().GetKind(), event.GetObject().GetName(), event.GetDeleted())
		}
		return out.String()
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

func (s *stateTable) apply(command *wirepb.Command) string {
	command.ProposedUnixMs = s.clock
	data, err := proto.Marshal(command)
	if err != nil {
		s.t.Fatal(err)
	}
	result := s.machine.Apply(data)
	var out strings.Builder
	fmt.Fprintf(&out, "%s", strings.ToLower(strings.TrimPrefix(result.GetCode().String(), "RESULT_CODE_")))
	if write := result.GetWrite(); write != nil {
		fmt.Fprintf(&out, " at %d", write.GetRevision())
		if write.GetField() != "" {
			fmt.Fprintf(&out, " (%s)", write.GetField())
		}
		if write.GetCurrentRevision() > 0 {
			fmt.Fprintf(&out, " present version %d", write.GetCurrentRevision())
		}
	}
	if result.GetMessage() != "" {
		fmt.Fprintf(&out, ": %s", result.GetMessage())
	}
	out.WriteString("\n")
	for _, claim := range result.GetClaims() {
		fmt.Fprintf(&out, "%s %s\n", strings.ToLower(strings.TrimPrefix(claim.GetState().String(), "CLAIM_STATE_")), claim.GetAnswer().GetBody())
	}
	return out.String()
}

func parseWrites(t *testing.T, input string) []*wirepb.ObjectWrite {
	var writes []*wirepb.ObjectWrite
	for _, line := range strings.Split(strings.TrimSpace(input), "\n") {
		fields := strings.SplitN(line, " ", 3)
		target, version, conditional := strings.Cut(fields[1], "@")
		kind, name, _ := strings.Cut(target, "/")
		write := &wirepb.ObjectWrite{Object: &wirepb.Object{Kind: kind, Name: name}}
		if conditional {
			expected, err := strconv.ParseUint(version, 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			write.ExpectedRevision = &expected
		}
		switch fields[0] {
		case "put":
			write.Object.Spec = []byte(fields[2])
		case "status":
			write.Operation = wirepb.ObjectWrite_OPERATION_PUT_STATUS
			write.Object.Status = []byte(fields[2])
		case "delete":
			write.Operation = wirepb.ObjectWrite_OPERATION_DELETE
		default:
			t.Fatalf("unknown write %s", fields[0])
		}
		writes = append(writes, write)
	}
	return writes
}

// claims applies one operation a line: open, complete, not-run or unknown,
// then key, owner and perhaps the request's fingerprint or the answer.
func (s *stateTable) claims(input string) string {
	operations := map[string]wirepb.ClaimCommand_Operation{
		"open": wirepb.ClaimCommand_OPERATION_OPEN, "complete": wirepb.ClaimCommand_OPERATION_COMPLETE,
		"not-run": wirepb.ClaimCommand_OPERATION_NOT_RUN, "unknown": wirepb.ClaimCommand_OPERATION_UNKNOWN,
	}
	batch := &wirepb.ClaimBatch{}
	for _, line := range strings.Split(strings.TrimSpace(input), "\n") {
		fields := strings.Fields(line)
		claim := &wirepb.ClaimCommand{Operation: operations[fields[0]], Key: fields[1], Owner: fields[2], DeadlineUnixMs: s.clock + 10_000}
		if len(fields) > 3 {
			claim.Fingerprint = uint64(len(fields[3]))
			claim.Answer = &wirepb.RecordedAnswer{Status: 200, Body: []byte(fields[3])}
		}
		batch.Claims = append(batch.Claims, claim)
	}
	return s.apply(&wirepb.Command{Body: &wirepb.Command_Claims{Claims: batch}})
}

// restore replaces the state by its own snapshot, which must not differ.
func (s *stateTable) restore() string {
	before, err := s.machine.Snapshot()
	if err != nil {
		s.t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(before); err != nil {
		s.t.Fatal(err)
	}
	after, err := restored.Snapshot()
	if err != nil {
		s.t.Fatal(err)
	}
	s.machine = restored
	return fmt.Sprintf("same snapshot: %t, %d replicas on m\n", bytes.Equal(before, after), len(restored.replicasOn["m"]))
}

// TestMachineStatusFollowsItsObject checks the decoded copy.
func TestMachineStatusFollowsItsObject(t *testing.T) {
	table := &stateTable{t: t, machine: New()}
	table.apply(&wirepb.Command{Body: &wirepb.Command_Write{Write: &wirepb.WriteCommand{Writes: parseWrites(t,
		`put Machine/m {"endpoint":"http://127.0.0.1:1","zone":"z","accelerators":1,"acceleratorBytes":100}
status Machine/m {"phase":"Live","incarnation":7}`)}}})
	if status := table.machine.MachineStatus("m"); status.Phase != v1.MachineLive || status.Incarnation != 7 {
		t.Errorf("%+v", status)
	}
	table.restore()
	if status := table.machine.MachineStatus("m"); status.Phase != v1.MachineLive {
		t.Errorf("after a restore: %+v", status)
	}
	table.apply(&wirepb.Command{Body: &wirepb.Command_Write{Write: &wirepb.WriteCommand{Writes: parseWrites(t, "delete Machine/m")}}})
	if status := table.machine.MachineStatus("m"); status.Phase != "" {
		t.Errorf("after the deletion: %+v", status)
	}
}
