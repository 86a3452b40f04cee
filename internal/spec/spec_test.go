package spec

import "testing"

const stateLimit = 3_000_000

// checkModel explores a model. Without an expected violation the exploration must be complete,
// otherwise it must find that violation.
func checkModel[S comparable](t *testing.T, name string, model Model[S], expected string) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		explored := Explore(model, stateLimit)
		t.Logf("%d states, complete %t", explored.States, explored.Complete)
		if explored.Violation != expected {
			t.Fatalf("violation %q, expected %q; trace %q", explored.Violation, expected, explored.Trace)
		}
		if expected == "" && !explored.Complete {
			t.Error("not all states were visited")
		}
		if expected != "" && len(explored.Trace) == 0 {
			t.Error("the violation has no trace")
		}
	})
}

func TestLoad(t *testing.T) {
	checkModel(t, "all rules", Load(LoadRules{}), "")
	checkModel(t, "no fence", Load(LoadRules{NoFence: true}), "an engine loaded a replica without a decision")
	checkModel(t, "early free", Load(LoadRules{FreeOnDecision: true}), "an engine loaded a replica without a decision")
}

func TestClaims(t *testing.T) {
	checkModel(t, "all rules", Claims(ClaimRules{}), "")
	checkModel(t, "a sweep that reopens", Claims(ClaimRules{SweepReopens: true}), "the request ran twice")
	checkModel(t, "not run said early", Claims(ClaimRules{ReportBeforeClose: true}), "a request that was reported as not run ran")
}

// TestLeases explores elections and leases with time, but without entries.
func TestLeases(t *testing.T) {
	checkModel(t, "all rules", Log(LogRules{Terms: 2}), "")
	checkModel(t, "three terms", Log(LogRules{Terms: 3}), "")
	checkModel(t, "forgotten votes", Log(LogRules{Terms: 2, LoseVotes: true}), "two leaders in one term")
	checkModel(t, "long lease", Log(LogRules{Terms: 2, LongLease: true}), "two leases at once")
	checkModel(t, "a quorum is idle", Log(LogRules{Terms: 2, ReleaseByIdleQuorum: true}), "two leases at once")
	checkModel(t, "a release by others", Log(LogRules{Terms: 2, ReleaseOnAnyRestart: true}), "two leases at once")
	checkModel(t, "promises ignored", Log(LogRules{Terms: 2, IgnoreStickiness: true}), "two leases at once")
}

// TestLog explores elections and commits without time: committed entries must not depend on
// message delays.
func TestLog(t *testing.T) {
	checkModel(t, "all rules", Log(LogRules{WithoutTime: true, Terms: 3, Entries: 2}), "")
	checkModel(t, "forgotten votes", Log(LogRules{WithoutTime: true, Terms: 3, Entries: 2, LoseVotes: true}), "two leaders in one term")
	checkModel(t, "old terms committed", Log(LogRules{WithoutTime: true, Terms: 4, Entries: 2, CommitOldTerms: true}), "a committed entry was replaced")
}
