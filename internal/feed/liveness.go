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

// liveness tells whether a server still hears from a leader. Only a digest that
// is newer than any before is a sign of it: a server that is cut off goes on
// answering with what it holds.
type liveness struct {
	newest *wirepb.ClusterDigest
	// limit is in force until due.
	due time.Time
}

// connected begins the time of a new server.
func (l *liveness) connected(now time.Time) {
	l.due = now.Add(firstLimit)
}

// take notes a digest.
func (l *liveness) take(now time.Time, digest *wirepb.ClusterDigest) {
	if !Newer(digest, l.newest) {
		return
	}
	l.newest = digest
	l.due = now.Add(silenceLimit)
}

// lost reports whether another server should be tried.
func (l *liveness) lost(now time.Time) bool {
	return now.After(l.due)
}
