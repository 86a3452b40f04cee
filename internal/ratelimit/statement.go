package ratelimit

import (
	"time"

	"github.com/weldline/weldline/internal/permits"
)

// leastPerSecond is the rate of a machine that takes nothing, or nearly nothing: without a request now
// and then, no answer could end its limit.
const leastPerSecond = 0.1

// Limit is how many requests a second a machine takes from all routers together.
type Limit struct {
	// IsSet is false where a machine names no limit.
	IsSet bool
	// PerSecond means something only where IsSet is.
	PerSecond float64
}

// Unlimited is what a machine says that takes whatever it gets.
var Unlimited = Limit{}

// NewLimit is a limit of so many requests a second.
func NewLimit(perSecond float64) Limit {
	return Limit{IsSet: true, PerSecond: perSecond}
}

// BucketConfig is what a limited machine may get. A burst is what the machine takes in a second: it may get a
// single request at least, and permits that are used late come on top. In any 4 s that is less than
// 5.3 times the limit, or one request and what the limit gives.
func (l Limit) BucketConfig() permits.BucketConfig {
	rate := max(leastPerSecond, l.PerSecond)
	return permits.BucketConfig{Rate: rate, Burst: max(1, rate)}
}

// isStricter reports whether a limit lets fewer requests through than another.
func (l Limit) isStricter(other Limit) bool {
	if l.IsSet != other.IsSet {
		return l.IsSet
	}
	return l.IsSet && l.PerSecond < other.PerSecond
}

// Statement is what a machine said in one answer.
type Statement struct {
	Limit Limit
	// Sent and Heard are when the request was sent and when the head of its answer came: the
	// machine said it between them.
	Sent, Received time.Duration
}

// supersedes reports whether a statement takes the place of another.
func (s Statement) supersedes(held Statement) bool {
	switch {
	case s.Sent >= held.Received:
		return true
	case held.Sent >= s.Received:
		return false
	case s.Limit != held.Limit:
		return s.Limit.isStricter(held.Limit)
	}
	return s.Received > held.Received
}
