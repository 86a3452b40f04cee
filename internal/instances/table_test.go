package instances

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/level"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// TestReconcile runs the scripts in testdata:
//
//	at s=N | at ms=N: sets the time
//	beat machine=M endpoint=E sequence=N [started=N] [leaving] [pool=P]: adds a heartbeat
//	starts: records contain start times from now on
//	unreachable [routers=N]: sets the machines that routers can't connect to, one entry per router,
//	  and the number of live routers
//	leaving: sets the machines that announced their shutdown in a response
//	leader: starts a new leader's term
//	reconcile: prints and applies the commands
//	records: prints the records
func TestReconcile(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		table := NewTable()
		declared := map[string]Declared{}
		revision := uint64(0)
		input := Input{
			Declared: declared, Pools: map[string]*v1.PoolSpec{"pool": {}},
			Policy: Policy{LostAfter: 4 * time.Second, SuspectAfter: 1500 * time.Millisecond, DeadAfter: 300 * time.Millisecond, GoneAfter: 20 * time.Second, AddressFreeAfter: 1250 * time.Millisecond, ForgetAfter: 60 * time.Second},
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "at":
				var seconds, milliseconds int
				d.MaybeScanArgs(t, "s", &seconds)
				d.MaybeScanArgs(t, "ms", &milliseconds)
				input.Now = time.Duration(seconds)*time.Second + time.Duration(milliseconds)*time.Millisecond
				return ""
			case "unreachable":
				input.Unreachable, input.Routers = map[string]int{}, 0
				d.MaybeScanArgs(t, "routers", &input.Routers)
				for _, name := range strings.Fields(d.Input) {
					input.Unreachable[name]++
				}
				return ""
			case "leaving":
				input.Leaving = map[string]bool{}
				for _, name := range strings.Fields(d.Input) {
					input.Leaving[name] = true
				}
				return ""
			case "starts":
				input.Level = level.MachineStarts
				return ""
			case "leader":
				input.Since = input.Now
				return ""
			case "beat":
				return fmt.Sprint(addHeartbeat(table, input, parseHeartbeat(t, d)))
			case "reconcile":
				commands := table.Reconcile(input)
				for _, command := range commands {
					revision++
					applyCommand(t, declared, command, revision)
				}
				return describeCommands(commands)
			case "records":
				return describeRecords(declared)
			}
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		})
	})
}

// addHeartbeat stores a heartbeat under the name of its record.
func addHeartbeat(table *Table, input Input, report *wirepb.InstanceReport) bool {
	name := report.GetMachine()
	if input.Level >= level.MachineStarts {
		name = NameOf(report.GetMachine(), report.GetStartedMs(), func(name string) *v1.MachineSpec { return input.Declared[name].Spec })
	}
	return table.Add(input.Now, name, report)
}

func parseHeartbeat(t *testing.T, d *datadriven.TestData) *wirepb.InstanceReport {
	report := &wirepb.InstanceReport{Pool: "pool", Zone: "z", Leaving: d.HasArg("leaving")}
	d.ScanArgs(t, "machine", &report.Machine)
	d.ScanArgs(t, "endpoint", &report.Endpoint)
	d.ScanArgs(t, "sequence", &report.Sequence)
	d.MaybeScanArgs(t, "started", &report.StartedMs)
	if d.HasArg("pool") {
		d.ScanArgs(t, "pool", &report.Pool)
	}
	return report
}

// applyCommand applies a command like the state machine.
func applyCommand(t *testing.T, declared map[string]Declared, command *wirepb.RegisterCommand, revision uint64) {
	if command.GetForget() {
		delete(declared, command.GetMachine())
		return
	}
	record, exists := declared[command.GetMachine()]
	if !exists {
		record.Object = &wirepb.Object{Name: command.GetMachine(), CreateRevision: revision}
		record.Spec = &v1.MachineSpec{}
		if err := json.Unmarshal(command.GetSpec(), record.Spec); err != nil {
			t.Fatal(err)
		}
	}
	if added := (&v1.MachineSpec{}); len(command.GetSpec()) > 0 && json.Unmarshal(command.GetSpec(), added) == nil && record.Spec.StartedMs == 0 {
		record.Spec.StartedMs = added.StartedMs
	}
	record.Status.Phase = v1.MachinePhase(command.GetPhase())
	declared[command.GetMachine()] = record
}

func describeCommands(commands []*wirepb.RegisterCommand) string {
	var lines []string
	for _, command := range commands {
		line := command.GetMachine() + " " + command.GetPhase() + ": " + command.GetReason()
		if command.GetForget() {
			line = command.GetMachine() + " forgotten"
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, "\n")
}

func describeRecords(declared map[string]Declared) string {
	var lines []string
	for name, machine := range declared {
		lines = append(lines, name+" "+string(machine.Status.Phase)+" at "+machine.Spec.Endpoint)
	}
	sort.Strings(lines)
	return strings.Join(lines, "\n")
}
