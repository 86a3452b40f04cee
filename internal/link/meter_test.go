package link

import (
	"testing"
	"time"
)

var epoch = time.Unix(1_000, 0)

func at(milliseconds int) time.Time {
	return epoch.Add(time.Duration(milliseconds) * time.Millisecond)
}

func within(got, low, high time.Duration) bool { return got >= low && got <= high }

func TestMeterModelsQueue(t *testing.T) {
	meter := NewMeter(10)
	meter.Sent(at(0), 125_000)
	if wait := meter.Load(at(0)).SendWait; !within(wait, 100*time.Millisecond, 120*time.Millisecond) {
		t.Errorf("125 kB wait %s for a link of 10 Mbit/s", wait)
	}
	if load := meter.Load(at(60)); !within(load.SendWait, 40*time.Millisecond, 60*time.Millisecond) || load.ReceiveWait != 0 {
		t.Errorf("60 ms later %+v", load)
	}
	if wait := meter.Load(at(200)).SendWait; wait != 0 {
		t.Errorf("%s when all has been sent", wait)
	}
	meter.Received(at(200), 100_000_000)
	if load := meter.Load(at(200)); load.ReceiveWait > maxWait || load.ReceivedBytes != 100_000_000 {
		t.Errorf("the estimate is not bounded: %+v", load)
	}
}

func TestMeterOfUnknownRateOnlyCounts(t *testing.T) {
	meter := NewMeter(0)
	meter.Sent(at(0), 1_000_000)
	meter.Expect().Received(10)
	if load := meter.Load(at(0)); load.SentBytes != 1_000_000 || load.Delay() != 0 || load.Backlog() != 0 {
		t.Errorf("got %+v", load)
	}
}

// TestExpectedRequestsCountUntilReceived guards against expectations that stay after their connection has closed.
func TestExpectedRequestsCountUntilReceived(t *testing.T) {
	meter := NewMeter(10)
	first, second := meter.Expect(), meter.Expect()
	before := meter.Load(at(0)).ExpectedWait
	first.Received(initialSize / 2)
	if after := meter.Load(at(0)).ExpectedWait; after >= before || after == 0 {
		t.Errorf("%s expected after a part was received, %s before", after, before)
	}
	first.Received(10 * initialSize)
	first.Done()
	second.Done()
	second.Done()
	if left := meter.Load(at(0)).ExpectedWait; left != 0 {
		t.Errorf("%s is still expected", left)
	}
	if meter.expected.size <= initialSize {
		t.Error("the average size does not follow the requests")
	}
}

// TestConnectTimeNeedsSeveralPeers guards against taking a slow machine, or one far away, for a slow link.
func TestConnectTimeNeedsSeveralPeers(t *testing.T) {
	meter := NewMeter(0)
	for _, peer := range []string{"a", "b", "c", "d"} {
		if excess := meter.Connected(at(-1000), peer, time.Millisecond); excess != 0 {
			t.Errorf("the first connection to %s is late by %s", peer, excess)
		}
	}
	meter.Connected(at(0), "a", 301*time.Millisecond)
	meter.Connected(at(0), "b", 401*time.Millisecond)
	if taken := meter.Load(at(1)).ConnectDelay; taken != 0 {
		t.Errorf("%s from two peers", taken)
	}
	meter.Connected(at(1), "c", 251*time.Millisecond)
	if taken := meter.Load(at(1)).ConnectDelay; taken != 250*time.Millisecond {
		t.Errorf("%s from three slow peers", taken)
	}
	meter.Connected(at(2), "d", 2*time.Millisecond)
	if taken := meter.Load(at(2)).ConnectDelay; taken != time.Millisecond {
		t.Errorf("%s although one peer is fast", taken)
	}
	if taken := meter.Load(at(1000)).ConnectDelay; taken != 0 {
		t.Errorf("%s a second later", taken)
	}
}

// TestDistantPeersAreNotSlow guards against taking the distance of all peers for the delay of the link.
func TestDistantPeersAreNotSlow(t *testing.T) {
	meter := NewMeter(0)
	for _, peer := range []string{"a", "b", "c", "d"} {
		meter.Connected(at(0), peer, 150*time.Millisecond)
		meter.Connected(at(1), peer, 152*time.Millisecond)
	}
	if taken := meter.Load(at(2)).ConnectDelay; taken != 2*time.Millisecond {
		t.Errorf("connections take %s longer than usual", taken)
	}
}
