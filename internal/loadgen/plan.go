package loadgen

import (
	"time"

	"github.com/weldline/weldline/internal/fault"
)

// Plan describes a load.
type Plan struct {
	// Routers are the base URLs that requests are spread over.
	Routers []string
	// Duration of the steady part.
	Duration time.Duration
	// Burst is how many requests to cold models come at once at the start,
	// through all routers.
	Burst int
	// Rate of inference requests a second in the steady part.
	Rate float64
	// StreamShare of inference requests are streams.
	StreamShare float64
	// Skew is the exponent of the Zipf distribution over models; above 1.
	Skew float64
	// Tokens asked for.
	Tokens int
	// Service and HoldRate of unrepeatable requests; an empty service: none.
	Service  string
	HoldRate float64
	// Deadline of every request.
	Deadline time.Duration
	Seed     uint64
}

// Validate checks the plan.
func (p *Plan) Validate() error {
	switch {
	case len(p.Routers) == 0:
		return fault.InvalidField("routers", "at least one router is required")
	case p.Rate < 0 || p.HoldRate < 0:
		return fault.InvalidField("rate", "rates must not be negative")
	case p.StreamShare < 0 || p.StreamShare > 1:
		return fault.InvalidField("stream-share", "must be between 0 and 1")
	case p.Skew <= 1:
		return fault.InvalidField("skew", "must be above 1")
	case p.Tokens < 1:
		return fault.InvalidField("tokens", "must be at least 1")
	case p.Deadline <= 0:
		return fault.InvalidField("deadline", "must be above 0s")
	}
	return nil
}
