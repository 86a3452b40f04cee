package orders

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	grantLifetime = 500 * time.Millisecond
	leaseTime     = 3 * time.Second
)

// TestGrants tables for whom a machine is free.
func TestGrants(t *testing.T) {
	grants := NewGrants("self", grantLifetime+leaseTime)
	tests := []struct {
		at      time.Duration
		note    string
		forget  bool
		machine string
		free    bool
	}{
		{at: time.Second, machine: "m"}, // What was granted before the start is not known.
		{at: 4 * time.Second, machine: "m", free: true},
		{at: 5 * time.Second, note: "other", machine: "m"},
		{at: 5 * time.Second, machine: "n", free: true},
		{at: 8 * time.Second, machine: "m"},
		{at: 8500 * time.Millisecond, machine: "m", free: true},
		{at: 9 * time.Second, note: "self", machine: "m", free: true},
		{at: 10 * time.Second, forget: true, machine: "n"},
		{at: 14 * time.Second, machine: "n", free: true},
	}
	for _, test := range tests {
		if test.forget {
			grants.Forget(test.at)
		}
		if test.note != "" {
			grants.Note(test.at, test.note, []string{"m"})
		}
		if free := grants.Free(test.at, test.machine); free != test.free {
			t.Errorf("at %s machine %s is free: %v", test.at, test.machine, free)
		}
	}
}

// TestNoTurnsWithinTheLease: leaders follow each other at random moments, apply
// the log late, and order as soon as they may; no machine gets orders of two
// within the lease.
func TestNoTurnsWithinTheLease(t *testing.T) {
	type given struct {
		holder string
		at     time.Duration
	}
	random := rand.New(rand.NewPCG(7, 7))
	for range 200 {
		nodes := []string{"a", "b", "c"}
		grants := map[string]*Grants{}
		for _, name := range nodes {
			grants[name] = NewGrants(name, grantLifetime+leaseTime)
		}
		var last given
		orderCount := 0
		now := time.Duration(0)
		for range 40 {
			leader := nodes[random.IntN(len(nodes))]
			for end := now + time.Duration(random.Int64N(int64(6*time.Second))); now < end; now += 100 * time.Millisecond {
				if !grants[leader].Free(now, "m") {
					continue
				}
				// Committed a while later; the order follows within its time.
				committed := now + time.Duration(random.Int64N(int64(200*time.Millisecond)))
				for _, name := range nodes {
					grants[name].Note(committed+time.Duration(random.Int64N(int64(50*time.Millisecond))), leader, []string{"m"})
				}
				sent := now + time.Duration(random.Int64N(int64(grantLifetime)))
				if last.holder != "" && last.holder != leader && sent-last.at < leaseTime {
					t.Fatalf("%s orders %s after %s", leader, sent-last.at, last.holder)
				}
				if sent > last.at || last.holder != leader {
					last = given{holder: leader, at: max(sent, last.at)}
				}
				orderCount++
			}
		}
		if orderCount == 0 {
			t.Fatal("nobody ever ordered")
		}
	}
}
