package keys

import "time"

// SetClock replaces the clock.
func (s *Store) SetClock(now func() time.Time) { s.now = now }
