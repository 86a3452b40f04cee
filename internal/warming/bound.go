package warming

import (
	"time"

	"github.com/weldline/weldline/internal/permits"
)

const (
	// window is the span over which a machine's requests are counted.
	window = time.Second
	// margin is the unused share of the bound, for the delay between the check of a permit and the
	// write of its request, and for clock skew.
	margin = 0.05
)

// Bound is how far all routers together may exceed the rate that a pool declares for machines that
// are warming up: at most rate times Factor plus Slack requests in any second.
type Bound struct {
	Factor, Slack float64
}

// MaxRequests returns the number of requests allowed in one second at a declared rate.
func (b Bound) MaxRequests(perSecond float64) float64 {
	return perSecond*b.Factor + b.Slack
}

// BucketConfig derives the token bucket of a machine from its declared rate. A permit is used
// within permits.Lifetime, so the requests of one window have permits from a span of at most
// window + permits.Lifetime, in which a bucket grants burst + rate * span. This must not exceed
// MaxRequests. A burst of one second's worth is as much as the machine need be offered at once. If the bound leaves no room for a single token, the rate is reduced; if it leaves
// none at all, nothing is permitted.
func (b Bound) BucketConfig(perSecond float64) permits.BucketConfig {
	allowed := b.MaxRequests(perSecond) * (1 - margin)
	span := (window + permits.Lifetime).Seconds()
	rate := min(perSecond, (allowed-1)/span)
	if rate <= 0 {
		return permits.BucketConfig{}
	}
	return permits.BucketConfig{Rate: rate, Burst: max(1, min(perSecond, allowed-rate*span))}
}
