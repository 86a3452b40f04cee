package spec

import "testing"

const stateLimit = 3_000_000

// check explores a model: without a broken rule it must be complete and hold;
// with one the exploration must find what breaks.
func check[S comparable](t *testing.T, name string, model Model[S], expected string) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		explored := Explore(model, stateLimit)
		t.Logf("%d states, complete %t", explored.States, explored.Complete)
		if explored.Broken != expected {
			t.Fatalf("broken: %q, expected %q; trace %q", explored.Broken, expected, explored.Trace)
		}
		if expected == "" && !explored.Complete {
			t.Error("not all states were visited")
		}
		if expected != "" && len(explored.Trace) == 0 {
			t.Error("no trace leads to it")
		}
	})
}

func TestLoad(t *testing.T) {
	check(t, "all rules", Load(LoadRules{}), "")
	check(t, "no fence", Load(LoadRules{NoFence: true}), "a replica was held that nobody decided")
	check(t, "early free", Load(LoadRules{EarlyFree: true}), "a replica was held that nobody decided")
}

func TestClaims(t *testing.T) {
	check(t, "all rules", Claims(ClaimRules{}), "")
	check(t, "a sweep that reopens", Claims(ClaimRules{SweepReopens: true}), "the request ran twice")
	check(t, "not run said early", Claims(ClaimRules{TellEarly: true}), "what was told not to have run ran")
}

// TestLeases explores elections and leases in time, without entries.
func TestLeases(t *testing.T) {
	check(t, "all rules", Log(LogRules{Terms: 2}), "")
	check(t, "three terms", Log(LogRules{Terms: 3}), "")
	check(t, "forgotten votes", Log(LogRules{Terms: 2, ForgetVotes: true}), "two leaders in one term")
	check(t, "long lease", Log(LogRules{Terms: 2, LongLease: true}), "two leases at once")
	check(t, "a quorum is idle", Log(LogRules{Terms: 2, IdleQuorum: true}), "two leases at once")
	check(t, "a release by others", Log(LogRules{Terms: 2, ReleaseOthers: true}), "two leases at once")
	check(t, "promises ignored", Log(LogRules{Terms: 2, IgnorePromise: true}), "two leases at once")
}

// TestLog explores elections and commits without any time: what is committed
// stays, however late everything is.
func TestLog(t *testing.T) {
	check(t, "all rules", Log(LogRules{Timeless: true, Terms: 3, Entries: 2}), "")
	check(t, "forgotten votes", Log(LogRules{Timeless: true, Terms: 3, Entries: 2, ForgetVotes: true}), "two leaders in one term")
	check(t, "old terms committed", Log(LogRules{Timeless: true, Terms: 4, Entries: 2, CommitOldTerms: true}), "a committed entry was replaced")
}
