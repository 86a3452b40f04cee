package soak

import (
	"math/rand/v2"
	"time"
)

const (
	cutStreamsDuration = 5 * time.Second
	maxCutStreamsPause = 3 * time.Second
)

// NewStreamPlan draws machines that end some of their streams within an event, two at a time. It has a random
// source of its own, so that the other faults of a seed don't depend on it.
func NewStreamPlan(seed uint64, layout Layout, span time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 5))
	series := func() (drawn []Fault) {
		for at := faultFreeStart; ; at += cutStreamsDuration {
			at += time.Duration(random.Int64N(int64(maxCutStreamsPause)))
			if at+cutStreamsDuration+restartDuration > span {
				return drawn
			}
			drawn = append(drawn, Fault{Kind: FaultCutStreams, At: at, Duration: cutStreamsDuration, Machine: random.IntN(layout.Machines)})
		}
	}
	return MergePlans(series(), series())
}
