package quarantine

import (
	"fmt"
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

func TestJudge(t *testing.T) {
	tests := []struct {
		name    string
		sign    Evidence
		verdict Verdict
	}{
		{"says nothing", Evidence{}, VerdictPending},
		{"refuses connections", Evidence{Refuses: true}, VerdictEnded},
		{"takes connections: a reset, a grey machine", Evidence{Accepts: true}, VerdictAlive},
		{"leaves", Evidence{Leaving: true, Refuses: true}, VerdictPlanned},
		{"another life at its address", Evidence{Replaced: true, Accepts: true}, VerdictEnded},
	}
	for _, test := range tests {
		if verdict := test.sign.Verdict(); verdict != test.verdict {
			t.Errorf("%s: %s, not %s", test.name, verdict, test.verdict)
		}
	}
}

var watchStart = time.Unix(1_000, 0)

func runAt(machine string, number int) BrokenRequest {
	return BrokenRequest{Machine: machine, Instance: machine, Identity: Identify(Content{Target: fmt.Sprintf("/x/%d", number)})}
}

func TestWatchHeedsACrashBeforeTheLogDoes(t *testing.T) {
	watch := NewTracker()
	culprit := runAt("i-1", 1)
	if next := watch.AddBroken(watchStart, culprit); next != ActionProbe {
		t.Fatalf("the first broken run: %d", next)
	}
	if next := watch.AddBroken(watchStart, runAt("i-1", 2)); next != ActionNone {
		t.Errorf("the second at the same machine: %d", next)
	}
	if runs := watch.ApplyVerdict(watchStart, "i-1", VerdictEnded); len(runs) != 2 {
		t.Errorf("%d runs are recorded, not 2", len(runs))
	}
	if next := watch.AddBroken(watchStart, runAt("i-1", 3)); next != ActionRecord {
		t.Errorf("one that is noticed after the verdict: %d", next)
	}
	if machines, quarantined := watch.Crashes(culprit.Identity, nil); quarantined || fmt.Sprint(machines) != "[i-1]" {
		t.Errorf("after one crash: %v, quarantined %t", machines, quarantined)
	}
	// Another router saw another machine end.
	held := &v1.SuspectSpec{Machines: []string{"i-2"}}
	if machines, quarantined := watch.Crashes(culprit.Identity, held); !quarantined || len(machines) != 2 {
		t.Errorf("with the record: %v, quarantined %t", machines, quarantined)
	}
	held.Machines = []string{"i-1"}
	if machines, quarantined := watch.Crashes(culprit.Identity, held); quarantined || len(machines) != 1 {
		t.Errorf("one crash counted twice: %v, quarantined %t", machines, quarantined)
	}
	watch.MarkRecorded([]BrokenRequest{culprit, runAt("i-1", 2), runAt("i-1", 3)})
	if !watch.IsIdle() {
		t.Error("recorded, and not settled")
	}
}

// TestMachineThatWasAliveIsExaminedAgain: a reset, and a moment later the machine ends.
func TestMachineThatWasAliveIsExaminedAgain(t *testing.T) {
	for _, verdict := range []Verdict{VerdictAlive, VerdictPlanned, VerdictUnknown} {
		watch := NewTracker()
		watch.AddBroken(watchStart, runAt("i-1", 1))
		if runs := watch.ApplyVerdict(watchStart, "i-1", verdict); len(runs) != 0 {
			t.Errorf("%s: %d runs are recorded", verdict, len(runs))
		}
		if next := watch.AddBroken(watchStart, runAt("i-1", 2)); next != ActionProbe {
			t.Errorf("%s: what comes next is not examined: %d", verdict, next)
		}
	}
}

func TestWatchForgetsMachinesThatEnded(t *testing.T) {
	watch := NewTracker()
	watch.AddBroken(watchStart, runAt("i-1", 1))
	watch.ApplyVerdict(watchStart, "i-1", VerdictEnded)
	if next := watch.AddBroken(watchStart.Add(endedLifetime), runAt("i-1", 2)); next != ActionRecord {
		t.Errorf("within the verdict's time: %d", next)
	}
	if next := watch.AddBroken(watchStart.Add(endedLifetime+1), runAt("i-1", 3)); next != ActionProbe {
		t.Errorf("after the verdict's time: %d", next)
	}
}

func TestWatchIsBounded(t *testing.T) {
	watch := NewTracker()
	for number := range maxExamined {
		watch.AddBroken(watchStart, runAt(fmt.Sprintf("i-%d", number), number))
	}
	if next := watch.AddBroken(watchStart, runAt("one-more", 1)); next != ActionDropped {
		t.Errorf("beyond the bound: %d", next)
	}
	for number := range 2 * maxRuns {
		watch.AddBroken(watchStart, runAt("i-0", number))
	}
	if runs := watch.ApplyVerdict(watchStart, "i-0", VerdictEnded); len(runs) != maxRuns {
		t.Errorf("%d runs are remembered of one machine, not %d", len(runs), maxRuns)
	}
}

func TestWholeRunIsClearedOnce(t *testing.T) {
	watch := NewTracker()
	identity := runAt("i-1", 1).Identity
	if watch.Complete(identity, false) {
		t.Error("a request without a record is cleared")
	}
	if !watch.Complete(identity, true) || watch.Complete(identity, true) {
		t.Error("one with a record is not cleared once")
	}
	watch.MarkCleared(identity)
	if !watch.Complete(identity, true) {
		t.Error("one whose record stayed is not cleared again")
	}
}

func TestLifeOf(t *testing.T) {
	if registered := InstanceName("i-1", 1); registered != "i-1" {
		t.Errorf("a machine that registered: %s", registered)
	}
	if first, second := InstanceName("m", 7), InstanceName("m", 8); first == second || first != "m/7" {
		t.Errorf("two lives of one machine: %s and %s", first, second)
	}
}
