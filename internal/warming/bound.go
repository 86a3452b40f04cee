package warming

import (
	"time"

	"github.com/weldline/weldline/internal/permits"
)

const (
	// window is the span over which a machine's requests are counted.
	window = time.Second
	// margin is the share of the bound that is left unused: a request that has been checked may
	// reach the wire a moment after its permit ended, and clocks don't run alike.
	margin = 0.05
)

// Bound is by how much all routers together may exceed what a pool declares that a machine
// bears while it warms up: rate times Factor plus Slack requests in any one second.
type Bound struct {
	Factor, Slack float64
}

// MaxRequests is how many requests a machine that bears so many a second may get in one second.
func (b Bound) MaxRequests(perSecond float64) float64 {
	return perSecond*b.Factor + b.Slack
}

// BucketConfig derives the bucket of a machine that bears so many requests a second from the bound. A permit
// given at t is used before t + permits.Lifetime, so the requests of one window have permits from a
// span of at most window + permits.Lifetime, in which a bucket gives out burst + rate * span. That
// must not exceed what is allowed. The machine bears the rate for long; a burst of one second's worth
// is as much as it need be offered at once. Where the bound leaves no room for a single token beside
// the rate, the rate gives way; where it leaves none at all, nothing is permitted.
func (b Bound) BucketConfig(perSecond float64) permits.BucketConfig {
	allowed := b.MaxRequests(perSecond) * (1 - margin)
	span := (window + permits.Lifetime).Seconds()
	rate := min(perSecond, (allowed-1)/span)
	if rate <= 0 {
		return permits.BucketConfig{}
	}
	return permits.BucketConfig{Rate: rate, Burst: max(1, min(perSecond, allowed-rate*span))}
}
