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
		sign    Sign
		verdict Verdict
	}{
		{"says nothing", Sign{}, VerdictNone},
		{"refuses connections", Sign{Refuses: true}, VerdictEnded},
		{"takes connections: a reset, a grey machine", Sign{Accepts: true}, VerdictAlive},
		{"leaves", Sign{Leaving: true, Refuses: true}, VerdictPlanned},
		{"another life at its address", Sign{Replaced: true, Accepts: true}, VerdictEnded},
	}
	for _, test := range tests {
		if verdict := test.sign.Judge(); verdict != test.verdict {
			t.Errorf("%s: %s, not %s", test.name, verdict, test.verdict)
		}
	}
}

var watchStart = time.Unix(1_000, 0)

func runAt(machine string, number int) Run {
	return Run{Machine: machine, Life: machine, Identity: Identify(Content{Target: fmt.Sprintf("/x/%d", number)})}
}

func TestWatchHeedsACrashBeforeTheLogDoes(t *testing.T) {
	watch := NewWatch()
	culprit := runAt("i-1", 1)
	if next := watch.Broken(watchStart, culprit); next != NextExamine {
		t.Fatalf("the first broken run: %d", next)
	}
	if next := watch.Broken(watchStart, runAt("i-1", 2)); next != NextNothing {
		t.Errorf("the second at the same machine: %d", next)
	}
	if runs := watch.Judged(watchStart, "i-1", VerdictEnded); len(runs) != 2 {
		t.Errorf("%d runs are recorded, not 2", len(runs))
	}
	if next := watch.Broken(watchStart, runAt("i-1", 3)); next != NextRecord {
		t.Errorf("one that is noticed after the verdict: %d", next)
	}
	if machines, quarantined := watch.Crashed(culprit.Identity, nil); quarantined || fmt.Sprint(machines) != "[i-1]" {
		t.Errorf("after one crash: %v, quarantined %t", machines, quarantined)
	}
	// Another router saw another machine end.
	held := &v1.SuspectSpec{Machines: []string{"i-2"}}
	if machines, quarantined := watch.Crashed(culprit.Identity, held); !quarantined || len(machines) != 2 {
		t.Errorf("with the record: %v, quarantined %t", machines, quarantined)
	}
	held.Machines = []string{"i-1"}
	if machines, quarantined := watch.Crashed(culprit.Identity, held); quarantined || len(machines) != 1 {
		t.Errorf("one crash counted twice: %v, quarantined %t", machines, quarantined)
	}
	watch.Recorded([]Run{culprit, runAt("i-1", 2), runAt("i-1", 3)})
	if !watch.Settled() {
		t.Error("recorded, and not settled")
	}
}

// TestMachineThatWasAliveIsExaminedAgain: a reset, and a moment later the machine ends.
func TestMachineThatWasAliveIsExaminedAgain(t *testing.T) {
	for _, verdict := range []Verdict{VerdictAlive, VerdictPlanned, VerdictUnknown} {
		watch := NewWatch()
		watch.Broken(watchStart, runAt("i-1", 1))
		if runs := watch.Judged(watchStart, "i-1", verdict); len(runs) != 0 {
			t.Errorf("%s: %d runs are recorded", verdict, len(runs))
		}
		if next := watch.Broken(watchStart, runAt("i-1", 2)); next != NextExamine {
			t.Errorf("%s: what comes next is not examined: %d", verdict, next)
		}
	}
}

func TestWatchForgetsMachinesThatEnded(t *testing.T) {
	watch := NewWatch()
	watch.Broken(watchStart, runAt("i-1", 1))
	watch.Judged(watchStart, "i-1", VerdictEnded)
	if next := watch.Broken(watchStart.Add(endedLifetime), runAt("i-1", 2)); next != NextRecord {
		t.Errorf("within the verdict's time: %d", next)
	}
	if next := watch.Broken(watchStart.Add(endedLifetime+1), runAt("i-1", 3)); next != NextExamine {
		t.Errorf("after the verdict's time: %d", next)
	}
}

func TestWatchIsBounded(t *testing.T) {
	watch := NewWatch()
	for number := range maxExamined {
		watch.Broken(watchStart, runAt(fmt.Sprintf("i-%d", number), number))
	}
	if next := watch.Broken(watchStart, runAt("one-more", 1)); next != NextDropped {
		t.Errorf("beyond the bound: %d", next)
	}
	for number := range 2 * maxRuns {
		watch.Broken(watchStart, runAt("i-0", number))
	}
	if runs := watch.Judged(watchStart, "i-0", VerdictEnded); len(runs) != maxRuns {
		t.Errorf("%d runs are remembered of one machine, not %d", len(runs), maxRuns)
	}
}

func TestWholeRunIsClearedOnce(t *testing.T) {
	watch := NewWatch()
	identity := runAt("i-1", 1).Identity
	if watch.Completed(identity, false) {
		t.Error("a request without a record is cleared")
	}
	if !watch.Completed(identity, true) || watch.Completed(identity, true) {
		t.Error("one with a record is not cleared once")
	}
	watch.Cleared(identity)
	if !watch.Completed(identity, true) {
		t.Error("one whose record stayed is not cleared again")
	}
}

func TestLifeOf(t *testing.T) {
	if registered := LifeOf("i-1", 1); registered != "i-1" {
		t.Errorf("a machine that registered: %s", registered)
	}
	if first, second := LifeOf("m", 7), LifeOf("m", 8); first == second || first != "m/7" {
		t.Errorf("two lives of one machine: %s and %s", first, second)
	}
}
