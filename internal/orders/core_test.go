package orders

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestCore runs the tables: what engines say and answer, and which orders follow.
//
//	report machine=m [polled sequence=N] [busy]: "model: adapter adapter" a line
//	want machine=m: "load|store|unload MODEL" or "adapter|drop MODEL ADAPTER" a line
//	sent outcome=...: the outcome of all orders that have none yet
//	at ms=N: sets the time
func TestCore(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		pacer := NewPacer()
		core := NewPlanner(pacer)
		now := time.Duration(0)
		wanted := map[string]DesiredState{}
		var unanswered []Order
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "at":
				var milliseconds int
				d.ScanArgs(t, "ms", &milliseconds)
				now = time.Duration(milliseconds) * time.Millisecond
				return ""
			case "limit":
				var perSecond float64
				var text string
				d.ScanArgs(t, "rate", &text)
				_, _ = fmt.Sscan(text, &perSecond)
				pacer.Limit(perSecond)
				return ""
			case "report":
				machine, report := readReport(t, d)
				core.AddReport(now, machine, report)
				return describe(now, core, machine)
			case "want":
				entry := readWanted(t, d)
				wanted[entry.Machine] = entry
				return ""
			case "plan":
				var all []DesiredState
				for _, entry := range wanted {
					all = append(all, entry)
				}
				plan := core.Plan(now, all)
				unanswered = append(unanswered, plan.Orders...)
				return describePlan(plan)
			case "sent":
				var text string
				d.ScanArgs(t, "outcome", &text)
				for _, order := range unanswered {
					core.RecordOutcome(now, order, outcomeNamed(t, text))
				}
				unanswered = nil
				return ""
			}
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		})
	})
}

func outcomeNamed(t *testing.T, name string) Outcome {
	for outcome := Accepted; outcome <= Unknown; outcome++ {
		if outcome.String() == name {
			return outcome
		}
	}
	t.Fatalf("unknown outcome %s", name)
	return Unknown
}

func readReport(t *testing.T, d *datadriven.TestData) (string, Report) {
	var machine string
	d.ScanArgs(t, "machine", &machine)
	report := Report{Models: map[string][]string{}, Polled: d.HasArg("polled"), Busy: d.HasArg("busy")}
	if report.Polled {
		d.ScanArgs(t, "sequence", &report.Sequence)
	}
	for _, line := range strings.Split(d.Input, "\n") {
		if model, adapters, found := strings.Cut(line, ":"); found {
			report.Models[model] = strings.Fields(adapters)
		}
	}
	return machine, report
}

func readWanted(t *testing.T, d *datadriven.TestData) DesiredState {
	entry := DesiredState{}
	d.ScanArgs(t, "machine", &entry.Machine)
	for _, line := range strings.Split(d.Input, "\n") {
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		switch words[0] {
		case "load", "store":
			task := Task{Model: words[1], FromStore: words[0] == "store"}
			if len(words) > 2 {
				_, _ = fmt.Sscan(words[2], &task.Work)
			}
			entry.Load = append(entry.Load, task)
		case "unload":
			entry.Unload = append(entry.Unload, Task{Model: words[1]})
		case "adapter", "drop":
			entry.Adapters = append(entry.Adapters, AdapterTask{Model: words[1], Adapter: words[2], Drop: words[0] == "drop"})
		default:
			t.Fatalf("unknown word %s", words[0])
		}
	}
	return entry
}

func describe(now time.Duration, core *Planner, machine string) string {
	state, known := core.State(now, machine)
	if !known {
		return "nothing known"
	}
	var lines []string
	for model, adapters := range state.Models {
		lines = append(lines, strings.TrimSpace(model+": "+strings.Join(adapters, " ")))
	}
	sort.Strings(lines)
	if state.Loading != "" {
		lines = append(lines, "loading "+state.Loading)
	}
	return strings.Join(lines, "\n")
}

func describePlan(plan Plan) string {
	var lines []string
	for _, machine := range plan.Polls {
		lines = append(lines, "poll "+machine)
	}
	for _, order := range plan.Orders {
		name := order.Model
		if order.Adapter != "" {
			name += "/" + order.Adapter
		}
		lines = append(lines, fmt.Sprintf("%s: %s %s expecting %d", order.Machine, order.Operation, name, order.Expected))
	}
	if len(lines) == 0 {
		return "nothing"
	}
	return strings.Join(lines, "\n")
}

// TestPacerInEveryWindow: over any window, no more loads begin than the store
// counts, whenever they are asked for, and also across a change of leader.
func TestPacerInEveryWindow(t *testing.T) {
	const rate, window, overage, slack = 4.0, 5 * time.Second, 1.1, 3
	var begun []time.Duration
	now := time.Duration(0)
	for range 4 {
		pacer := NewPacer()
		pacer.Limit(rate)
		for end := now + 7*time.Second; now < end; now += 10 * time.Millisecond {
			if pacer.Allow(now) {
				begun = append(begun, now)
			}
		}
		now += 3 * time.Second
	}
	if len(begun) < 80 {
		t.Errorf("only %d loads were let through", len(begun))
	}
	for first, start := range begun {
		count := 0
		for _, at := range begun[first:] {
			if at < start+window {
				count++
			}
		}
		if float64(count) > rate*window.Seconds()*overage+slack {
			t.Errorf("%d loads in the window from %s", count, start)
		}
	}
}

// TestManyUnknownEnginesAreAskedInTurn: a new leader asked 1,000 engines at once, and had no
// processor left to keep its lease.
func TestManyUnknownEnginesAreAskedInTurn(t *testing.T) {
	const engines = 1000
	core := NewPlanner(NewPacer())
	var wanted []DesiredState
	for number := range engines {
		wanted = append(wanted, DesiredState{Machine: fmt.Sprintf("m%04d", number)})
	}
	asked := map[string]bool{}
	asking := core.Plan(0, wanted).Polls
	for round := 0; len(asking) > 0; round++ {
		if len(asking) > maxFirstPolls {
			t.Fatalf("%d engines are asked at a time in round %d", len(asking), round)
		}
		if again := core.Plan(0, wanted).Polls; len(again) > 0 {
			t.Fatalf("%d more are asked before the first have answered", len(again))
		}
		for position, machine := range asking {
			asked[machine] = true
			if position%2 == 0 {
				core.PollFailed(0, machine) // It is asked again later, and holds up nobody.
				continue
			}
			core.AddReport(0, machine, Report{Polled: true})
		}
		asking = core.Plan(0, wanted).Polls
	}
	if len(asked) != engines {
		t.Errorf("%d engines of %d were asked", len(asked), engines)
	}
}
