package drains

import "time"

const (
	// StallThreshold is how long a process may go without running before it counts as stalled. A call
	// that arrived meanwhile is as old at most when it is read.
	StallThreshold = 400 * time.Millisecond
	// stallRest is how long after a stall calls are not trusted to be fresh: until then the
	// sockets have been emptied of what came during the stall, also on a busy machine.
	stallRest = time.Second
	// StallCheckInterval is how often the process notes that it runs.
	StallCheckInterval = 50 * time.Millisecond
)

// StallDetector tells whether this process was stopped, or its machine frozen or asleep, until a
// moment ago. It is told of each time that the process runs, by a clock that counts sleep.
//
// Invariant: while it reports no stall, every moment of the last stallRest was less than
// StallThreshold away from one at which the process ran.
type StallDetector struct {
	lastRun      time.Duration
	doubtedUntil time.Duration
}

// Tick notes that the process runs now.
func (s *StallDetector) Tick(now time.Duration) {
	if now-s.lastRun > StallThreshold {
		s.doubtedUntil = now + stallRest
	}
	s.lastRun = now
}

// Stalled reports whether calls may have waited unread. The process may run again before Run
// has been called.
func (s *StallDetector) Stalled(now time.Duration) bool {
	return now-s.lastRun > StallThreshold || now < s.doubtedUntil
}
