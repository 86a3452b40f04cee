package feed

import (
	"testing"
	"time"

	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// TestNextServerLeavesTheLast: a client that had tried as many servers as it
// knew came back to the same one once it had learned of more, and stayed with a
// server that was cut off.
func TestNextServerLeavesTheLast(t *testing.T) {
	seeds := UpstreamsFromAddresses([]string{"a", "b", "c"})
	grown := UpstreamsFromAddresses([]string{"a", "b", "c", "d"})
	now := time.Unix(1000, 0)
	for _, last := range grown {
		order := departures{last.Address: {at: now}}.inTurn(places.ZoneMap{}, grown)
		if order[0] == last || order[len(order)-1] != last || len(order) != len(grown) {
			t.Errorf("after %s come %v", last, order)
		}
	}
	visited, left := map[string]bool{}, departures{"c": {at: now}}
	for range seeds {
		now = now.Add(time.Second)
		next := left.inTurn(places.ZoneMap{}, seeds)[0].Address
		left.note(now, next, departure{at: now})
		visited[next] = true
	}
	if len(visited) != len(seeds) {
		t.Errorf("visited %v of %v", visited, seeds)
	}
	if next := left.inTurn(places.ZoneMap{}, grown)[0].Address; next != "d" {
		t.Errorf("once all seeds were left, %s comes before the one learned of", next)
	}
	if next := (departures{"unknown": {at: now}}).inTurn(places.ZoneMap{}, seeds)[0].Address; next != "a" {
		t.Errorf("after a server that is no longer listed comes %s", next)
	}
}

// TestOldDigestIsNoSignOfLife: a server that is cut off sends the digest that it
// holds to whoever connects.
func TestOldDigestIsNoSignOfLife(t *testing.T) {
	start := time.Unix(1000, 0)
	digest := func(term, sequence uint64) *wirepb.ClusterDigest {
		return &wirepb.ClusterDigest{Term: term, Sequence: sequence}
	}
	held := &Liveness{}
	held.Connected(start)
	held.DigestReceived(start, digest(2, 7), 0)
	if isLost(held, start.Add(silenceLimit)) {
		t.Error("lost within the limit")
	}
	later := start.Add(silenceLimit + time.Millisecond)
	if !isLost(held, later) {
		t.Error("not lost after the limit")
	}
	held.Connected(later)
	held.DigestReceived(later, digest(2, 7), 0)
	if !isLost(held, later.Add(firstLimit+time.Millisecond)) {
		t.Error("the digest held before counts as a sign of life")
	}
	held.DigestReceived(later, digest(2, 8), 0)
	if isLost(held, later.Add(firstLimit+time.Millisecond)) {
		t.Error("a newer digest does not count")
	}
}

// TestLongStatesAreNoSilence: with 3,000 machines the whole state took longer on the link of
// a router than a server has for its first digest, which waits behind it, and longer to take
// over. The router gave up, began anew with the next server, and never served.
func TestLongStatesAreNoSilence(t *testing.T) {
	now := time.Unix(1000, 0)
	held := &Liveness{}
	held.Connected(now)
	for range 10 {
		now = now.Add(firstLimit / 2)
		if isLost(held, now) {
			t.Fatal("lost while parts of the state come")
		}
		held.ListPartReceived(now)
	}
	held.SetApplying(now, true)
	now = now.Add(10 * firstLimit)
	if isLost(held, now) {
		t.Error("lost while the state is taken over")
	}
	held.SetApplying(now, false)
	if isLost(held, now.Add(firstLimit)) {
		t.Error("lost before a digest could be read")
	}
	if !isLost(held, now.Add(firstLimit+time.Millisecond)) {
		t.Error("a server that sends nothing more is not lost")
	}
}

func isLost(held *Liveness, now time.Time) bool {
	_, lost := held.Lost(now)
	return lost
}

// TestServerThatLacksWhatItsDigestsTellOf: a control node whose answers did not reach the leader
// got digests without end and no entries. The digests counted as proof that it was up to date.
func TestServerThatLacksWhatItsDigestsTellOf(t *testing.T) {
	now := time.Unix(1000, 0)
	digest := func(sequence, revision uint64) *wirepb.ClusterDigest {
		return &wirepb.ClusterDigest{Term: 2, Sequence: sequence, Revision: revision}
	}
	held := &Liveness{}
	held.Connected(now)
	held.DigestReceived(now, digest(1, 40), 40)
	if isLost(held, now.Add(silenceLimit)) {
		t.Error("lost although nothing is missing")
	}
	held.DigestReceived(now, digest(2, 45), 40)
	held.DigestReceived(now.Add(behindLimit/2), digest(3, 46), 40)
	if isLost(held, now.Add(behindLimit)) {
		t.Error("lost within the limit")
	}
	if reason, lost := held.Lost(now.Add(behindLimit + time.Millisecond)); !lost || reason != DisconnectBehind {
		t.Errorf("revision 45 has been missing for longer than the limit: %q, %t", reason, lost)
	}
	// What was missing has come; what the newest digest tells of has a time of its own.
	later := now.Add(behindLimit)
	held.Applied(later, 45)
	if isLost(held, later.Add(behindLimit)) {
		t.Error("lost for a revision that has come")
	}
	if !isLost(held, later.Add(behindLimit+time.Millisecond)) {
		t.Error("revision 46 is never missed")
	}
	// Another server gets the same time, and parts of a list stretch it.
	held.Connected(later.Add(behindLimit))
	held.ListPartReceived(later.Add(2 * behindLimit))
	if isLost(held, later.Add(2*behindLimit+behindLimit/2)) {
		t.Error("lost while parts of the state come")
	}
	held.Applied(later.Add(2*behindLimit), 50)
	if isLost(held, later.Add(3*behindLimit)) {
		t.Error("lost although everything is applied")
	}
}

// TestClientThatStoodStillReadsFirst: seen was a client that left a server which brought news for one that
// had none, in a run beside heavy load. A stop of the whole process for 2 s brings it about each time: the
// limit for the next digest passes while what came in time lies unread. The server then has as long as a
// new one for its next digest, and no longer.
func TestClientThatStoodStillReadsFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	look := func(held *Liveness, span time.Duration) bool {
		now = now.Add(span)
		_, lost := held.Check(now)
		return lost
	}
	held := &Liveness{}
	held.Connected(now)
	held.DigestReceived(now, &wirepb.ClusterDigest{Term: 1, Sequence: 1, Revision: 5}, 4)
	if look(held, 2*time.Second) {
		t.Error("lost right after the client stood still")
	}
	held.DigestReceived(now, &wirepb.ClusterDigest{Term: 1, Sequence: 2, Revision: 5}, 5)
	held.Applied(now, 5)
	for range int(silenceLimit / lookInterval) {
		if look(held, lookInterval) {
			t.Fatal("lost though it brought news")
		}
	}
	if !look(held, lookInterval) {
		t.Error("not lost though it fell silent")
	}
	held.Connected(now)
	look(held, 2*time.Second)
	for range int(firstLimit / lookInterval) {
		look(held, lookInterval)
	}
	if !look(held, lookInterval) {
		t.Error("not lost though it brought nothing after the client stood still")
	}
}
