package feed

import (
	"testing"
	"time"

	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// TestAttemptOrderPutsFailedServersLast guards against returning to a failed server when further
// servers have been discovered.
func TestAttemptOrderPutsFailedServersLast(t *testing.T) {
	seeds := UpstreamsFromAddresses([]string{"a", "b", "c"})
	allServers := UpstreamsFromAddresses([]string{"a", "b", "c", "d"})
	now := time.Unix(1000, 0)
	for _, last := range allServers {
		order := failureHistory{last.Address: {at: now}}.attemptOrder(places.ZoneMap{}, allServers)
		if order[0] == last || order[len(order)-1] != last || len(order) != len(allServers) {
			t.Errorf("order after a failure of %s: %v", last, order)
		}
	}
	visited, failures := map[string]bool{}, failureHistory{"c": {at: now}}
	for range seeds {
		now = now.Add(time.Second)
		next := failures.attemptOrder(places.ZoneMap{}, seeds)[0].Address
		failures.record(now, next, serverFailure{at: now})
		visited[next] = true
	}
	if len(visited) != len(seeds) {
		t.Errorf("visited %v of %v", visited, seeds)
	}
	if next := failures.attemptOrder(places.ZoneMap{}, allServers)[0].Address; next != "d" {
		t.Errorf("%s is tried before the discovered server after failures of all seeds", next)
	}
	if next := (failureHistory{"unknown": {at: now}}).attemptOrder(places.ZoneMap{}, seeds)[0].Address; next != "a" {
		t.Errorf("%s is tried first after the failure of an unknown server", next)
	}
}

// TestLivenessIgnoresOldDigests guards against accepting the last digest of an isolated server as new.
func TestLivenessIgnoresOldDigests(t *testing.T) {
	start := time.Unix(1000, 0)
	digest := func(term, sequence uint64) *wirepb.ClusterDigest {
		return &wirepb.ClusterDigest{Term: term, Sequence: sequence}
	}
	liveness := &Liveness{}
	liveness.Connected(start)
	liveness.DigestReceived(start, digest(2, 7), 0)
	if isLost(liveness, start.Add(digestTimeout)) {
		t.Error("lost before the timeout")
	}
	later := start.Add(digestTimeout + time.Millisecond)
	if !isLost(liveness, later) {
		t.Error("not lost after the timeout")
	}
	liveness.Connected(later)
	liveness.DigestReceived(later, digest(2, 7), 0)
	if !isLost(liveness, later.Add(initialDigestTimeout+time.Millisecond)) {
		t.Error("an old digest extended the deadline")
	}
	liveness.DigestReceived(later, digest(2, 8), 0)
	if isLost(liveness, later.Add(initialDigestTimeout+time.Millisecond)) {
		t.Error("a newer digest did not extend the deadline")
	}
}

// TestLivenessDuringLongLists guards against disconnecting while a large list is received or applied,
// which delays digests.
func TestLivenessDuringLongLists(t *testing.T) {
	now := time.Unix(1000, 0)
	liveness := &Liveness{}
	liveness.Connected(now)
	for range 10 {
		now = now.Add(initialDigestTimeout / 2)
		if isLost(liveness, now) {
			t.Fatal("lost while receiving parts of a list")
		}
		liveness.ListPartReceived(now)
	}
	liveness.SetApplying(now, true)
	now = now.Add(10 * initialDigestTimeout)
	if isLost(liveness, now) {
		t.Error("lost while applying a list")
	}
	liveness.SetApplying(now, false)
	if isLost(liveness, now.Add(initialDigestTimeout)) {
		t.Error("lost before a digest could be read after applying a list")
	}
	if !isLost(liveness, now.Add(initialDigestTimeout+time.Millisecond)) {
		t.Error("not lost although nothing was received after the list")
	}
}

func isLost(liveness *Liveness, now time.Time) bool {
	_, lost := liveness.Lost(now)
	return lost
}

// TestLivenessDetectsMissingRevisions guards against staying with a server that receives digests but
// no log entries.
func TestLivenessDetectsMissingRevisions(t *testing.T) {
	now := time.Unix(1000, 0)
	digest := func(sequence, revision uint64) *wirepb.ClusterDigest {
		return &wirepb.ClusterDigest{Term: 2, Sequence: sequence, Revision: revision}
	}
	liveness := &Liveness{}
	liveness.Connected(now)
	liveness.DigestReceived(now, digest(1, 40), 40)
	if isLost(liveness, now.Add(digestTimeout)) {
		t.Error("lost although no revision is missing")
	}
	liveness.DigestReceived(now, digest(2, 45), 40)
	liveness.DigestReceived(now.Add(catchUpTimeout/2), digest(3, 46), 40)
	if isLost(liveness, now.Add(catchUpTimeout)) {
		t.Error("lost before the timeout")
	}
	if reason, lost := liveness.Lost(now.Add(catchUpTimeout + time.Millisecond)); !lost || reason != DisconnectBehind {
		t.Errorf("revision 45 is missing beyond the timeout: reason %q, lost %t", reason, lost)
	}
	// Once the missing revision is applied, the newest digest starts a timeout of its own.
	later := now.Add(catchUpTimeout)
	liveness.Applied(later, 45)
	if isLost(liveness, later.Add(catchUpTimeout)) {
		t.Error("lost for a revision that has been applied")
	}
	if !isLost(liveness, later.Add(catchUpTimeout+time.Millisecond)) {
		t.Error("not lost although revision 46 is missing")
	}
	// A new connection restarts the timeout, and parts of a list extend it.
	liveness.Connected(later.Add(catchUpTimeout))
	liveness.ListPartReceived(later.Add(2 * catchUpTimeout))
	if isLost(liveness, later.Add(2*catchUpTimeout+catchUpTimeout/2)) {
		t.Error("lost while receiving parts of a list")
	}
	liveness.Applied(later.Add(2*catchUpTimeout), 50)
	if isLost(liveness, later.Add(3*catchUpTimeout)) {
		t.Error("lost although all revisions are applied")
	}
}

// TestLivenessAfterClientStall guards against disconnecting after a stall of this process, before the
// digests that arrived meanwhile are read. The server then has as long as after connecting to send its
// next digest.
func TestLivenessAfterClientStall(t *testing.T) {
	now := time.Unix(1000, 0)
	checkAfter := func(liveness *Liveness, elapsed time.Duration) bool {
		now = now.Add(elapsed)
		_, lost := liveness.Check(now)
		return lost
	}
	liveness := &Liveness{}
	liveness.Connected(now)
	liveness.DigestReceived(now, &wirepb.ClusterDigest{Term: 1, Sequence: 1, Revision: 5}, 4)
	if checkAfter(liveness, 2*time.Second) {
		t.Error("lost right after a stall of the client")
	}
	liveness.DigestReceived(now, &wirepb.ClusterDigest{Term: 1, Sequence: 2, Revision: 5}, 5)
	liveness.Applied(now, 5)
	for range int(digestTimeout / livenessCheckInterval) {
		if checkAfter(liveness, livenessCheckInterval) {
			t.Fatal("lost although a newer digest has arrived")
		}
	}
	if !checkAfter(liveness, livenessCheckInterval) {
		t.Error("not lost although no newer digest has arrived")
	}
	liveness.Connected(now)
	checkAfter(liveness, 2*time.Second)
	for range int(initialDigestTimeout / livenessCheckInterval) {
		checkAfter(liveness, livenessCheckInterval)
	}
	if !checkAfter(liveness, livenessCheckInterval) {
		t.Error("not lost although no digest has arrived after a stall of the client")
	}
}
