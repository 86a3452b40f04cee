package feed

import (
	"time"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// digestTimeout is the longest time without a new digest. Digests are sent every 500 ms.
	digestTimeout = 1500 * time.Millisecond
	// initialDigestTimeout is the time a new connection has to deliver a new digest.
	initialDigestTimeout = 900 * time.Millisecond
	// catchUpTimeout is the longest time a server may lack changes announced in its digests. It leaves
	// time to fail over within 2 s of a change, of which up to 0.5 s pass until the next digest.
	catchUpTimeout        = 700 * time.Millisecond
	livenessCheckInterval = initialDigestTimeout / 4
	// stallThreshold is the time between two checks above which the client itself is considered to
	// have been stalled.
	stallThreshold = 2 * livenessCheckInterval
)

// DisconnectReason is the reason why a client left a server.
type DisconnectReason string

// Reasons for leaving a server.
const (
	// DisconnectClosed means that the connection was closed or broken.
	DisconnectClosed DisconnectReason = "closed"
	// DisconnectNoDigest means that the server sent no new digest in time.
	DisconnectNoDigest DisconnectReason = "silent"
	// DisconnectBehind means that the server lacks changes announced in its digests: it receives from
	// the leader, but does not replicate its log.
	DisconnectBehind DisconnectReason = "behind"
	// DisconnectSuspended means that this machine was suspended, so its state is outdated and the
	// server may have closed the connection.
	DisconnectSuspended DisconnectReason = "slept"
	// DisconnectRebalanced means that the client switched to a server that it prefers.
	DisconnectRebalanced DisconnectReason = "moved"
)

// Liveness detects servers that no longer receive from the leader, or whose state is behind. Only a
// digest newer than all before shows contact with the leader, since an isolated server repeats its
// last digest. Digests alone don't show that the state is up to date: a server whose replies don't
// reach the leader gets digests but no log entries.
type Liveness struct {
	newest *wirepb.ClusterDigest
	// missingRevision is a revision announced in a digest and not applied since missingSince, or 0.
	missingRevision uint64
	missingSince    time.Time
	// deadline is the time by which the next new digest or list part must arrive.
	deadline  time.Time
	lastCheck time.Time
	// applying is set while the client applies a list and does not read from the connection.
	applying bool
	reason   DisconnectReason
}

// Connected starts the timeouts for a new connection.
func (l *Liveness) Connected(now time.Time) {
	l.deadline = now.Add(initialDigestTimeout)
	l.reason = DisconnectClosed
	l.missingSince, l.lastCheck = now, now
}

// DigestReceived records a digest and the revision applied so far.
func (l *Liveness) DigestReceived(now time.Time, digest *wirepb.ClusterDigest, applied uint64) {
	if !IsNewerDigest(digest, l.newest) {
		return
	}
	l.newest = digest
	l.deadline = now.Add(digestTimeout)
	if l.missingRevision == 0 {
		l.trackMissing(now, applied)
	}
}

// Applied records the revision applied so far.
func (l *Liveness) Applied(now time.Time, applied uint64) {
	if applied >= l.missingRevision {
		l.trackMissing(now, applied)
	}
}

// trackMissing starts the catch-up timeout if the newest digest announces a revision that is not
// applied.
func (l *Liveness) trackMissing(now time.Time, applied uint64) {
	l.missingRevision = 0
	if revision := l.newest.GetRevision(); revision > applied {
		l.missingRevision, l.missingSince = revision, now
	}
}

// ListPartReceived extends the deadline after a part of a list. Digests queue behind the parts, and
// sending a large list over a slow link may take longer than the timeouts. An isolated server sends no
// more parts once its list is complete.
func (l *Liveness) ListPartReceived(now time.Time) {
	if deadline := now.Add(initialDigestTimeout); deadline.After(l.deadline) {
		l.deadline = deadline
	}
	l.missingSince = now
}

// SetApplying records the start or end of applying a list, during which the client does not read from
// the connection.
func (l *Liveness) SetApplying(now time.Time, applying bool) {
	l.applying = applying
	if deadline := now.Add(initialDigestTimeout); !applying && deadline.After(l.deadline) {
		l.deadline = deadline
	}
	l.missingSince = now
}

// Check is like Lost, but must be called every livenessCheckInterval. After a stall of this process it
// extends the deadline, since digests that arrived meanwhile have not been read yet.
func (l *Liveness) Check(now time.Time) (reason DisconnectReason, lost bool) {
	if now.Sub(l.lastCheck) > stallThreshold {
		if deadline := now.Add(initialDigestTimeout); deadline.After(l.deadline) {
			l.deadline = deadline
		}
		l.missingSince = now
	}
	l.lastCheck = now
	return l.Lost(now)
}

// Lost reports whether to disconnect from the server, and why.
func (l *Liveness) Lost(now time.Time) (reason DisconnectReason, lost bool) {
	switch {
	case l.applying:
		return "", false
	case now.After(l.deadline):
		return DisconnectNoDigest, true
	case l.missingRevision != 0 && now.After(l.missingSince.Add(catchUpTimeout)):
		return DisconnectBehind, true
	}
	return "", false
}
