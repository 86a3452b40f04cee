package paths

import "time"

const (
	// silenceLimit is how long all machines may be silent, with requests in flight, before the router
	// checks its paths by opening connections.
	silenceLimit = 300 * time.Millisecond
	// silenceCheckInterval separates the checks during one silence.
	silenceCheckInterval = 500 * time.Millisecond
)

// Silence detects that a router receives nothing from any machine although requests are in flight. A
// partition that drops packets shows first in this way. It is not safe for concurrent use.
type Silence struct {
	inFlight  int
	since     time.Time
	lastCheck time.Time
}

// Sent records a request that was written to a machine.
func (s *Silence) Sent(now time.Time) {
	if s.inFlight == 0 {
		s.since = now
	}
	s.inFlight++
}

// Received records bytes from a machine.
func (s *Silence) Received(now time.Time) {
	s.since = now
}

// Ended records that a sent request has ended.
func (s *Silence) Ended() {
	s.inFlight--
}

// InFlight returns the number of sent requests that have not ended.
func (s *Silence) InFlight() int { return s.inFlight }

// StartCheck reports whether the paths must be checked now. inDoubt is set if machines failed and none has responded
// since; waiting for further requests to fail would cost their callers.
func (s *Silence) StartCheck(now time.Time, inDoubt bool) bool {
	silent := s.inFlight > 0 && now.Sub(s.since) >= silenceLimit
	if !silent && !inDoubt || now.Sub(s.lastCheck) < silenceCheckInterval {
		return false
	}
	s.lastCheck = now
	return true
}
