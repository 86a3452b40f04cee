package loadgen

import (
	"time"

	"github.com/weldline/weldline/internal/fault"
)

// Plan describes a load.
type Plan struct {
	// Routers are the base URLs over which requests are spread.
	Routers []string
	// Duration of the steady load.
	Duration time.Duration
	// Burst is the number of requests to cold models at the start, through all routers.
	Burst int
	// Rate is the number of inference requests per second of the steady load.
	Rate float64
	// StreamShare is the fraction of inference requests that stream their response.
	StreamShare float64
	// Skew is the exponent of the Zipf distribution over models; above 1.
	Skew float64
	// Tokens requested per response.
	Tokens int
	// HoldRate is the number of non-idempotent requests per second to Service; none if Service is
	// empty.
	Service  string
	HoldRate float64
	// Deadline of each request.
	Deadline time.Duration
	Seed     uint64
}

// Validate returns an error that names the first invalid field.
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
