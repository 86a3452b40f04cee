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

// schedulerTest runs the data-driven tests in testdata. Requests are numbered, their properties
// are key=value pairs, and times are seconds since the epoch.
type schedulerTest struct {
	t         *testing.T
	scheduler *Scheduler
	now       time.Time
	requests  map[uint64]*Request
	grants    map[uint64]Grant
}

var epoch = time.Unix(0, 0)

func TestScheduler(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		test := &schedulerTest{t: t}
		datadriven.RunTest(t, path, test.run)
	})
}

func (s *schedulerTest) run(t *testing.T, data *datadriven.TestData) string {
	var out strings.Builder
	switch data.Cmd {
	case "new":
		config := Config{MaxWaiting: 100}
		data.MaybeScanArgs(t, "max", &config.MaxWaiting)
		data.MaybeScanArgs(t, "round-robin", &config.RoundRobin)
		config.LeastWork = data.HasArg("by-work")
		s.scheduler, s.now = New(config), epoch
		s.requests, s.grants = map[uint64]*Request{}, map[uint64]Grant{}
	case "at":
		var seconds float64
		data.ScanArgs(t, "s", &seconds)
		s.now = epoch.Add(time.Duration(seconds * float64(time.Second)))
		if !data.HasArg("before-tick") {
			s.report(&out, s.scheduler.Tick(s.now))
		}
	case "demand":
		for _, demand := range s.scheduler.Demand(s.now) {
			fmt.Fprintf(&out, "%s waiting=%d running=%d arrivals=%d oldest=%s priority=%d\n",
				demand.Version, demand.Waiting, demand.Running, demand.Arrivals, demand.OldestWait, demand.Priority)
		}
	default:
		for _, line := range strings.Split(strings.TrimSpace(data.Input), "\n") {
			s.step(&out, data.Cmd, line)
		}
		if data.Cmd == "targets" {
			s.setTargets(&out, data.Input)
		}
	}
	if out.Len() == 0 {
		return "nothing\n"
	}
	return out.String()
}

func (s *schedulerTest) step(out *strings.Builder, command, line string) {
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
		return epoch.Add(time.Duration(number(key) * float64(time.Second)))
	}
	switch command {
	case "submit":
		request := &Request{
			ID: id, Version: values["version"], Adapter: values["adapter"], Priority: int32(number("priority")),
			PrefixHash: uint64(number("prefix")), Arrived: s.now, Deadline: seconds("deadline"),
		}
		request.Forwardable, request.Forwarded = values["forwardable"] != "", values["forwarded"] != ""
		if values["patience"] != "" {
			request.QueueDeadline = seconds("patience")
		}
		s.requests[id] = request
		s.report(out, s.scheduler.Submit(s.now, request))
	case "paths":
		unreachable := map[string]bool{}
		for machine := range strings.SplitSeq(values["down"], "+") {
			unreachable[machine] = true
		}
		delete(unreachable, "")
		s.report(out, s.scheduler.SetPaths(s.now, unreachable, name == "isolated"))
	case "resubmit":
		s.requests[id].Avoid = values["avoid"]
		if values["tried"] != "" {
			s.requests[id].TriedMachines = strings.Split(values["tried"], "+")
		}
		s.requests[id].Forwardable = values["forwardable"] != ""
		s.report(out, s.scheduler.Resubmit(s.now, s.requests[id]))
	case "release":
		result := map[string]Result{"": ResultOK, "not-run": ResultNotRun, "rejected": ResultRejected, "not-sent": ResultNotSent, "failed": ResultFailed, "unreachable": ResultUnreachable}[values["result"]]
		s.report(out, s.scheduler.Release(s.now, s.grants[id], result))
	case "cancel":
		s.scheduler.Cancel(s.requests[id])
	case "loads":
		s.report(out, s.scheduler.SetLoads(s.now, map[string]int{name: int(number("running"))}, max(1, int(number("routers")))))
	case "estimate":
		estimate := &Estimate{ReadyAt: seconds("ready"), EarliestAt: seconds("ready"), Refused: values["refused"] != "", Reason: values["refused"]}
		if values["earliest"] != "" {
			estimate.EarliestAt = seconds("earliest")
		}
		s.report(out, s.scheduler.SetEstimates(s.now, map[string]*Estimate{name: estimate}))
	case "warming":
		s.scheduler.SetWarming(map[string]bool{name: true})
	case "limited":
		limited := map[string]ratelimit.Limit{}
		if values["limit"] != "" {
			limited[name] = ratelimit.NewLimit(number("limit"))
		}
		s.scheduler.SetLimited(limited)
	case "hold-warming":
		s.scheduler.HoldPermitMachines(seconds("until"))
	case "rest":
		s.report(out, s.scheduler.BackOff(s.now, name, time.Duration(number("s")*float64(time.Second))))
	case "leave":
		outcome, changed := s.scheduler.MarkLeaving(s.now, name)
		fmt.Fprintf(out, "changed=%t\n", changed)
		s.report(out, outcome)
	case "retain":
		isListed := func(machine string) bool { return machine == name }
		s.scheduler.RetainBackoffs(s.now, isListed)
		s.scheduler.RetainLeaving(s.now, isListed)
		fmt.Fprintf(out, "leaving: %s\n", strings.Join(s.scheduler.LeavingMachines(), " "))
	case "started":
		s.scheduler.MarkStarted(s.grants[id])
	case "may-write":
		fmt.Fprintf(out, "%t\n", s.scheduler.MayWrite(s.now, s.grants[id]))
	case "hold":
		s.scheduler.Hold(s.now, name, seconds("until"))
	case "targets":
	default:
		s.t.Fatalf("unknown command %s", command)
	}
}

// setTargets parses one target per line: replica, version, machine, maximum concurrency, and any
// of the flags drained, fixed and suspect.
func (s *schedulerTest) setTargets(out *strings.Builder, input string) {
	changes := TargetChanges{Full: true}
	for _, line := range strings.Split(strings.TrimSpace(input), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 4 {
			continue
		}
		limit, _ := strconv.Atoi(fields[3])
		target := Target{
			Replica: fields[0], Version: fields[1], Machine: fields[2], MaxConcurrent: limit, Fixed: slices.Contains(fields, "fixed"),
			Suspect: slices.Contains(fields, "suspect"),
		}
		if slices.Contains(fields, "drained") {
			changes.Drained = append(changes.Drained, target)
		} else {
			changes.Targets = append(changes.Targets, target)
		}
	}
	s.report(out, s.scheduler.ChangeTargets(s.now, changes))
}

func (s *schedulerTest) report(out *strings.Builder, outcome Outcome) {
	for _, grant := range outcome.Grants {
		s.grants[grant.Request.ID] = grant
		fmt.Fprintf(out, "%d goes to %s cold=%t\n", grant.Request.ID, grant.Target.Replica, grant.Waited)
	}
	for _, refusal := range outcome.Refusals {
		fmt.Fprintf(out, "%d refused: %s (%s) retry after %s\n", refusal.Request.ID, refusal.Reason, refusal.Detail, refusal.RetryAfter)
	}
}
