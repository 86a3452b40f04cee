package ratelimit

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestLimits runs the tables of what nodes know of limits. Times are in milliseconds.
//
//	answer node=N sent=S heard=H [limit=L]: a machine's answer; no limit: it names none
//	tell from=N to=M at=T [way=W]: all that a node tells arrives at another, W after it was sent at T
//	retain node=N [machines=(...)]
//	limits: what each node takes the limit to be
func TestLimits(t *testing.T) {
	datadriven.Walk(t, "testdata/limits", func(t *testing.T, path string) {
		nodes := &nodes{held: map[string]*Limits{}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "answer":
				return nodes.answer(t, d)
			case "tell":
				return nodes.tell(t, d)
			case "retain":
				var listed []string
				d.MaybeScanArgs(t, "machines", &listed)
				nodes.of(nameOf(t, d, "node")).Retain(func(machine string) bool { return strings.Contains(strings.Join(listed, " "), machine) })
				return ""
			case "limits":
				return nodes.String()
			}
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		})
	})
}

const machineUnderTest = "m"

type nodes struct {
	names []string
	held  map[string]*Limits
}

func (n *nodes) of(name string) *Limits {
	if n.held[name] == nil {
		n.names = append(n.names, name)
		n.held[name] = New()
	}
	return n.held[name]
}

func (n *nodes) answer(t *testing.T, d *datadriven.TestData) string {
	said := Statement{Sent: timeOf(t, d, "sent"), Received: timeOf(t, d, "heard")}
	if d.HasArg("limit") {
		var perSecond float64
		if _, err := fmt.Sscan(nameOf(t, d, "limit"), &perSecond); err != nil {
			t.Fatal(err)
		}
		said.Limit = NewLimit(perSecond)
	}
	return describe(n.of(nameOf(t, d, "node")).Observe(machineUnderTest, said))
}

func (n *nodes) tell(t *testing.T, d *datadriven.TestData) string {
	at, way := timeOf(t, d, "at"), time.Duration(0)
	if d.HasArg("way") {
		way = timeOf(t, d, "way")
	}
	from, to := n.of(nameOf(t, d, "from")), n.of(nameOf(t, d, "to"))
	told := from.Snapshot(at)
	if len(told) == 0 {
		return "nothing\n"
	}
	news := ""
	for _, each := range told {
		news += describe(to.Merge(at+way, each))
	}
	return news
}

func (n *nodes) String() string {
	var lines strings.Builder
	for _, name := range n.names {
		lines.WriteString(name + ": " + text(n.held[name].Get(machineUnderTest)) + "\n")
	}
	return lines.String()
}

func describe(change Change) string {
	if !change.Changed() {
		return "no news\n"
	}
	return text(change.Before) + " -> " + text(change.After) + "\n"
}

func text(limit Limit) string {
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
