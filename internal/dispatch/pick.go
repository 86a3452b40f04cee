package dispatch

import (
	"slices"
	"time"
)

const (
	// affinityBonus is how many requests in flight an affinity outweighs.
	affinityBonus = 2.0
	// affinityBound is the most by which a target with affinity may be
	// busier than the least busy one.
	affinityBound = 4.0
	// maxOvercommit bounds the requests sent to a replica, in multiples of its
	// slots.
	maxOvercommit = 2
	// prefixesRemembered bounds what is remembered of a replica's cache.
	prefixesRemembered = 256
	// prefixLifetime is how long a prefix is taken to stay cached.
	prefixLifetime = 2 * time.Minute
)

// pick returns the best target with room, or nil.
func (c *Scheduler) pick(now time.Time, version *versionState, request *Request) *target {
	if c.config.RoundRobin {
		return c.pickInTurn(now, version, request)
	}
	for _, wanted := range []standing{standsWarm, standsWarming, standsSuspect} {
		if chosen := c.pickFrom(now, version, request, wanted); chosen != nil {
			return chosen
		}
	}
	noneInTouch := c.hasNoneInTouch(version, request)
	if noneInTouch {
		if chosen := c.pickFrom(now, version, request, standsInDoubt); chosen != nil {
			return chosen
		}
	}
	if !c.config.LeastWork {
		return nil
	}
	return c.pickEjected(now, version, request, noneInTouch)
}

// pickEjected returns the target whose ejection ends first, where all that could
// take the request are ejected: trying it is better than waiting.
func (c *Scheduler) pickEjected(now time.Time, version *versionState, request *Request, noneInTouch bool) *target {
	var best *target
	for _, candidate := range version.targets {
		if !c.fits(now, candidate, request) || !noneInTouch && c.standingOf(candidate) == standsInDoubt {
			continue
		}
		if best == nil || candidate.health.until.Before(best.health.until) {
			best = candidate
		}
	}
	return best
}

// pickFrom picks among the targets that stand as wanted.
func (c *Scheduler) pickFrom(now time.Time, version *versionState, request *Request, wanted standing) *target {
	if c.config.LeastWork {
		return c.pickByWork(now, version, request, wanted)
	}
	hasChoice := version.hasChoice(request)
	least := -1.0
	for _, candidate := range version.targets {
		if c.standingOf(candidate) != wanted || !c.usable(now, candidate, request, hasChoice) {
			continue
		}
		if load := c.load(candidate); least < 0 || load < least {
			least = load
		}
	}
	var best *target
	bestScore := 0.0
	for _, candidate := range version.targets {
		if c.standingOf(candidate) != wanted || !c.usable(now, candidate, request, hasChoice) {
			continue
		}
		load := c.load(candidate)
		score := load
		if load <= least+affinityBound {
			score -= candidate.affinity(now, request)
		}
		if best == nil || score < bestScore || score == bestScore && candidate.Replica < best.Replica {
			best, bestScore = candidate, score
		}
	}
	return best
}

func (c *Scheduler) pickInTurn(now time.Time, version *versionState, request *Request) *target {
	hasChoice := version.hasChoice(request)
	for range version.targets {
		version.turn++
		candidate := version.targets[version.turn%len(version.targets)]
		if c.usable(now, candidate, request, hasChoice) {
			return candidate
		}
	}
	return nil
}

func (c *Scheduler) load(candidate *target) float64 {
	return float64(c.ownLoad(candidate) + c.others[candidate.Machine])
}

// ownLoad is this router's requests that share slots with a candidate's.
func (c *Scheduler) ownLoad(candidate *target) int {
	if c.config.SharedSlots {
		return c.onMachine[candidate.Machine]
	}
	return candidate.inFlight
}

func (c *Scheduler) usable(now time.Time, candidate *target, request *Request, hasChoice bool) bool {
	if !c.fits(now, candidate, request) {
		return false
	}
	if hasChoice && candidate.Replica == request.Avoid {
		return false
	}
	// With nothing else to turn to, an ejected target is tried all the same.
	return !hasChoice || !candidate.health.ejected(now)
}

