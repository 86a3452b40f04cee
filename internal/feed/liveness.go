package feed

import (
	"time"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// silenceLimit is how long a server may bring no new digest. Digests come
	// several times as often, so a longer silence means a server that is cut off.
	silenceLimit = 1500 * time.Millisecond
	// firstLimit is how long a server has for its first new digest.
	firstLimit = 900 * time.Millisecond
)

// lossReason is why a client follows a server no more.
type lossReason string

const (
	// lostClosed is a connection that the server closed, or that broke.
	lostClosed lossReason = "closed"
	// lostSilent is a server without news from a leader.
	lostSilent lossReason = "silent"
	// lostMoved is a change to the client's first choice.
	lostMoved lossReason = "moved"
)

// liveness tells whether a server still hears from a leader. Only a digest that
// is newer than any before is a sign of it: a server that is cut off goes on
// answering with what it holds.
type liveness struct {
	newest *wirepb.ClusterDigest
	// limit is in force until due.
	due time.Time
	// applying is set while the client takes over a state and reads nothing.
	applying bool
	// reason is why the present server is left, or was.
	reason lossReason
}

// connected begins the time of a new server.
func (l *liveness) connected(now time.Time) {
	l.due = now.Add(firstLimit)
	l.reason = lostClosed
}

// take notes a digest.
func (l *liveness) take(now time.Time, digest *wirepb.ClusterDigest) {
	if !Newer(digest, l.newest) {
		return
	}
	l.newest = digest
	l.due = now.Add(silenceLimit)
}

// takePart notes a part of the state that more is to come of. Digests wait behind it: with
// thousands of machines the whole state takes seconds on a slow link, and a client that gave
// up then would begin anew with the next server, for ever. A server that is cut off has no
// more parts once it has sent what it holds.
func (l *liveness) takePart(now time.Time) {
	if due := now.Add(firstLimit); due.After(l.due) {
		l.due = due
	}
}

// apply notes that the client begins to take over what it received, or is done with it.
// It hears nothing meanwhile.
func (l *liveness) apply(now time.Time, begins bool) {
	l.applying = begins
	if due := now.Add(firstLimit); !begins && due.After(l.due) {
		l.due = due
	}
}

// lost reports whether another server should be tried.
func (l *liveness) lost(now time.Time) bool {
	return !l.applying && now.After(l.due)
}
