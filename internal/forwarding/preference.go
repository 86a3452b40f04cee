package forwarding

import (
	"cmp"
	"time"

	"github.com/weldline/weldline/internal/places"
)

// preference orders routers for one request; less is better.
type preference struct {
	// zoneFailures counts the attempts in the router's zone that found no path. It comes first, since routers of a
	// zone often lose their paths together.
	zoneFailures int
	evidence     evidence
	proximity    places.Proximity
}

// evidence is what is known of a router that is not avoided.
type evidence int

const (
	evidenceConnected evidence = iota
	evidenceNone
	// evidenceDoubted: it lacked a path for a request.
	evidenceDoubted
)

func (r *routerState) preference(now time.Time, tried []Attempt) preference {
	result := preference{evidence: evidenceNone, proximity: r.Proximity}
	for _, attempt := range tried {
		if attempt.Router.Zone == r.Zone && (attempt.Result == ResultUnreachable || attempt.Result == ResultIsolated) {
			result.zoneFailures++
		}
	}
	switch {
	case now.Before(r.doubtedUntil):
		result.evidence = evidenceDoubted
	case r.statusAt(now) == StatusConnected:
		result.evidence = evidenceConnected
	}
	return result
}

func (p preference) compare(other preference) int {
	return cmp.Or(cmp.Compare(p.zoneFailures, other.zoneFailures), cmp.Compare(p.evidence, other.evidence), cmp.Compare(p.proximity, other.proximity))
}

// bestCount returns how many of the routers, sorted by preference, to choose from: those as good as the best one,
// or as the second one if it differs in its distance only, so that not all requests go to one.
func bestCount(sorted []*routerState, preferences map[string]preference) int {
	const enough = 2
	best, count := preferences[sorted[0].Node], 0
	for count < len(sorted) {
		current := preferences[sorted[count].Node]
		differs := current.zoneFailures != best.zoneFailures || current.evidence != best.evidence
		if differs || count >= enough && current.proximity != preferences[sorted[count-1].Node].proximity {
			break
		}
		count++
	}
	return count
}
