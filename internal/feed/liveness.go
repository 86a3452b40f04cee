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
	// behindLimit is how long a server may lack changes that its digests tell of. In order, they
	// come within some tens of milliseconds of each other. A confirmed configuration must be in
	// force within 2 s: a digest tells of it after 0.5 s at most, and a new connection with what
	// was missed takes about 0.1 s.
	behindLimit = 700 * time.Millisecond
	// lookInterval is how often a client looks whether its server should be left, and stallLimit
	// between two looks tells that the client itself stood still.
	lookInterval = firstLimit / 4
	stallLimit   = 2 * lookInterval
)

// DisconnectReason is why a client follows a server no more; empty while it follows one.
type DisconnectReason string

// The reasons for leaving a server.
const (
	// DisconnectClosed is a connection that the server closed, or that broke.
	DisconnectClosed DisconnectReason = "closed"
	// DisconnectNoDigest is a server without news from a leader.
	DisconnectNoDigest DisconnectReason = "silent"
	// DisconnectBehind is a server that lacks changes its digests tell of: it hears the leader, and
	// what it holds is not what the leader holds.
	DisconnectBehind DisconnectReason = "behind"
	// DisconnectSuspended is a sleep of this machine: what came before it is out of date, and the server
	// may have given the connection up.
	DisconnectSuspended DisconnectReason = "slept"
	// DisconnectRebalanced is a change to a server that the client prefers.
	DisconnectRebalanced DisconnectReason = "moved"
)

// Liveness tells whether a server still hears from a leader, and holds what the leader
// holds. Only a digest that is newer than any before is a sign of the first: a server that is
// cut off goes on answering with what it holds. It is none of the second: a server whose
// answers don't reach the leader gets digests, and no entries of the log.
type Liveness struct {
	newest *wirepb.ClusterDigest
	// missing is a revision that a digest told of and that has not been applied since
	// missingSince; 0 if there is none.
	missing      uint64
	missingSince time.Time
	// limit is in force until due.
	due time.Time
	// looked is when Look was called last.
	looked time.Time
	// applying is set while the client takes over a state and reads nothing.
	applying bool
	// reason is why the present server is left, or was.
	reason DisconnectReason
}

// Connected begins the time of a new server.
func (l *Liveness) Connected(now time.Time) {
	l.due = now.Add(firstLimit)
	l.reason = DisconnectClosed
	l.missingSince, l.looked = now, now
}

// DigestReceived notes a digest; held is the revision applied by then.
func (l *Liveness) DigestReceived(now time.Time, digest *wirepb.ClusterDigest, held uint64) {
	if !IsNewerDigest(digest, l.newest) {
		return
	}
	l.newest = digest
	l.due = now.Add(silenceLimit)
	if l.missing == 0 {
		l.expect(now, held)
	}
}

// Applied notes that everything up to the revision held is applied.
func (l *Liveness) Applied(now time.Time, held uint64) {
	if held >= l.missing {
		l.expect(now, held)
	}
}

// expect begins the time for what the newest digest tells of, if that is not held.
func (l *Liveness) expect(now time.Time, held uint64) {
	l.missing = 0
	if revision := l.newest.GetRevision(); revision > held {
		l.missing, l.missingSince = revision, now
	}
}

// ListPartReceived notes a part of the state that more is to come of. Digests wait behind it: with
// thousands of machines the whole state takes seconds on a slow link, and a client that gave
// up then would begin anew with the next server, for ever. A server that is cut off has no
// more parts once it has sent what it holds.
func (l *Liveness) ListPartReceived(now time.Time) {
	if due := now.Add(firstLimit); due.After(l.due) {
		l.due = due
	}
	l.missingSince = now
}

// SetApplying notes that the client begins to take over what it received, or is done with it.
// It hears nothing meanwhile.
func (l *Liveness) SetApplying(now time.Time, begins bool) {
	l.applying = begins
	if due := now.Add(firstLimit); !begins && due.After(l.due) {
		l.due = due
	}
	l.missingSince = now
}

// Check is Lost for a client that looks every lookInterval. One that stood still meanwhile has not read
// what its server sent: it would leave a server that brings news for whichever is next, and that may be
// one that is cut off.
func (l *Liveness) Check(now time.Time) (reason DisconnectReason, lost bool) {
	if now.Sub(l.looked) > stallLimit {
		if due := now.Add(firstLimit); due.After(l.due) {
			l.due = due
		}
		l.missingSince = now
	}
	l.looked = now
	return l.Lost(now)
}

// Lost reports whether another server should be tried, and why.
func (l *Liveness) Lost(now time.Time) (reason DisconnectReason, lost bool) {
	switch {
	case l.applying:
		return "", false
	case now.After(l.due):
		return DisconnectNoDigest, true
	case l.missing != 0 && now.After(l.missingSince.Add(behindLimit)):
		return DisconnectBehind, true
	}
	return "", false
}
