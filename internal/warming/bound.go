package warming

import "time"

const (
	// PermitLifetime is for how long a permit may be used, counted by the router from before it
	// asked. It covers a few round trips between regions; a longer one would cost burst, as what
	// was permitted over that time may all be sent in the same second.
	PermitLifetime = 250 * time.Millisecond
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

// Allows is how many requests a machine that bears so many a second may get in one second.
func (b Bound) Allows(perSecond float64) float64 {
	return perSecond*b.Factor + b.Slack
}

// allowance is the rate, in tokens a second, and the depth of a machine's bucket.
type allowance struct {
	rate, burst float64
}

// allowance derives the bucket from the bound. A permit given at t is used before
// t + PermitLifetime, so the requests of one window have permits from a span of at most
// window + PermitLifetime, in which a bucket gives out burst + rate * span. That must not exceed
// what is allowed. The machine bears the rate for long; a burst of one second's worth is as much
// as it need be offered at once. Where the bound leaves no room for a single token beside the
// rate, the rate gives way; where it leaves none at all, nothing is permitted.
func (b Bound) allowance(perSecond float64) allowance {
	allowed := b.Allows(perSecond) * (1 - margin)
	span := (window + PermitLifetime).Seconds()
	rate := min(perSecond, (allowed-1)/span)
	if rate <= 0 {
		return allowance{}
	}
	return allowance{rate: rate, burst: max(1, min(perSecond, allowed-rate*span))}
}
