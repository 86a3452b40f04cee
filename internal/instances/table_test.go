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
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// TestReconcile runs the tables of heartbeats and records.
//
//	at s=N | at ms=N
//	beat machine=m endpoint=E sequence=N [started=N] [leaving] [pool=P]
//	starts: records tell from now on when machines started
//	unreachable [routers=N]: the machines that routers can't connect to, once for
//	each router, of N that are live
//	leaving: the machines that said in an answer that they are leaving
//	leader: a new leader begins now
//	reconcile: prints the commands and carries them out
func TestReconcile(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		table := NewTable()
		declared := map[string]Declared{}
		revision := uint64(0)
		input := Input{
			Declared: declared, Pools: map[string]*v1.PoolSpec{"pool": {}},
			Policy: Policy{LostAfter: 4 * time.Second, SuspectAfter: 1500 * time.Millisecond, DeadAfter: 300 * time.Millisecond, GoneAfter: 20 * time.Second, ForgetAfter: 60 * time.Second},
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
				input.RecordStarts = true
				return ""
			case "leader":
				input.Since = input.Now
				return ""
			case "beat":
				return fmt.Sprint(takeBeat(table, input, readBeat(t, d)))
			case "reconcile":
				commands := table.Reconcile(input)
				for _, command := range commands {
					revision++
					carryOut(t, declared, command, revision)
				}
				return describe(commands)
			case "records":
				return list(declared)
			}
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		})
	})
}

// takeBeat keeps a beat under the name that the records say.
func takeBeat(table *Table, input Input, report *wirepb.InstanceReport) bool {
	name := report.GetMachine()
	if input.RecordStarts {
		name = NameOf(report.GetMachine(), report.GetStartedMs(), func(name string) *v1.MachineSpec { return input.Declared[name].Spec })
	}
	return table.Add(input.Now, name, report)
}

func readBeat(t *testing.T, d *datadriven.TestData) *wirepb.InstanceReport {
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

// carryOut is the part of the state machine that matters here.
func carryOut(t *testing.T, declared map[string]Declared, command *wirepb.RegisterCommand, revision uint64) {
	if command.GetForget() {
		delete(declared, command.GetMachine())
		return
	}
	held, exists := declared[command.GetMachine()]
	if !exists {
		held.Object = &wirepb.Object{Name: command.GetMachine(), CreateRevision: revision}
		held.Spec = &v1.MachineSpec{}
		if err := json.Unmarshal(command.GetSpec(), held.Spec); err != nil {
			t.Fatal(err)
		}
	}
	if told := (&v1.MachineSpec{}); len(command.GetSpec()) > 0 && json.Unmarshal(command.GetSpec(), told) == nil && held.Spec.StartedMs == 0 {
		held.Spec.StartedMs = told.StartedMs
	}
	held.Status.Phase = v1.MachinePhase(command.GetPhase())
	declared[command.GetMachine()] = held
}

func describe(commands []*wirepb.RegisterCommand) string {
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

func list(declared map[string]Declared) string {
	var lines []string
	for name, machine := range declared {
		lines = append(lines, name+" "+string(machine.Status.Phase)+" at "+machine.Spec.Endpoint)
	}
	sort.Strings(lines)
	return strings.Join(lines, "\n")
}
