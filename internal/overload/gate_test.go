package overload

import (
	"testing"
	"time"
)

var epoch = time.Unix(1_000, 0)

// load describes connections to a server that reads and serves one after the other.
type load struct {
	// perSecond is the rate of new connections, serviceTime the processor time of each.
	perSecond   float64
	serviceTime time.Duration
	// stopped is for how long the server is stopped in each period of 100 ms, as by a processor quota.
	stopped time.Duration
}

const (
	simulated   = 10 * time.Second
	quotaPeriod = 100 * time.Millisecond
	// Closing a connection takes 1/closeShare of the time that serving it takes.
	closeShare = 20
	// patience is how long a client waits for its response.
	patience = time.Second
)

// simulate returns how many connections were served in time and how many were closed unread.
func (l load) simulate(gated bool) (served, closed int) {
	gate := Gate{}
	interval := time.Duration(float64(time.Second) / l.perSecond)
	accepted := time.Duration(0)
	next := time.Duration(0) // the arrival of the next connection to be read
	for now := time.Duration(0); next < simulated; {
		now = l.running(max(now, next))
		for ; accepted <= now; accepted += interval {
			gate.Accepted()
		}
		if gated && !gate.Admit(epoch.Add(now), now-next) {
			closed++
			now += l.serviceTime / closeShare
		} else {
			now = l.running(now + l.serviceTime)
			if now-next <= patience {
				served++
			}
		}
		next += interval
	}
	return served, closed
}

// running returns the next time at which the server is not stopped.
func (l load) running(now time.Duration) time.Duration {
	if into := now % quotaPeriod; into < l.stopped {
		return now + l.stopped - into
	}
	return now
}

// TestOverloadedServerKeepsServing guards against a server that, under more connections than it can serve, serves hardly
// any, because their clients have given up when their turn comes.
func TestOverloadedServerKeepsServing(t *testing.T) {
	for _, test := range []load{
		{perSecond: 300, serviceTime: 10 * time.Millisecond},
		{perSecond: 600, serviceTime: 10 * time.Millisecond},
		{perSecond: 400, serviceTime: time.Millisecond, stopped: 80 * time.Millisecond},
	} {
		capacity := simulated.Seconds() / test.serviceTime.Seconds() * (1 - test.stopped.Seconds()/quotaPeriod.Seconds())
		if served, _ := test.simulate(false); float64(served) > capacity/2 {
			t.Errorf("%+v: %d served without a gate, the load is no overload", test, served)
		}
		if served, _ := test.simulate(true); float64(served) < capacity*0.6 {
			t.Errorf("%+v: %d served, but %.0f could be", test, served, capacity)
		}
	}
}

// TestNoneIsClosedWithoutOverload guards against closing connections that are only delayed by a burst or a processor quota.
func TestNoneIsClosedWithoutOverload(t *testing.T) {
	for _, test := range []load{
		{perSecond: 95, serviceTime: 10 * time.Millisecond},
		{perSecond: 150, serviceTime: time.Millisecond, stopped: 80 * time.Millisecond},
		{perSecond: 5, serviceTime: time.Millisecond, stopped: 95 * time.Millisecond},
	} {
		if served, closed := test.simulate(true); closed > 0 || served < int(simulated.Seconds()*test.perSecond) {
			t.Errorf("%+v: %d served, %d closed unread", test, served, closed)
		}
	}
}

func TestGate(t *testing.T) {
	gate := Gate{}
	accept := func(count int) {
		for range count {
			gate.Accepted()
		}
	}
	admit := func(after, waited time.Duration) bool { return gate.Admit(epoch.Add(after), waited) }
	accept(3 * minWaiting)
	if !admit(0, target+1) || !admit(interval-1, target+1) {
		t.Error("closed before connections were late for long enough")
	}
	if admit(interval, target+1) {
		t.Error("read although connections have been late for long enough")
	}
	if !admit(interval, target) || !admit(interval+1, target+1) {
		t.Error("closed right after one was read in time")
	}
	if admit(interval+1+repeatInterval, target+1) {
		t.Error("read although the overload came back")
	}
	for gate.waiting > minWaiting {
		gate.Abandoned()
	}
	if !admit(2*interval, target+1) {
		t.Error("closed although few wait")
	}
}
