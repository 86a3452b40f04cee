package permits

import "time"

// MaxRetryAfter bounds the retry time of refused routers. The restriction of the machine, or the
// waiting request, may end earlier; longer reservations would leave tokens unused.
const MaxRetryAfter = 500 * time.Millisecond

// Lifetime is how long a permit may be used, counted by the router from before its request. It
// covers a few round trips between regions; all permits of a lifetime may be used at once, so a
// longer one would reduce the burst.
const Lifetime = 250 * time.Millisecond

// BucketConfig configures a machine's token bucket. The zero value permits nothing.
type BucketConfig struct {
	// Rate is the sustained number of requests per second.
	Rate float64
	// Burst is the bucket's capacity in requests.
	Burst float64
}

// Min returns the configuration that satisfies both.
func (c BucketConfig) Min(other BucketConfig) BucketConfig {
	return BucketConfig{Rate: min(c.Rate, other.Rate), Burst: min(c.Burst, other.Burst)}
}
