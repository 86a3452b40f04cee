package drains

import "time"

const (
	// StallThreshold is how long a process may go without running before it counts as stalled. It
	// bounds the time that a request may wait unread.
	StallThreshold = 400 * time.Millisecond
	// stallRecovery is how long after a stall requests may still be old ones from the socket
	// buffers.
	stallRecovery = time.Second
	// StallCheckInterval is how often Tick should be called.
	StallCheckInterval = 50 * time.Millisecond
)

// StallDetector detects that the process was stopped, or its machine suspended, by a clock that
// counts suspensions.
//
// Invariant: while it reports no stall, every moment of the last stallRecovery was less than
// StallThreshold away from one at which the process ran.
type StallDetector struct {
	lastTick     time.Duration
	stalledUntil time.Duration
}

// Tick records that the process runs now.
func (s *StallDetector) Tick(now time.Duration) {
	if now-s.lastTick > StallThreshold {
		s.stalledUntil = now + stallRecovery
	}
	s.lastTick = now
}

// Stalled reports whether requests may have waited unread. It is accurate even before the first
// Tick after a stall.
func (s *StallDetector) Stalled(now time.Duration) bool {
	return now-s.lastTick > StallThreshold || now < s.stalledUntil
}
