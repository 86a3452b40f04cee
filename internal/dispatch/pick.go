package dispatch

import (
	"slices"
	"time"

	"github.com/weldline/weldline/internal/places"
)

const (
	// affinityBonus is the number of requests in flight that an affinity match outweighs.
	affinityBonus = 2.0
	// maxAffinityImbalance is how much busier than the least busy target a target may be for
	// affinity to count.
	maxAffinityImbalance = 4.0
	// maxOvercommit bounds the requests sent to a replica, in multiples of its slots.
	maxOvercommit     = 2
	maxCachedPrefixes = 256
	prefixTTL         = 2 * time.Minute
)

// pick returns the best target with capacity, or nil.
func (s *Scheduler) pick(now time.Time, version *versionState, request *Request) *target {
	if s.config.RoundRobin {
		return s.pickRoundRobin(now, version, request)
	}
	for _, wanted := range []tier{tierWarm, tierWarming, tierSuspect} {
		if chosen := s.pickFromTier(now, version, request, wanted); chosen != nil {
			return chosen
		}
	}
	onlySuspectWarming := s.allSuspectWarming(version, request)
	if onlySuspectWarming {
		if chosen := s.pickFromTier(now, version, request, tierSuspectWarming); chosen != nil {
			return chosen
		}
	}
	if !s.config.LeastWork {
		return nil
	}
	return s.pickEjected(now, version, request, onlySuspectWarming)
}

// pickEjected returns the target whose ejection ends first, if all that could serve the request
// are ejected: trying one is better than waiting.
func (s *Scheduler) pickEjected(now time.Time, version *versionState, request *Request, onlySuspectWarming bool) *target {
	var best *target
	for _, candidate := range version.targets {
		if !s.hasCapacity(now, candidate, request) || !onlySuspectWarming && s.tierOf(candidate) == tierSuspectWarming {
			continue
		}
		if best == nil || candidate.health.ejectedUntil.Before(best.health.ejectedUntil) {
			best = candidate
		}
	}
	return best
}

// pickFromTier returns the best target of one tier.
func (s *Scheduler) pickFromTier(now time.Time, version *versionState, request *Request, wanted tier) *target {
	if s.config.LeastWork {
		return s.pickLeastWork(now, version, request, wanted)
	}
	hasAlternatives := version.hasAlternatives(request)
	minLoad := -1.0
	for _, candidate := range version.targets {
		if s.tierOf(candidate) != wanted || !s.usable(now, candidate, request, hasAlternatives) {
			continue
		}
		if load := s.load(candidate); minLoad < 0 || load < minLoad {
			minLoad = load
		}
	}
	var best *target
	bestScore := 0.0
	for _, candidate := range version.targets {
		if s.tierOf(candidate) != wanted || !s.usable(now, candidate, request, hasAlternatives) {
			continue
		}
		load := s.load(candidate)
		score := load
		if load <= minLoad+maxAffinityImbalance {
			score -= candidate.affinity(now, request)
		}
		if best == nil || score < bestScore || score == bestScore && candidate.Replica < best.Replica {
			best, bestScore = candidate, score
		}
	}
	return best
}

func (s *Scheduler) pickRoundRobin(now time.Time, version *versionState, request *Request) *target {
	hasAlternatives := version.hasAlternatives(request)
	for range version.targets {
		version.turn++
		candidate := version.targets[version.turn%len(version.targets)]
		if s.usable(now, candidate, request, hasAlternatives) {
			return candidate
		}
	}
	return nil
}

func (s *Scheduler) load(candidate *target) float64 {
	return float64(s.inFlightOn(candidate) + s.othersLoad[candidate.Machine])
}

// inFlightOn counts this router's requests that share slots with a candidate's.
func (s *Scheduler) inFlightOn(candidate *target) int {
	if s.config.SharedSlots {
		return s.ownLoad[candidate.Machine]
	}
	return candidate.inFlight
}

func (s *Scheduler) usable(now time.Time, candidate *target, request *Request, hasAlternatives bool) bool {
	if !s.hasCapacity(now, candidate, request) {
		return false
	}
	if hasAlternatives && candidate.Replica == request.Avoid {
		return false
	}
	// The only target is tried even while it is ejected.
	return !hasAlternatives || !candidate.health.ejected(now)
}

