package orders

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestPlanner runs the scripts in testdata:
//
//	report machine=M [polled sequence=N] [busy]: adds a report; each line of input is "MODEL: ADAPTER..."
//	want machine=M: sets the desired state by lines "load|store|unload MODEL" and "adapter|drop MODEL ADAPTER"
//	plan: prints the orders and polls that are due
//	sent outcome=O: records the outcome of all open orders
//	limit rate=N: sets the rate of the weight store
//	at ms=N: sets the time
func TestPlanner(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		pacer := NewPacer()
		planner := NewPlanner(pacer)
		now := time.Duration(0)
		desired := map[string]DesiredState{}
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
				planner.AddReport(now, machine, report)
				return describe(now, planner, machine)
			case "want":
				entry := readWanted(t, d)
				desired[entry.Machine] = entry
				return ""
			case "plan":
				var all []DesiredState
				for _, entry := range desired {
					all = append(all, entry)
				}
				plan := planner.Plan(now, all)
				unanswered = append(unanswered, plan.Orders...)
				return describePlan(plan)
			case "sent":
				var text string
				d.ScanArgs(t, "outcome", &text)
				for _, order := range unanswered {
					planner.RecordOutcome(now, order, outcomeNamed(t, text))
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

func describe(now time.Duration, planner *Planner, machine string) string {
	state, known := planner.State(now, machine)
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

// The rate limit must hold in every window, also across changes of leader.
func TestPacerLimitsEveryWindow(t *testing.T) {
	const rate, window, overage, slack = 4.0, 5 * time.Second, 1.1, 3
	var starts []time.Duration
	now := time.Duration(0)
	for range 4 {
		pacer := NewPacer()
		pacer.Limit(rate)
		for end := now + 7*time.Second; now < end; now += 10 * time.Millisecond {
			if pacer.Allow(now) {
				starts = append(starts, now)
			}
		}
		now += 3 * time.Second
	}
	if len(starts) < 80 {
		t.Errorf("only %d loads were allowed", len(starts))
	}
	for first, start := range starts {
		count := 0
		for _, at := range starts[first:] {
			if at < start+window {
				count++
			}
		}
		if float64(count) > rate*window.Seconds()*overage+slack {
			t.Errorf("%d loads in the window from %s", count, start)
		}
	}
}

// A new leader of a large fleet must not poll all engines at once.
func TestFirstPollsAreLimited(t *testing.T) {
	const engines = 1000
	planner := NewPlanner(NewPacer())
	var desired []DesiredState
	for number := range engines {
		desired = append(desired, DesiredState{Machine: fmt.Sprintf("m%04d", number)})
	}
	polled := map[string]bool{}
	polls := planner.Plan(0, desired).Polls
	for round := 0; len(polls) > 0; round++ {
		if len(polls) > maxFirstPolls {
			t.Fatalf("%d concurrent polls in round %d", len(polls), round)
		}
		if again := planner.Plan(0, desired).Polls; len(again) > 0 {
			t.Fatalf("%d more polls before the first were answered", len(again))
		}
		for position, machine := range polls {
			polled[machine] = true
			if position%2 == 0 {
				planner.PollFailed(0, machine) // A failed poll is retried later and does not block the others.
				continue
			}
			planner.AddReport(0, machine, Report{Polled: true})
		}
		polls = planner.Plan(0, desired).Polls
	}
	if len(polled) != engines {
		t.Errorf("%d of %d engines were polled", len(polled), engines)
	}
}
