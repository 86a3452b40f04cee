package dispatch

import (
	"encoding/binary"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/weldline/weldline/internal/places"
)

const (
	// startedWorkShare is the share of a request's work that remains after its response has
	// started: the prompt is processed, and decoding is batched with other requests.
	startedWorkShare = 0.05
	// Estimated probabilities that the preferred targets of a prefix have it cached.
	firstHitProbability  = 0.9
	secondHitProbability = 0.45
	// crossZoneShare is the penalty of another zone in the region, as a share of that of another
	// region.
	crossZoneShare = 0.25
)

// addWork adds a request's work to a machine.
func (s *Scheduler) addWork(machine string, request *Request) {
	request.outstandingWork = request.Work
	s.ownWork[machine] += request.Work
}

// finishWork lowers the outstanding work of a request to the remaining one.
func (s *Scheduler) finishWork(machine string, request *Request, remaining float64) {
	done := request.outstandingWork - remaining
	if done <= 0 {
		return
	}
	request.outstandingWork = remaining
	s.ownWork[machine] -= done
	if s.ownWork[machine] < 1 {
		delete(s.ownWork, machine)
	}
}

// MarkStarted records that the machine accepted a granted request and its response has started.
func (s *Scheduler) MarkStarted(grant Grant) {
	s.finishWork(grant.Target.Machine, grant.Request, grant.Request.Work*startedWorkShare)
	s.recordProbe(grant, true)
	s.acceptBrittle(grant.Target.Machine, grant.Request)
	if existing := s.targets[grant.Target.Replica]; existing != nil {
		existing.health.recordAccepted()
	}
}

// Work returns the outstanding work by machine.
func (s *Scheduler) Work() map[string]float64 {
	return maps.Clone(s.ownWork)
}

// SetWork replaces the lagged work of machines, in total over all routers.
func (s *Scheduler) SetWork(now time.Time, total map[string]float64) {
	s.updateStaleness(now)
	s.othersWork = make(map[string]float64, len(total))
	for machine, work := range total {
		s.othersWork[machine] = max(0, work-s.ownWork[machine])
	}
}

// pickLeastWork returns the target with the lowest cost: the outstanding work of its machine, and
// the request's own, less what a cached prefix saves. All routers prefer the same targets for a
// prefix, by rendezvous hashing, so that few machines cache it. A busy preferred target loses to
// another as soon as processing the prefix again costs less than waiting.
func (s *Scheduler) pickLeastWork(now time.Time, version *versionState, request *Request, wanted tier) *target {
	hasAlternatives := version.hasAlternatives(request)
	var usable []*target
	for _, candidate := range version.targets {
		if s.tierOf(candidate) == wanted && s.usable(now, candidate, request, hasAlternatives) {
			usable = append(usable, candidate)
		}
	}
	usable = s.excludeFailing(now, request, usable)
	first, second := preferredTargets(request.inRegion(usable), request.PrefixHash)
	level := s.fillLevelOfOthers(now, version, usable)
	var best *target
	var bestCost, bestTie float64
	for _, candidate := range usable {
		load := s.totalWork(candidate)
		cost := max(load, level) + request.distancePenalty(candidate.Proximity)
		cost += request.PrefixWork * (1 - candidate.hitProbability(now, request, first, second))
		tie := weightedRank(s.config.Seed+request.ID, candidate.Machine, level-load)
		if best == nil || cost < bestCost || cost == bestCost && tie > bestTie {
			best, bestCost, bestTie = candidate, cost, tie
		}
	}
	return best
}

// hitProbability is the estimated probability that a target has the request's prefix cached.
func (t *target) hitProbability(now time.Time, request *Request, first, second *target) float64 {
	switch {
	case request.PrefixHash == 0:
		return 0
	case t.prefixes.contains(now, request.PrefixHash):
		return 1
	case t == first:
		return firstHitProbability
	case t == second:
		return secondHitProbability
	}
	return 0
}

// distancePenalty is the additional cost of a target in tokens.
func (r *Request) distancePenalty(proximity places.Proximity) float64 {
	switch proximity {
	case places.SameZone:
		return 0
	case places.SameRegion:
		return r.CrossRegionPenalty * crossZoneShare
	}
	return r.CrossRegionPenalty
}

// inRegion returns the targets in the router's region, so that prefixes are cached in each region.
// It returns all targets if there are none, or distance is ignored.
func (r *Request) inRegion(targets []*target) []*target {
	if r.CrossRegionPenalty == 0 {
		return targets
	}
	var local []*target
	for _, candidate := range targets {
		if candidate.Proximity < places.OtherRegion {
			local = append(local, candidate)
		}
	}
	if len(local) == 0 {
		return targets
	}
	return local
}

// preferredTargets returns the two targets that rank highest for a prefix.
func preferredTargets(targets []*target, prefix uint64) (first, second *target) {
	if prefix == 0 {
		return nil, nil
	}
	var firstRank, secondRank uint64
	for _, candidate := range targets {
		candidateRank := rank(prefix, candidate.Machine)
		switch {
		case first == nil || candidateRank > firstRank:
			second, secondRank = first, firstRank
			first, firstRank = candidate, candidateRank
		case second == nil || candidateRank > secondRank:
			second, secondRank = candidate, candidateRank
		}
	}
	return first, second
}

// rank is the rendezvous hash of a key and a machine.
func rank(key uint64, machine string) uint64 {
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], key)
	hash := xxhash.New()
	_, _ = hash.Write(buffer[:])
	_, _ = hash.WriteString(machine)
	return hash.Sum64()
}