// hasChoice reports whether a version has more than one target in the regions that a request
// may be served in.
func (v *versionState) hasChoice(request *Request) bool {
	if !request.Allowed.IsRestrictive() {
		return len(v.targets) > 1
	}
	allowed := 0
	for _, candidate := range v.targets {
		if request.Allowed.Allows(candidate.Region) {
			allowed++
		}
	}
	return allowed > 1
}

// fits reports whether a target could take a request, its health apart.
func (c *Scheduler) fits(now time.Time, candidate *target, request *Request) bool {
	return c.hasSlot(candidate) && !c.isHeld(now, candidate.Machine) && c.allowsGrant(now, candidate.Machine) && !c.isExcluded(candidate, request)
}

// isExcluded reports whether a target can't take a request, free or not. Every way to choose a
// target asks here, so that none leads out of the regions that the request may be served in.
func (c *Scheduler) isExcluded(candidate *target, request *Request) bool {
	if !request.Allowed.Allows(candidate.Region) {
		return true
	}
	if candidate.retired || candidate.leaving || slices.Contains(request.TriedMachines, candidate.Machine) {
		return true
	}
	return c.config.PlacedAdapters && request.Adapter != "" && !slices.Contains(candidate.Adapters, request.Adapter)
}

// HasAlternative reports whether a machine that the request was not sent to, other than
// the given one, could take it once it has a place. Where there is none, trying again
// would only keep the caller waiting.
func (c *Scheduler) HasAlternative(now time.Time, request *Request, machine string) bool {
	for _, candidate := range c.version(request.Version).targets {
		if candidate.Machine != machine && c.allowsGrant(now, candidate.Machine) && !c.isExcluded(candidate, request) {
			return true
		}
	}
	return false
}

// hasSlot reports whether a request would probably run at once. Where others
// fill the replica by the lagged reports, a router still gets its equal share
// of the slots, up to twice as many requests as there are slots in all:
// requests that wait are better off at the router, which serves them by
// priority and can say truthfully that they did not run.
func (c *Scheduler) hasSlot(candidate *target) bool {
	own := c.ownLoad(candidate)
	if own >= candidate.MaxConcurrent {
		return false
	}
	total := own + c.others[candidate.Machine]
	share := (candidate.MaxConcurrent + c.routers - 1) / c.routers
	return total < candidate.MaxConcurrent || own < share && total < maxOvercommit*candidate.MaxConcurrent
}

func (t *target) affinity(now time.Time, request *Request) float64 {
	bonus := 0.0
	if request.Adapter != "" && !t.adapters[request.Adapter].IsZero() {
		bonus += affinityBonus
	}
	if request.PrefixHash != 0 && t.prefixes.holds(now, request.PrefixHash) {
		bonus += affinityBonus
	}
	return bonus
}

// remember notes what the target will hold once it has run the request.
func (t *target) remember(now time.Time, request *Request) {
	if request.Adapter != "" {
		t.adapters[request.Adapter] = now
	}
	if request.PrefixHash != 0 {
		t.prefixes.add(now, request.PrefixHash)
	}
}

// prefixCache remembers the prompt prefixes that were sent to a replica.
// Cache events come late and with gaps, so what was sent is the better guide;
// entries age out.
type prefixCache struct {
	seen  map[uint64]time.Time
	order []uint64
}

func (p *prefixCache) holds(now time.Time, prefix uint64) bool {
	seen, found := p.seen[prefix]
	return found && now.Sub(seen) < prefixLifetime
}

func (p *prefixCache) add(now time.Time, prefix uint64) {
	if p.seen == nil {
		p.seen = map[uint64]time.Time{}
	}
	if _, found := p.seen[prefix]; !found {
		p.order = append(p.order, prefix)
	}
	p.seen[prefix] = now
	if len(p.order) > prefixesRemembered {
		delete(p.seen, p.order[0])
		p.order = p.order[1:]
	}
}
