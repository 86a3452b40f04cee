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

func TestGrants(t *testing.T) {
	grants := NewGrants("self", grantLifetime+leaseTime)
	tests := []struct {
		at      time.Duration
		noted   bool
		forget  bool
		machine string
		holder  string
		free    bool
	}{
		// Grants before the start may be as recent as the start.
		{at: time.Second, machine: "m", holder: "other"},
		{at: 4 * time.Second, machine: "m", holder: "other", free: true},
		// No wait is needed if this node was the last holder, or nobody.
		{at: time.Second, machine: "m", holder: "self", free: true},
		{at: time.Second, machine: "m", free: true},
		{at: 5 * time.Second, noted: true, machine: "m", holder: "other"},
		{at: 5 * time.Second, machine: "n", holder: "other", free: true},
		{at: 8 * time.Second, machine: "m", holder: "other"},
		{at: 8500 * time.Millisecond, machine: "m", holder: "other", free: true},
		{at: 9 * time.Second, noted: true, machine: "m", holder: "self", free: true},
		// Grants in a snapshot may be as recent as the snapshot.
		{at: 10 * time.Second, forget: true, machine: "n", holder: "other"},
		{at: 10 * time.Second, machine: "n", holder: "self", free: true},
		{at: 14 * time.Second, machine: "n", holder: "other", free: true},
	}
	for _, test := range tests {
		if test.forget {
			grants.Reset(test.at)
		}
		if test.noted {
			grants.Record(test.at, []string{"m"})
		}
		if free := grants.MayOrder(test.at, test.machine, test.holder); free != test.free {
			t.Errorf("at %s: MayOrder(%s, %q) = %v", test.at, test.machine, test.holder, free)
		}
	}
}

// Under random changes of leader, restarts and snapshots, no machine may get orders from two holders
// within the lease time.
func TestOrdersOfTwoHoldersDontOverlap(t *testing.T) {
	type sentOrder struct {
		holder string
		at     time.Duration
	}
	random := rand.New(rand.NewPCG(7, 7))
	soonAfterRestart := 0
	for range 300 {
		nodes := []string{"a", "b", "c"}
		grants := map[string]*Grants{}
		for _, name := range nodes {
			grants[name] = NewGrants(name, grantLifetime+leaseTime)
		}
		// Node clocks are relative to their start.
		started := map[string]time.Duration{}
		var lastOrder sentOrder
		holder := ""
		orderCount := 0
		now := time.Duration(0)
		for range 40 {
			leader := nodes[random.IntN(len(nodes))]
			restarted := random.IntN(2) == 0
			if restarted {
				for _, name := range nodes {
					grants[name], started[name] = NewGrants(name, grantLifetime+leaseTime), now
				}
			} else if random.IntN(3) == 0 {
				grants[leader].Reset(now - started[leader])
			}
			for end := now + time.Duration(random.Int64N(int64(6*time.Second))); now < end; now += 100 * time.Millisecond {
				if !grants[leader].MayOrder(now-started[leader], "m", holder) {
					continue
				}
				// The grant is committed later than proposed, and the order is sent within the grant's
				// lifetime.
				committed := now + time.Duration(random.Int64N(int64(200*time.Millisecond)))
				holder = leader
				for _, name := range nodes {
					grants[name].Record(committed+time.Duration(random.Int64N(int64(50*time.Millisecond)))-started[name], []string{"m"})
				}
				sent := now + time.Duration(random.Int64N(int64(grantLifetime)))
				if lastOrder.holder != "" && lastOrder.holder != leader && sent-lastOrder.at < leaseTime {
					t.Fatalf("%s sends an order %s after %s", leader, sent-lastOrder.at, lastOrder.holder)
				}
				if sent > lastOrder.at || lastOrder.holder != leader {
					lastOrder = sentOrder{holder: leader, at: max(sent, lastOrder.at)}
				}
				if now-started[leader] < leaseTime {
					soonAfterRestart++
				}
				orderCount++
			}
		}
		if orderCount == 0 {
			t.Fatal("no orders were sent")
		}
	}
	if soonAfterRestart == 0 {
		t.Error("no holder continued after a restart")
	}
}
