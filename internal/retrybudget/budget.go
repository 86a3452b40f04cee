// Package retrybudget bounds the retries of all routers in a sliding window.
//
// In any window a router sends at most a ratio of its first sends, plus its share
// of a fixed slack, as retries. A retry is reserved when the attempt before it fails and counts
// as sent when it is written, which may be much later. The bound holds for the fleet relative to the
// first sends of the window or of one that began up to a window earlier.
package retrybudget

import "time"

const (
	// windowBuckets is the number of parts of the sliding window. The newest part is in progress, so retries are kept for one
	// part more.
	windowBuckets = 20
	buckets       = windowBuckets + 1
	// safetyFactor is the share of the bound that is used. It allows for different
	// clocks and for routers that join and leave.
	safetyFactor = 0.7
)

// Config is the bound for all routers together.
type Config struct {
	// Ratio is the number of retries allowed for each first send.
	Ratio float64
	// Slack is the number of retries allowed regardless of first sends.
	Slack  int
	Window time.Duration
}

// Budget is one router's share of the bound for one pool. It is not safe for
// concurrent use.
type Budget struct {
	config     Config
	started    time.Duration
	firstSends [buckets]int
	retries    [buckets]int
	current    int64
	// reserved counts the retries that have not been sent yet.
	reserved int
}

// New returns a budget of a router that starts at now.
func New(config Config, now time.Duration) *Budget {
	return &Budget{config: config, started: now}
}

func (b *Budget) advance(now time.Duration) {
	width := b.config.Window / windowBuckets
	if width <= 0 {
		width = time.Nanosecond
	}
	position := int64(now / width)
	for b.current < position {
		b.current++
		if position-b.current >= buckets {
			b.current = position - buckets + 1
		}
		b.firstSends[b.current%buckets] = 0
		b.retries[b.current%buckets] = 0
	}
}

// CountFirstSend counts a first send.
func (b *Budget) CountFirstSend(now time.Duration) {
	b.advance(now)
	b.firstSends[b.current%buckets]++
}

// Reserve reports whether a retry is allowed now. It then counts until it is released, or for a window after it was sent. The
// slack is divided among some routers; 0 if this one must not use any.
func (b *Budget) Reserve(now time.Duration, routers int) bool {
	b.advance(now)
	if float64(b.reserved+b.retriesInWindow()+1) > b.allowed(now, routers) {
		return false
	}
	b.reserved++
	return true
}

// CountRetry counts a reserved retry as sent.
func (b *Budget) CountRetry(now time.Duration) {
	b.advance(now)
	b.reserved--
	b.retries[b.current%buckets]++
}

// Release gives back a reserved retry that will not be sent.
func (b *Budget) Release() { b.reserved-- }

// allowed returns the number of retries allowed in the current window. The slack
// of a new router grows over a window, as it may have used its share before a
// restart.
func (b *Budget) allowed(now time.Duration, routers int) float64 {
	slack := 0.0
	if routers > 0 {
		slack = float64(b.config.Slack) / float64(routers)
	}
	if age := now - b.started; age < b.config.Window {
		slack *= age.Seconds() / b.config.Window.Seconds()
	}
	return safetyFactor * (b.config.Ratio*float64(b.firstSendsInWindow()) + slack)
}

// firstSendsInWindow counts the first sends of at most a window.
func (b *Budget) firstSendsInWindow() int {
	sum := 0
	for age := range int64(windowBuckets) {
		sum += b.firstSends[(b.current-age+buckets)%buckets]
	}
	return sum
}

// retriesInWindow counts the retries of at least a window.
func (b *Budget) retriesInWindow() int {
	sum := 0
	for _, count := range b.retries {
		sum += count
	}
	return sum
}
