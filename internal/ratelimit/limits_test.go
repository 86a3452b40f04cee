package ratelimit

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestLimits runs the data-driven tests of the limits known to nodes. Times are in milliseconds.
//
//	answer node=N sent=S heard=H [limit=L]: a node receives a machine's response with or without a limit
//	tell from=N to=M at=T [way=W]: a node's observations, sent at T, arrive at another after W
//	retain node=N [machines=(...)]
//	limits: the limit known to each node
func TestLimits(t *testing.T) {
	datadriven.Walk(t, "testdata/limits", func(t *testing.T, path string) {
		cluster := &nodes{limits: map[string]*Limits{}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "answer":
				return cluster.recordResponse(t, d)
			case "tell":
				return cluster.exchange(t, d)
			case "retain":
				var listed []string
				d.MaybeScanArgs(t, "machines", &listed)
				cluster.of(nameOf(t, d, "node")).Retain(func(machine string) bool { return strings.Contains(strings.Join(listed, " "), machine) })
				return ""
			case "limits":
				return cluster.String()
			}
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		})
	})
}

const machineUnderTest = "m"

type nodes struct {
	names  []string
	limits map[string]*Limits
}

func (n *nodes) of(name string) *Limits {
	if n.limits[name] == nil {
		n.names = append(n.names, name)
		n.limits[name] = New()
	}
	return n.limits[name]
}

func (n *nodes) recordResponse(t *testing.T, d *datadriven.TestData) string {
	stated := Statement{Sent: timeOf(t, d, "sent"), Received: timeOf(t, d, "heard")}
	if d.HasArg("limit") {
		var perSecond float64
		if _, err := fmt.Sscan(nameOf(t, d, "limit"), &perSecond); err != nil {
			t.Fatal(err)
		}
		stated.Limit = NewLimit(perSecond)
	}
	return describe(n.of(nameOf(t, d, "node")).Observe(machineUnderTest, stated))
}

func (n *nodes) exchange(t *testing.T, d *datadriven.TestData) string {
	sentAt, delay := timeOf(t, d, "at"), time.Duration(0)
	if d.HasArg("way") {
		delay = timeOf(t, d, "way")
	}
	from, to := n.of(nameOf(t, d, "from")), n.of(nameOf(t, d, "to"))
	observations := from.Snapshot(sentAt)
	if len(observations) == 0 {
		return "nothing\n"
	}
	changes := ""
	for _, observed := range observations {
		changes += describe(to.Merge(sentAt+delay, observed))
	}
	return changes
}

func (n *nodes) String() string {
	var lines strings.Builder
	for _, name := range n.names {
		lines.WriteString(name + ": " + formatLimit(n.limits[name].Get(machineUnderTest)) + "\n")
	}
	return lines.String()
}

func describe(change Change) string {
	if !change.Changed() {
		return "no news\n"
	}
	return formatLimit(change.Before) + " -> " + formatLimit(change.After) + "\n"
}

func formatLimit(limit Limit) string {
	if !limit.IsSet {
		return "none"
	}
	return fmt.Sprint(limit.PerSecond)
}

func nameOf(t *testing.T, d *datadriven.TestData, argument string) (name string) {
	d.ScanArgs(t, argument, &name)
	return name
}

func timeOf(t *testing.T, d *datadriven.TestData, argument string) time.Duration {
	var milliseconds int
	d.ScanArgs(t, argument, &milliseconds)
	return time.Duration(milliseconds) * time.Millisecond
}
