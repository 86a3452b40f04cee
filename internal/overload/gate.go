// Package overload decides which new connections a server closes before it reads them.
//
// A server without a free processor still accepts connections. They wait until their clients give up, and the server
// then works on requests that nobody waits for, so that it serves less the more connections come. A client whose
// connection is closed unread tries another server at once. Invariant: while connections are read without delay, or few
// wait, none is closed.
package overload

import "time"

const (
	// target is the longest wait between the acceptance of a connection and its first read that is normal.
	target = 50 * time.Millisecond
	// interval is how long connections must wait longer than target before any is closed. A processor quota also
	// delays connections until its next period, but then reads all that wait.
	interval = 100 * time.Millisecond
	// repeatInterval replaces interval within memory after a connection was closed.
	repeatInterval = 30 * time.Millisecond
	memory         = time.Second
	// minWaiting is the number of waiting connections up to which none is closed.
	minWaiting = 8
)

// Gate decides for the connections of one server. It is not safe for concurrent use.
type Gate struct {
	waiting int
	// lateSince is when connections began to wait longer than target; zero if the last one did not.
	lateSince time.Time
	// closedAt is when a connection was last closed.
	closedAt time.Time
}

// Accepted counts an accepted connection that has not been read yet.
func (g *Gate) Accepted() { g.waiting++ }

// Abandoned removes a connection that was closed before it was to be read.
func (g *Gate) Abandoned() { g.waiting-- }

// Admit reports whether a connection may be read after it waited for a time, and removes it from those that wait.
func (g *Gate) Admit(now time.Time, waited time.Duration) bool {
	g.waiting--
	if waited <= target {
		g.lateSince = time.Time{}
		return true
	}
	if g.lateSince.IsZero() {
		g.lateSince = now
	}
	tolerated := interval
	if !g.closedAt.IsZero() && now.Sub(g.closedAt) < memory {
		tolerated = repeatInterval
	}
	if g.waiting < minWaiting || now.Sub(g.lateSince) < tolerated {
		return true
	}
	g.closedAt = now
	return false
}
