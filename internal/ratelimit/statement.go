package ratelimit

import (
	"time"

	"github.com/weldline/weldline/internal/permits"
)

// minPerSecond is the rate for machines with a lower limit: without an occasional request, no
// response could end the limit.
const minPerSecond = 0.1

// Limit is the number of requests per second that a machine accepts from all routers together.
type Limit struct {
	// IsSet is false if the machine states no limit.
	IsSet bool
	// PerSecond applies only if IsSet.
	PerSecond float64
}

// Unlimited is the absence of a limit.
var Unlimited = Limit{}

// NewLimit returns a limit of perSecond requests per second.
func NewLimit(perSecond float64) Limit {
	return Limit{IsSet: true, PerSecond: perSecond}
}

// BucketConfig returns the token bucket for permits of a limited machine. The burst is one
// second's worth, and at least a single request; permits that are used late come on top. In any 4 s that
// is less than 5.3 times the limit, or one request and what the limit gives.
func (l Limit) BucketConfig() permits.BucketConfig {
	rate := max(minPerSecond, l.PerSecond)
	return permits.BucketConfig{Rate: rate, Burst: max(1, rate)}
}

// isStricter reports whether a limit allows fewer requests than another.
func (l Limit) isStricter(other Limit) bool {
	if l.IsSet != other.IsSet {
		return l.IsSet
	}
	return l.IsSet && l.PerSecond < other.PerSecond
}

// Statement is the limit stated in one response.
type Statement struct {
	Limit Limit
	// Sent and Received are when the request was sent and when the head of its response was
	// received: the limit was stated in between.
	Sent, Received time.Duration
}

// supersedes reports whether a statement replaces the current one.
func (s Statement) supersedes(current Statement) bool {
	switch {
	case s.Sent >= current.Received:
		return true
	case current.Sent >= s.Received:
		return false
	case s.Limit != current.Limit:
		return s.Limit.isStricter(current.Limit)
	}
	return s.Received > current.Received
}
