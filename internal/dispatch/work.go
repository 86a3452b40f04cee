package dispatch

import (
	"encoding/binary"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/weldline/weldline/internal/places"
)

const (
	// startedShare is the part of a request's work that is left once its answer
	// has begun: its prompt has been read, and what follows runs beside others.
	startedShare = 0.05
	// firstHomeShare and secondHomeShare are how sure it is that the homes of a
	// prompt's beginning hold it.
	firstHomeShare  = 0.9
	secondHomeShare = 0.45
	// zoneShare is what a target in another zone of the region costs, as a part of what one in
	// another region does: the way is short, and its bytes are paid for all the same.
	zoneShare = 0.25
)

// addWork counts a request's work at a machine.
func (c *Scheduler) addWork(machine string, request *Request) {
	request.outstanding = request.Work
	c.work[machine] += request.Work
}

// finishWork lowers the work that a request still means for its machine.
func (c *Scheduler) finishWork(machine string, request *Request, left float64) {
	done := request.outstanding - left
	if done <= 0 {
		return
	}
	request.outstanding = left
	c.work[machine] -= done
	if c.work[machine] < 1 {
		delete(c.work, machine)
	}
}

// MarkStarted notes that the machine has accepted a granted request, and its answer has begun.
func (c *Scheduler) MarkStarted(grant Grant) {
	c.finishWork(grant.Target.Machine, grant.Request, grant.Request.Work*startedShare)
	c.noteTrial(grant, true)
	if held := c.targets[grant.Target.Replica]; held != nil {
		held.health.accept()
	}
}

// Work returns the outstanding work by machine.
func (c *Scheduler) Work() map[string]float64 {
	return maps.Clone(c.work)
}

// SetWork replaces the lagged work of machines, that of all routers together.
func (c *Scheduler) SetWork(now time.Time, total map[string]float64) {
	c.noteDigest(now)
	c.othersWork = make(map[string]float64, len(total))
	for machine, work := range total {
		c.othersWork[machine] = max(0, work-c.work[machine])
	}
}

// pickByWork takes the target where the request is done soonest: the work before
// it, and its own, less what is spared where the beginning of its prompt is
// cached. Every router finds the same homes for a beginning, by rendezvous
// hashing, so that few machines hold each; a busy home is passed over as soon
// as reading the beginning again costs less than waiting.
func (c *Scheduler) pickByWork(now time.Time, version *versionState, request *Request, wanted standing) *target {
	hasChoice := version.hasChoice(request)
	var usable []*target
	for _, candidate := range version.targets {
		if c.standingOf(candidate) == wanted && c.usable(now, candidate, request, hasChoice) {
			usable = append(usable, candidate)
		}
	}
	usable = c.withoutFailing(now, request, usable)
	first, second := homes(request.nearby(usable), request.PrefixHash)
	level := c.levelOfOthers(now, version, usable)
	var best *target
	var bestCost, bestTie float64
	for _, candidate := range usable {
		load := c.machineWork(candidate)
		cost := max(load, level) + request.crossing(candidate.Nearness)
		cost += request.PrefixWork * (1 - candidate.cachedShare(now, request, first, second))
		tie := weightedRank(c.config.Seed+request.ID, candidate.Machine, level-load)
		if best == nil || cost < bestCost || cost == bestCost && tie > bestTie {
			best, bestCost, bestTie = candidate, cost, tie
		}
	}
	return best
}

// cachedShare is how sure it is that a target holds the beginning of a prompt.
func (t *target) cachedShare(now time.Time, request *Request, first, second *target) float64 {
	switch {
	case request.PrefixHash == 0:
		return 0
	case t.prefixes.holds(now, request.PrefixHash):
		return 1
	case t == first:
		return firstHomeShare
	case t == second:
		return secondHomeShare
	}
	return 0
}

// crossing is the work that a further target must have less before it.
func (r *Request) crossing(nearness places.Proximity) float64 {
	switch nearness {
	case places.SameZone:
		return 0
	case places.SameRegion:
		return r.CrossRegionPenalty * zoneShare
	}
	return r.CrossRegionPenalty
}

// nearby returns the targets in the router's region, or all where there is none or places don't
// matter: a beginning that is read in each region is not read across regions.
func (r *Request) nearby(targets []*target) []*target {
	if r.CrossRegionPenalty == 0 {
		return targets
	}
	var near []*target
	for _, candidate := range targets {
		if candidate.Nearness < places.OtherRegion {
			near = append(near, candidate)
		}
	}
	if len(near) == 0 {
		return targets
	}
	return near
}

// homes returns the two targets that rank highest for a prefix.
func homes(targets []*target, prefix uint64) (first, second *target) {
	if prefix == 0 {
		return nil, nil
	}
	var firstRank, secondRank uint64
	for _, candidate := range targets {
		ranked := rank(prefix, candidate.Machine)
		switch {
		case first == nil || ranked > firstRank:
			second, secondRank = first, firstRank
			first, firstRank = candidate, ranked
		case second == nil || ranked > secondRank:
			second, secondRank = candidate, ranked
		}
	}
	return first, second
}

// rank orders machines for a key, for each key differently.
func rank(key uint64, machine string) uint64 {
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], key)
	digest := xxhash.New()
	_, _ = digest.Write(buffer[:])
	_, _ = digest.WriteString(machine)
	return digest.Sum64()
}
