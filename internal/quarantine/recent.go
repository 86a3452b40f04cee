package quarantine

import "time"

const (
	// recentCompletion is for how long, at least, a completed request shows that neither it nor the parts of its prompt
	// crash machines. It is short, so that one which becomes harmful is soon counted.
	recentCompletion = 5 * time.Second
	// maxRecent bounds the requests, and the parts, that are remembered; with more, they are forgotten earlier.
	maxRecent = 8192
)

// recentSet remembers what completed recently, in two generations.
type recentSet[Key comparable] struct {
	current, previous map[Key]struct{}
	startedAt         time.Time
}

func (r *recentSet[Key]) add(now time.Time, keys ...Key) {
	r.rotate(now)
	if len(keys) > 0 && r.current == nil {
		r.current = map[Key]struct{}{}
	}
	for _, key := range keys {
		r.current[key] = struct{}{}
	}
}

// rotate starts a new generation if the current one is old or full.
func (r *recentSet[Key]) rotate(now time.Time) {
	switch age := now.Sub(r.startedAt); {
	case age >= 2*recentCompletion:
		r.current, r.previous, r.startedAt = nil, nil, now
	case age >= recentCompletion || len(r.current) >= maxRecent:
		r.current, r.previous, r.startedAt = nil, r.current, now
	}
}

func (r *recentSet[Key]) contains(now time.Time, key Key) bool {
	r.rotate(now)
	_, isCurrent := r.current[key]
	_, isPrevious := r.previous[key]
	return isCurrent || isPrevious
}
