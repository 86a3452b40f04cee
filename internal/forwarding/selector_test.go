package forwarding

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/weldline/weldline/internal/places"
)

// TestSelector runs tables of choices. Times are milliseconds since the start. The random numbers are the
// first and the last of each range, in turn.
func TestSelector(t *testing.T) {
	datadriven.Walk(t, "testdata/selector", func(t *testing.T, path string) {
		turn := 0
		selector := NewSelector(func(n int) int {
			turn++
			return (turn + 1) % 2 * (n - 1)
		})
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			now := time.Unix(0, 0).Add(time.Duration(number(d, "at")) * time.Millisecond)
			switch d.Cmd {
			case "routers":
				selector.SetRouters(now, parseRouters(t, d.Input))
				return "ok\n"
			case "choose":
				var allowed places.Constraint
				if region := text(d, "region"); region != "" {
					allowed = places.RestrictTo(region)
				}
				router, found := selector.Choose(now, text(d, "version"), allowed, parseAttempts(t, selector, d))
				if !found {
					return "none\n"
				}
				selector.Begin(router.Node)
				return router.Node + "\n"
			case "choose-connected":
				var allowed places.Constraint
				if region := text(d, "region"); region != "" {
					allowed = places.RestrictTo(region)
				}
				router, found := selector.ChooseConnected(now, allowed)
				return fmt.Sprintln(router.Node, found)
			case "end":
				selector.End(now, text(d, "node"), results[text(d, "result")])
				return "ok\n"
			case "show-unservable":
				return fmt.Sprintln(selector.IsUnservable(places.Constraint{}, parseAttempts(t, selector, d)))
			case "check":
				var nodes []string
				for _, router := range selector.StartChecks(now) {
					nodes = append(nodes, router.Node)
				}
				return fmt.Sprintln("checking:", strings.Join(nodes, " "))
			case "checked":
				status, isKnown := statuses[text(d, "status")]
				for node := range strings.FieldsSeq(d.Input) {
					selector.EndCheck(now, node, status, isKnown)
				}
				return describeStatuses(selector, now)
			case "referred":
				selector.Refer(now, parseRouters(t, d.Input))
				return describeStatuses(selector, now)
			case "referrals":
				var nodes []string
				for _, router := range selector.Referrals(now) {
					nodes = append(nodes, router.Node)
				}
				return fmt.Sprintln(strings.Join(nodes, " "))
			case "statuses":
				return describeStatuses(selector, now)
			case "unservable":
				selector.MarkUnservable(now, text(d, "version"))
				return "ok\n"
			}
			d.Fatalf(t, "unknown command %s", d.Cmd)
			return ""
		})
	})
}

var (
	results = map[string]Result{
		"served": ResultServed, "unreachable": ResultUnreachable, "isolated": ResultIsolated, "failed": ResultFailed, "canceled": ResultCanceled,
	}
	statuses = map[string]Status{"unknown": StatusUnknown, "connected": StatusConnected, "isolated": StatusIsolated, "failed": StatusFailed}
)

// parseAttempts parses "node:result+node:result". The result is unreachable if none is given.
func parseAttempts(t *testing.T, selector *Selector, d *datadriven.TestData) []Attempt {
	t.Helper()
	var attempts []Attempt
	for entry := range strings.SplitSeq(text(d, "tried"), "+") {
		node, name, found := strings.Cut(entry, ":")
		if !found {
			name = "unreachable"
		}
		if state := selector.routers[node]; state != nil {
			attempts = append(attempts, Attempt{Router: state.Router, Result: results[name]})
		}
	}
	return attempts
}

func describeStatuses(selector *Selector, now time.Time) string {
	var text strings.Builder
	for _, node := range slices.Sorted(maps.Keys(selector.routers)) {
		fmt.Fprintf(&text, "%s: %s\n", node, selector.routers[node].statusAt(now))
	}
	return text.String()
}

func number(d *datadriven.TestData, key string) (value int) {
	_, _ = fmt.Sscan(text(d, key), &value)
	return value
}

func text(d *datadriven.TestData, key string) (value string) {
	for _, argument := range d.CmdArgs {
		if argument.Key == key && len(argument.Vals) > 0 {
			value = argument.Vals[0]
		}
	}
	return value
}

// parseRouters parses lines of node, region, distance, and optionally zone and address. The zone is by default that
// of the distance.
func parseRouters(t *testing.T, input string) []Router {
	t.Helper()
	distances := map[string]places.Proximity{"zone": places.SameZone, "region": places.SameRegion, "far": places.OtherRegion}
	var routers []Router
	for line := range strings.Lines(input) {
		fields := strings.Fields(line)
		zone, address := fields[2], fields[0]
		if len(fields) > 3 {
			zone = fields[3]
		}
		if len(fields) > 4 {
			address = fields[4]
		}
		routers = append(routers, Router{Node: fields[0], Address: address, Zone: zone, Region: fields[1], Proximity: distances[fields[2]]})
	}
	return routers
}
