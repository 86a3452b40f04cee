package permits

import "time"

// MaxRetryAfter bounds for how long a router that is refused leaves a machine alone. What bounds the
// machine may have ended by then, and so may the wait of those that a token was promised to: longer
// promises leave tokens unused.
const MaxRetryAfter = 500 * time.Millisecond

// Lifetime is for how long a permit may be used, counted by the router from before it asked. It
// covers a few round trips between regions; a longer one would cost burst, as what was permitted over
// that time may all be sent at once.
const Lifetime = 250 * time.Millisecond

// BucketConfig is what a machine may get. The zero pace permits nothing.
type BucketConfig struct {
	// Rate is how many requests a second it may get for long.
	Rate float64
	// Burst is how many it may get at once.
	Burst float64
}

// Min is the pace of a machine that is bounded by both.
func (p BucketConfig) Min(other BucketConfig) BucketConfig {
	return BucketConfig{Rate: min(p.Rate, other.Rate), Burst: min(p.Burst, other.Burst)}
}
