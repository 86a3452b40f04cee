package controller

import (
	"testing"
	"time"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

func report(node string, incarnation, sequence, arrivals uint64, machines ...*wirepb.MachineReport) *wirepb.NodeReport {
	return &wirepb.NodeReport{
		Node: node, Incarnation: incarnation, Sequence: sequence, Machines: machines,
		Demand: []*wirepb.ModelDemand{{Version: "v", Arrivals: arrivals}},
	}
}

// Counters must be summed correctly over lost, late and repeated reports and over restarts of a node.
func TestArrivalsAreCountedOnce(t *testing.T) {
	table := NewReportTable()
	for _, step := range []struct {
		report *wirepb.NodeReport
		total  uint64
	}{
		{report("a", 1, 1, 5), 5},
		{report("b", 1, 1, 2), 7},
		{report("a", 1, 3, 9), 11}, // The second report was lost.
		{report("a", 1, 2, 7), 11}, // It arrives late.
		{report("a", 1, 3, 9), 11},
		{report("a", 2, 1, 1), 12}, // The node restarted.
		{report("a", 1, 9, 50), 12},
	} {
		table.Add(0, step.report)
		if total := table.arrivalCounts()["v"]; total.arrivals != step.total {
			t.Errorf("after %v: %d arrivals, want %d", step.report, total, step.total)
		}
	}
}

// The first report of a long-running router must not count its total work as new.
func TestFirstReportSetsBaseline(t *testing.T) {
	table := NewReportTable()
	for _, step := range []struct {
		incarnation, sequence, arrivals, work, total uint64
	}{
		{1, 70, 500, 90_000, 0},
		{1, 71, 501, 90_300, 300},
		{1, 73, 504, 91_000, 1000},
		{2, 1, 2, 400, 1400}, // The node restarted.
	} {
		taken := report("a", step.incarnation, step.sequence, step.arrivals)
		taken.Demand[0].Work = step.work
		table.Add(0, taken)
		if total := table.arrivalCounts()["v"].work; total != step.total {
			t.Errorf("after %v: work %d, want %d", taken, total, step.total)
		}
	}
}

// The newest observation of a machine wins, regardless of the reporting agent.
func TestNewestMachineReportWins(t *testing.T) {
	table := NewReportTable()
	fresh := &wirepb.MachineReport{Machine: "m", Reachable: true, Incarnation: 2}
	stale := &wirepb.MachineReport{Machine: "m", Reachable: true, Incarnation: 1, AgeMs: 5000}
	table.Add(10*time.Second, report("a", 1, 1, 0, fresh))
	table.Add(10*time.Second, report("b", 1, 1, 0, stale))
	_, machines := table.snapshot(10 * time.Second)
	if incarnation := machines["m"].report.GetIncarnation(); incarnation != 2 {
		t.Errorf("incarnation %d", incarnation)
	}
	silent := &wirepb.MachineReport{Machine: "m"}
	table.Add(20*time.Second, report("a", 1, 2, 0, silent))
	_, machines = table.snapshot(20 * time.Second)
	if entry := machines["m"]; entry.report.GetIncarnation() != 2 || entry.lastReachable != 10*time.Second {
		t.Errorf("a report on an unreachable engine replaced its last report: %+v", entry)
	}
}

func TestExpiredEntriesAreRemoved(t *testing.T) {
	table := NewReportTable()
	table.Add(0, report("a", 1, 1, 0, &wirepb.MachineReport{Machine: "m", Reachable: true}))
	if nodes, machines := table.snapshot(entryRetention); len(nodes) != 1 || len(machines) != 1 {
		t.Errorf("entries expired too soon: %v, %v", nodes, machines)
	}
	if nodes, machines := table.snapshot(entryRetention + time.Second); len(nodes) != 0 || len(machines) != 0 {
		t.Errorf("entries did not expire: %v, %v", nodes, machines)
	}
	if len(table.machines)+len(table.nodes)+len(table.counted) != 0 {
		t.Error("expired entries remain in the tables")
	}
}

// Answers are summed over routers despite lost, repeated and late reports and restarts, and decay over
// time.
func TestAnswersAreSummedOverRouters(t *testing.T) {
	table := NewReportTable()
	now := time.Second
	report := func(node string, incarnation, sequence, answered, errors uint64) {
		table.Add(now, &wirepb.NodeReport{
			Node: node, Incarnation: incarnation, Sequence: sequence, Router: true,
			Answers: []*wirepb.MachineAnswers{{Machine: "m", Answered: answered, Errors: errors}},
		})
	}
	check := func(what string, answered, errors uint32) {
		t.Helper()
		total, failed := table.Answers(now)
		if total["m"] != answered || failed["m"] != errors {
			t.Errorf("%s: %d answers and %d errors, want %d and %d", what, total["m"], failed["m"], answered, errors)
		}
	}
	report("a", 1, 1, 100, 50)
	check("first report", 0, 0)
	report("a", 1, 2, 110, 55)
	report("b", 1, 1, 0, 0)
	report("b", 1, 4, 10, 0) // Two reports were lost.
	check("two routers", 20, 5)
	report("b", 1, 4, 10, 0)
	report("b", 1, 3, 5, 0)
	check("late and repeated", 20, 5)
	report("a", 2, 1, 2, 1)
	check("a router that has restarted", 22, 6)
	now += 20 * answerDecayTime
	check("decayed", 0, 0)
}
