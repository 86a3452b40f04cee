package forwarding

import (
	"fmt"
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
				router, found := selector.Choose(now, text(d, "version"), allowed, strings.Split(text(d, "tried"), "+"))
				if !found {
					return "none\n"
				}
				selector.Begin(router.Node)
				return router.Node + "\n"
			case "end":
				result := map[string]Result{"served": ResultServed, "unreachable": ResultUnreachable, "failed": ResultFailed, "canceled": ResultCanceled}
				selector.End(now, text(d, "node"), result[text(d, "result")])
				return "ok\n"
			case "unservable":
				selector.MarkUnservable(now, text(d, "version"))
				return "ok\n"
			}
			d.Fatalf(t, "unknown command %s", d.Cmd)
			return ""
		})
	})
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

// parseRouters parses lines of node, region and distance.
func parseRouters(t *testing.T, input string) []Router {
	t.Helper()
	distances := map[string]places.Proximity{"zone": places.SameZone, "region": places.SameRegion, "far": places.OtherRegion}
	var routers []Router
	for line := range strings.Lines(input) {
		fields := strings.Fields(line)
		address := fields[0]
		if len(fields) > 3 {
			address = fields[3]
		}
		routers = append(routers, Router{Node: fields[0], Address: address, Region: fields[1], Proximity: distances[fields[2]]})
	}
	return routers
}
