package paths

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestTracker runs tables of failures, contacts and probes. Times are milliseconds since the start.
func TestTracker(t *testing.T) {
	datadriven.Walk(t, "testdata/tracker", func(t *testing.T, path string) {
		tracker, started := NewTracker(), map[string]time.Time{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			now := timeOf(t, d, "at")
			var changes []Change
			switch d.Cmd {
			case "machines":
				listed := map[string]bool{}
				for machine := range strings.FieldsSeq(d.Input) {
					listed[machine] = true
				}
				tracker.SetMachines(listed)
			case "refused", "broken":
				for machine := range strings.FieldsSeq(d.Input) {
					changes = append(changes, tracker.Failed(now, machine, map[string]Failure{"refused": FailureConnect, "broken": FailureBroken}[d.Cmd]))
				}
			case "contact":
				changes = append(changes, tracker.Contact(now, strings.TrimSpace(d.Input), timeOf(t, d, "opened")))
			case "probe":
				due := tracker.StartProbes(now)
				for _, machine := range due {
					started[machine] = now
				}
				return fmt.Sprintln("probing:", strings.Join(due, " "))
			case "connected", "not-connected":
				for machine := range strings.FieldsSeq(d.Input) {
					changes = append(changes, tracker.EndProbe(now, machine, started[machine], d.Cmd == "connected"))
				}
			default:
				d.Fatalf(t, "unknown command %s", d.Cmd)
			}
			return describe(tracker, changes)
		})
	})
}

func timeOf(t *testing.T, d *datadriven.TestData, argument string) time.Time {
	t.Helper()
	if !d.HasArg(argument) {
		return time.Time{}
	}
	var milliseconds int
	d.ScanArgs(t, argument, &milliseconds)
	return time.Time{}.Add(time.Hour + time.Duration(milliseconds)*time.Millisecond)
}

func describe(tracker *Tracker, changes []Change) string {
	var text strings.Builder
	for _, change := range changes {
		if change != (Change{}) {
			fmt.Fprintf(&text, "%+v\n", change)
		}
	}
	fmt.Fprintf(&text, "down: [%s] isolated: %t\n", strings.Join(slices.Sorted(maps.Keys(tracker.Down())), " "), tracker.IsIsolated())
	return text.String()
}

// TestSilence checks that only a silence of all machines with requests in flight starts a check.
func TestSilence(t *testing.T) {
	start := time.Time{}.Add(time.Hour)
	at := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
	silence := &Silence{}
	expect := func(milliseconds int, due bool) {
		t.Helper()
		if got := silence.StartCheck(at(milliseconds), false); got != due {
			t.Errorf("at %d ms a check is due: %t", milliseconds, got)
		}
	}
	expect(1000, false)
	silence.Sent(at(1000))
	silence.Sent(at(1200))
	expect(1299, false)
	expect(1300, true)
	expect(1500, false)
	silence.Received(at(1600))
	expect(1850, false)
	expect(1900, true)
	silence.Ended()
	expect(2400, true)
	silence.Ended()
	expect(3000, false)
	silence.Sent(at(3100))
	expect(3399, false)
	expect(3400, true)
}

// TestDoubtStartsCheck checks that a failed machine is reason enough to check the paths, without requests in flight and
// at a limited rate.
func TestDoubtStartsCheck(t *testing.T) {
	start := time.Time{}.Add(time.Hour)
	tracker, silence := NewTracker(), &Silence{}
	tracker.SetMachines(map[string]bool{"a": true, "b": true, "c": true, "d": true})
	expect := func(at time.Duration, due bool) {
		t.Helper()
		if got := silence.StartCheck(start.Add(at), tracker.IsInDoubt()); got != due {
			t.Errorf("at %s a check is due: %t", at, got)
		}
	}
	expect(0, false)
	tracker.Failed(start, "a", FailureBroken)
	expect(0, true)
	expect(silenceCheckInterval-1, false)
	expect(silenceCheckInterval, true)
	tracker.Contact(start.Add(time.Second), "b", start)
	expect(2*time.Second, false)
}
