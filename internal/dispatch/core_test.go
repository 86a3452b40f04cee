package dispatch

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/weldline/weldline/internal/ratelimit"
)

// dispatchTable drives a Core by hand. Requests are numbered; their properties
// are key=value; times are seconds since the beginning.
type dispatchTable struct {
	t        *testing.T
	core     *Scheduler
	now      time.Time
	requests map[uint64]*Request
	grants   map[uint64]Grant
}

var beginning = time.Unix(0, 0)

func TestCore(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		table := &dispatchTable{t: t}
		datadriven.RunTest(t, path, table.run)
	})
}

func (d *dispatchTable) run(t *testing.T, data *datadriven.TestData) string {
	var out strings.Builder
	switch data.Cmd {
	case "new":
		config := Config{MaxWaiting: 100}
		data.MaybeScanArgs(t, "max", &config.MaxWaiting)
		data.MaybeScanArgs(t, "round-robin", &config.RoundRobin)
		config.LeastWork = data.HasArg("by-work")
		d.core, d.now = New(config), beginning
		d.requests, d.grants = map[uint64]*Request{}, map[uint64]Grant{}
	case "at":
		var seconds float64
		data.ScanArgs(t, "s", &seconds)
		d.now = beginning.Add(time.Duration(seconds * float64(time.Second)))
		d.report(&out, d.core.Tick(d.now))
	case "demand":
		for _, demand := range d.core.Demand(d.now) {
			fmt.Fprintf(&out, "%s waiting=%d running=%d arrivals=%d oldest=%s priority=%d\n",
				demand.Version, demand.Waiting, demand.Running, demand.Arrivals, demand.OldestWait, demand.Priority)
		}
	default:
		for _, line := range strings.Split(strings.TrimSpace(data.Input), "\n") {
			d.step(&out, data.Cmd, line)
		}
		if data.Cmd == "targets" {
			d.setTargets(&out, data.Input)
		}
	}
	if out.Len() == 0 {
		return "nothing\n"
	}
	return out.String()
}

func (d *dispatchTable) step(out *strings.Builder, command, line string) {
	name, properties, _ := strings.Cut(line, " ")
	id, _ := strconv.ParseUint(name, 10, 64)
	values := map[string]string{}
	for _, property := range strings.Fields(properties) {
		key, value, _ := strings.Cut(property, "=")
		values[key] = value
	}
	number := func(key string) float64 {
		value, _ := strconv.ParseFloat(values[key], 64)
		return value
	}
	seconds := func(key string) time.Time {
		return beginning.Add(time.Duration(number(key) * float64(time.Second)))
	}
	switch command {
	case "submit":
		request := &Request{
			ID: id, Version: values["version"], Adapter: values["adapter"], Priority: int32(number("priority")),
			PrefixHash: uint64(number("prefix")), Arrived: d.now, Deadline: seconds("deadline"),
		}
		if values["patience"] != "" {
			request.QueueDeadline = seconds("patience")
		}
		d.requests[id] = request
		d.report(out, d.core.Submit(d.now, request))
	case "resubmit":
		d.requests[id].Avoid = values["avoid"]
		d.report(out, d.core.Resubmit(d.now, d.requests[id]))
	case "release":
		result := map[string]Result{"": ResultOK, "not-run": ResultNotRun, "rejected": ResultRejected, "not-sent": ResultNotSent, "failed": ResultFailed}[values["result"]]
		d.report(out, d.core.Release(d.now, d.grants[id], result))
	case "cancel":
		d.core.Cancel(d.requests[id])
	case "loads":
		d.report(out, d.core.SetLoads(d.now, map[string]int{name: int(number("running"))}, max(1, int(number("routers")))))
	case "estimate":
		estimate := &Estimate{ReadyAt: seconds("ready"), EarliestAt: seconds("ready"), Refused: values["refused"] != "", Reason: values["refused"]}
		if values["earliest"] != "" {
			estimate.EarliestAt = seconds("earliest")
		}
		d.report(out, d.core.SetEstimates(d.now, map[string]*Estimate{name: estimate}))
	case "warming":
		d.core.SetWarming(map[string]bool{name: true})
	case "limited":
		limited := map[string]ratelimit.Limit{}
		if values["limit"] != "" {
			limited[name] = ratelimit.NewLimit(number("limit"))
		}
		d.core.SetLimited(limited)
	case "hold-warming":
		d.core.HoldPermitMachines(seconds("until"))
	case "rest":
		d.report(out, d.core.BackOff(d.now, name, time.Duration(number("s")*float64(time.Second))))
	case "leave":
		outcome, changed := d.core.MarkLeaving(d.now, name)
		fmt.Fprintf(out, "changed=%t\n", changed)
		d.report(out, outcome)
	case "retain":
		isListed := func(machine string) bool { return machine == name }
		d.core.RetainBackoffs(d.now, isListed)
		d.core.RetainLeaving(d.now, isListed)
		fmt.Fprintf(out, "leaving: %s\n", strings.Join(d.core.LeavingMachines(), " "))
	case "started":
		d.core.MarkStarted(d.grants[id])
	case "may-write":
		fmt.Fprintf(out, "%t\n", d.core.MayWrite(d.now, d.grants[id]))
	case "hold":
		d.core.Hold(d.now, name, seconds("until"))
	case "targets":
	default:
		d.t.Fatalf("unknown command %s", command)
	}
}

// setTargets reads one target a line: replica, version, machine, most at once, and words for one
// in a drained zone, for one that can't be loaded elsewhere and for one that is suspect.
func (d *dispatchTable) setTargets(out *strings.Builder, input string) {
	changes := TargetChanges{Full: true}
	for _, line := range strings.Split(strings.TrimSpace(input), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 4 {
			continue
		}
		most, _ := strconv.Atoi(fields[3])
		target := Target{
			Replica: fields[0], Version: fields[1], Machine: fields[2], MaxConcurrent: most, Fixed: slices.Contains(fields, "fixed"),
			Suspect: slices.Contains(fields, "suspect"),
		}
		if slices.Contains(fields, "drained") {
			changes.Drained = append(changes.Drained, target)
		} else {
			changes.Targets = append(changes.Targets, target)
		}
	}
	d.report(out, d.core.ChangeTargets(d.now, changes))
}

func (d *dispatchTable) report(out *strings.Builder, outcome Outcome) {
	for _, grant := range outcome.Grants {
		d.grants[grant.Request.ID] = grant
		fmt.Fprintf(out, "%d goes to %s cold=%t\n", grant.Request.ID, grant.Target.Replica, grant.Waited)
	}
	for _, refusal := range outcome.Refusals {
		fmt.Fprintf(out, "%d refused: %s (%s) retry after %s\n", refusal.Request.ID, refusal.Reason, refusal.Detail, refusal.RetryAfter)
	}
}