// hasAlternatives reports whether a version has more than one target at which a request may run.
func (v *versionState) hasAlternatives(request *Request) bool {
	if !request.isConstrained() {
		return len(v.targets) > 1
	}
	allowed := 0
	for _, candidate := range v.targets {
		if request.mayRunAt(candidate) {
			allowed++
		}
	}
	return allowed > 1
}

// hosts returns the constraint on the machines that may serve the request.
func (r *Request) hosts() places.HostConstraint {
	return places.HostConstraint{Regions: r.Allowed, Software: r.Software}
}

// isConstrained reports whether only some targets of its version may run a request.
func (r *Request) isConstrained() bool { return r.hosts().IsRestrictive() }

// mayRunAt reports whether a request may run at a target by its region and the software of its machine.
func (r *Request) mayRunAt(candidate *target) bool {
	return r.hosts().Allows(candidate.Region, candidate.Software)
}

// hasCapacity reports whether a target could take a request, regardless of its health.
func (s *Scheduler) hasCapacity(now time.Time, candidate *target, request *Request) bool {
	return s.hasSlot(candidate) && !s.isHeld(now, candidate.Machine) && s.allowsGrant(now, candidate.Machine) &&
		!s.isExcluded(candidate, request) && !s.avoidsPath(candidate, request) && s.bearsRequest(now, candidate)
}

// isExcluded reports whether a target must not serve a request, regardless of its load. Every
// selection path checks it, so that none leaves the allowed regions.
func (s *Scheduler) isExcluded(candidate *target, request *Request) bool {
	if !request.mayRunAt(candidate) {
		return true
	}
	if candidate.retired || candidate.leaving || slices.Contains(request.TriedMachines, candidate.Machine) {
		return true
	}
	return s.config.PlacedAdapters && request.Adapter != "" && !slices.Contains(candidate.Adapters, request.Adapter)
}

// HasAlternative reports whether another machine than the given one, which the request has not
// been sent to yet, could serve it. Otherwise a retry would only delay the response.
func (s *Scheduler) HasAlternative(now time.Time, request *Request, machine string) bool {
	for _, candidate := range s.version(request.Version).targets {
		if candidate.Machine != machine && s.allowsGrant(now, candidate.Machine) && !s.isExcluded(candidate, request) {
			return true
		}
	}
	return false
}

// hasSlot reports whether a request would probably run at once. If other routers fill the replica
// according to the lagged reports, this router still gets its equal share of the slots, up to
// maxOvercommit times the slots in total. Beyond that, requests wait in the router, which orders
// them by priority and can refuse them as not run.
func (s *Scheduler) hasSlot(candidate *target) bool {
	own := s.inFlightOn(candidate)
	if own >= candidate.MaxConcurrent {
		return false
	}
	total := own + s.othersLoad[candidate.Machine]
	share := (candidate.MaxConcurrent + s.routers - 1) / s.routers
	return total < candidate.MaxConcurrent || own < share && total < maxOvercommit*candidate.MaxConcurrent
}

func (t *target) affinity(now time.Time, request *Request) float64 {
	bonus := 0.0
	if request.Adapter != "" && !t.adapters[request.Adapter].IsZero() {
		bonus += affinityBonus
	}
	if request.PrefixHash != 0 && t.prefixes.contains(now, request.PrefixHash) {
		bonus += affinityBonus
	}
	return bonus
}

// recordCached records the adapter and prefix that the target holds after serving the request.
func (t *target) recordCached(now time.Time, request *Request) {
	if request.Adapter != "" {
		t.adapters[request.Adapter] = now
	}
	if request.PrefixHash != 0 {
		t.prefixes.add(now, request.PrefixHash)
	}
}

// prefixCache tracks the prompt prefixes sent to a replica. Cache events of the engine are late
// and incomplete, so the sent prefixes are the better estimate.
type prefixCache struct {
	sentAt map[uint64]time.Time
	order  []uint64
}

func (p *prefixCache) contains(now time.Time, prefix uint64) bool {
	sentAt, found := p.sentAt[prefix]
	return found && now.Sub(sentAt) < prefixTTL
}

func (p *prefixCache) add(now time.Time, prefix uint64) {
	if p.sentAt == nil {
		p.sentAt = map[uint64]time.Time{}
	}
	if _, found := p.sentAt[prefix]; !found {
		p.order = append(p.order, prefix)
	}
	p.sentAt[prefix] = now
	if len(p.order) > maxCachedPrefixes {
		delete(p.sentAt, p.order[0])
		p.order = p.order[1:]
	}
}
