package quarantine

import "time"

const (
	// recentCompletion is for how long, at least, a completed request shows that the parts of its prompt don't
	// crash machines. It is short, so that a part which becomes harmful is soon counted.
	recentCompletion = 5 * time.Second
	// maxRecentParts bounds the parts that are remembered; with more, they are forgotten earlier.
	maxRecentParts = 8192
)

// recentParts remembers the prompt parts of requests that completed recently, in two generations.
type recentParts struct {
	current, previous map[string]struct{}
	startedAt         time.Time
}

func (r *recentParts) add(now time.Time, parts []string) {
	r.rotate(now)
	if len(parts) > 0 && r.current == nil {
		r.current = map[string]struct{}{}
	}
	for _, part := range parts {
		r.current[part] = struct{}{}
	}
}

// rotate starts a new generation if the current one is old or full.
func (r *recentParts) rotate(now time.Time) {
	switch age := now.Sub(r.startedAt); {
	case age >= 2*recentCompletion:
		r.current, r.previous, r.startedAt = nil, nil, now
	case age >= recentCompletion || len(r.current) >= maxRecentParts:
		r.current, r.previous, r.startedAt = nil, r.current, now
	}
}

func (r *recentParts) contains(now time.Time, part string) bool {
	r.rotate(now)
	_, isCurrent := r.current[part]
	_, isPrevious := r.previous[part]
	return isCurrent || isPrevious
}
