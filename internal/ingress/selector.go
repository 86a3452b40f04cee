package ingress

import (
	"math"
	"sync"

	v1 "github.com/weldline/weldline/api/v1"
)

// goldenRatio is the step with the lowest discrepancy for an additive recurrence modulo 1.
const goldenRatio = 0.6180339887498949

// targetSelector chooses among the weighted targets of a route by an additive recurrence with low
// discrepancy, so that each gets its share of any run of requests. The start is random:
// otherwise all routers would send their first requests to the same target.
type targetSelector struct {
	mutex sync.Mutex
	// position is in [0, 1).
	position float64
}

func newTargetSelector(start float64) *targetSelector {
	return &targetSelector{position: start}
}

// next returns the index of the next target. At least one weight must be above 0.
func (s *targetSelector) next(targets []v1.RouteTarget) int {
	if len(targets) == 1 {
		return 0
	}
	total := 0
	for _, target := range targets {
		total += target.Weight
	}
	position := s.advance() * float64(total)
	last := 0
	for index, target := range targets {
		if target.Weight <= 0 {
			continue
		}
		last = index
		if position < float64(target.Weight) {
			return index
		}
		position -= float64(target.Weight)
	}
	return last
}

func (s *targetSelector) advance() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := s.position
	_, s.position = math.Modf(current + goldenRatio)
	return current
}
