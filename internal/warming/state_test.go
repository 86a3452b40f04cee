package warming

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestState runs the data-driven tests of a router's state.
//
//	at ms=N
//	digest term=N revision=N: a line "machine [units]" for each machine
//	failure machine=M
//	warms machine=M changed=N
func TestState(t *testing.T) {
	datadriven.Walk(t, "testdata/state", func(t *testing.T, path string) {
		state := NewState()
		var now time.Duration
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "at":
				var milliseconds int
				d.ScanArgs(t, "ms", &milliseconds)
				now = time.Duration(milliseconds) * time.Millisecond
			case "digest":
				state.ApplyDigest(now, readDigest(t, d))
			case "failure":
				state.RecordFailure(now, machineOf(t, d))
			case "warms":
				var changed uint64
				d.ScanArgs(t, "changed", &changed)
				return fmt.Sprintln(state.IsWarming(now, machineOf(t, d), changed))
			default:
				t.Fatalf("unknown command %s", d.Cmd)
			}
			return ""
		})
	})
}

func machineOf(t *testing.T, d *datadriven.TestData) string {
	machine := ""
	d.ScanArgs(t, "machine", &machine)
	return machine
}

func readDigest(t *testing.T, d *datadriven.TestData) Digest {
	digest := Digest{}
	d.ScanArgs(t, "term", &digest.Term)
	d.ScanArgs(t, "revision", &digest.Revision)
	for line := range strings.Lines(d.Input) {
		fields := strings.Fields(line)
		digest.Machines = append(digest.Machines, fields[0])
		if len(fields) > 1 {
			units, err := strconv.ParseUint(fields[1], 10, 8)
			if err != nil {
				t.Fatal(err)
			}
			digest.Units = append(digest.Units, byte(units))
		}
	}
	return digest
}

// TestFailuresOfRemovedMachinesAreForgotten guards against unbounded growth as machines come and
// go.
func TestFailuresOfRemovedMachinesAreForgotten(t *testing.T) {
	state := NewState()
	state.RecordFailure(0, "gone")
	state.RecordFailure(failureHoldTime, "new")
	state.ApplyDigest(failureHoldTime, Digest{Machines: []string{"new"}, Units: []byte{0}})
	if _, found := state.failed["new"]; !found || len(state.failed) != 1 {
		t.Errorf("got failures %v, want one of new", state.failed)
	}
	if len(state.statements) != 1 || !state.IsWarming(failureHoldTime, "new", 0) {
		t.Errorf("got statements %v, want one of new, which is warming", state.statements)
	}
}
