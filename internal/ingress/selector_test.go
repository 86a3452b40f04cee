package ingress

import (
	"math"
	"math/rand/v2"
	"testing"

	v1 "github.com/weldline/weldline/api/v1"
)

func targetsOf(weights ...int) []v1.RouteTarget {
	targets := make([]v1.RouteTarget, 0, len(weights))
	for _, weight := range weights {
		targets = append(targets, v1.RouteTarget{Weight: weight})
	}
	return targets
}

// worstError returns the largest deviation of a target's share of the requests from its share
// of the weights, with requests spread at random over the routers.
func worstError(random *rand.Rand, routers, requests int, targets []v1.RouteTarget) float64 {
	all := make([]*targetSelector, 0, routers)
	for range routers {
		all = append(all, newTargetSelector(random.Float64()))
	}
	counts := make([]int, len(targets))
	for range requests {
		counts[all[random.IntN(routers)].next(targets)]++
	}
	total, worst := 0, 0.0
	for _, target := range targets {
		total += target.Weight
	}
	for index, target := range targets {
		share := float64(counts[index]) / float64(requests)
		worst = max(worst, math.Abs(share-float64(target.Weight)/float64(total)))
	}
	return worst
}

// TestWeightedSharesOverManyRouters checks that the weights hold over all routers, also with few
// requests at each.
func TestWeightedSharesOverManyRouters(t *testing.T) {
	for _, test := range []struct {
		routers, requests int
		bound             float64
	}{{1, 200, 0.015}, {8, 200, 0.04}, {80, 200, 0.08}, {80, 2000, 0.02}} {
		random := rand.New(rand.NewPCG(17, 19))
		worst := 0.0
		for range 50 {
			for _, targets := range [][]v1.RouteTarget{targetsOf(90, 10), targetsOf(1, 1), targetsOf(700, 200, 100)} {
				worst = max(worst, worstError(random, test.routers, test.requests, targets))
			}
		}
		t.Logf("%d requests at %d routers: largest deviation %.3f", test.requests, test.routers, worst)
		if worst > test.bound {
			t.Errorf("%d requests at %d routers: deviation %.3f, allowed %.3f", test.requests, test.routers, worst, test.bound)
		}
	}
}

// TestZeroWeightTargetsNeverChosen checks that targets with weight 0 are never chosen.
func TestZeroWeightTargetsNeverChosen(t *testing.T) {
	selector, targets := newTargetSelector(0.3), targetsOf(0, 5, 0, 3, 0)
	for range 1000 {
		if index := selector.next(targets); targets[index].Weight == 0 {
			t.Fatalf("target %d has no weight", index)
		}
	}
}
