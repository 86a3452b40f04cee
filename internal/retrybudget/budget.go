// Package retrybudget bounds the requests that are sent again.
//
// The problem: retries help where a few requests fail and do harm where many
// do. The bound holds for all routers together, in every window of time, and a
// router knows only its own traffic. A window's requests are those in it, in the
// window before it, or in the one half a window before, whichever has the most:
// repeats follow their requests.
//
// The mechanism: in any window a router sends again at most a ratio of the
// requests that it has sent a first time, and its share of a fixed slack. It
// keeps below both, since windows are counted elsewhere too; a router that has
// just started may have spent its share in an earlier life and gets it bit by
// bit. Time is an argument.
package retrybudget

import "time"

const (
	// buckets is into how many parts the window is cut.
	buckets = 20
	// caution is the share of the bound that is used: the others' clocks and
	// counts differ, and routers come and go.
	caution = 0.7
)

// Config is the bound for all routers together.
type Config struct {
	Ratio  float64
	Slack  int
	Window time.Duration
}

// Budget is one router's share of the bound for one pool. It is not safe for
// concurrent use.
type Budget struct {
	config  Config
	started time.Duration
	first   [buckets]int
	again   [buckets]int
	current int64
}

// New returns a budget that begins at now.
func New(config Config, now time.Duration) *Budget {
	return &Budget{config: config, started: now}
}

func (b *Budget) advance(now time.Duration) {
	width := b.config.Window / buckets
	if width <= 0 {
		width = time.Nanosecond
	}
	position := int64(now / width)
	for b.current < position {
		b.current++
		if position-b.current >= buckets {
			b.current = position - buckets + 1
		}
		b.first[b.current%buckets] = 0
		b.again[b.current%buckets] = 0
	}
}

// CountFirstSend counts a request that is sent for the first time.
func (b *Budget) CountFirstSend(now time.Duration) {
	b.advance(now)
	b.first[b.current%buckets]++
}

// Spend reports whether a request may be sent again now, and counts it.
func (b *Budget) Spend(now time.Duration, routers int) bool {
	b.advance(now)
	if float64(total(b.again)+1) > b.allowed(now, routers) {
		return false
	}
	b.again[b.current%buckets]++
	return true
}

// allowed is how many requests may be sent again in the present window.
func (b *Budget) allowed(now time.Duration, routers int) float64 {
	slack := float64(b.config.Slack) / float64(max(1, routers))
	if age := now - b.started; age < b.config.Window {
		slack *= age.Seconds() / b.config.Window.Seconds()
	}
	return caution * (b.config.Ratio*float64(total(b.first)) + slack)
}

func total(counts [buckets]int) int {
	sum := 0
	for _, count := range counts {
		sum += count
	}
	return sum
}
