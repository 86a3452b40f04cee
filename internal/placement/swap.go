package placement

import (
	"slices"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// Registered machines carry out one order at a time, and serve what they hold
// meanwhile. So a change there is decided as late as possible: one at a time for
// each machine, when its orders are done. A wanted replica goes where it costs
// least, be the room free or another's, and if that is a machine with orders under
// way, it waits for it rather than take a slower one.

// swap is a way to get a replica onto a registered machine.
type swap struct {
	room *room
	// victims make room; none are needed where there is free room.
	victims []*Replica
	tier    Tier
	// readyIn is how long it takes until the replica is ready.
	readyIn time.Duration
	// cost is in weighted seconds.
	cost float64
}

// placeOnRegistered finds the best machine for a wanted replica of a pool's
// version, and begins with the first step there if the machine is free for it.
func (p *pass) placeOnRegistered(entry want, names []string) {
	if p.refuseTooLarge(entry.version) {
		return
	}
	chosen := p.cheapestSwap(entry, names)
	if chosen == nil {
		return
	}
	chosen.room.expected++
	if chosen.room.hasOrders() {
		p.estimate(entry, chosen.readyIn)
		return
	}
	if chosen.victims != nil {
		p.evict(entry, chosen.room.machine.Name, chosen.victims, chosen.readyIn)
		return
	}
	p.loadFrom(entry, chosen)
}

// loadFrom begins a load, if it does not have to wait for the weight store.
func (p *pass) loadFrom(entry want, chosen *swap) {
	if chosen.tier == TierRemote {
		if !p.planner.store.take(p.storeLoads) {
			p.estimate(entry, chosen.readyIn)
			p.storeQueue++
			return
		}
		p.storeLoads++
	}
	spec := entry.version.Spec
	accelerators := fit(chosen.room.free, chosen.room.holds, spec.Accelerators, spec.BytesPerAccelerator())
	p.load(entry, chosen.room, accelerators, chosen.tier)
}

func (p *pass) cheapestSwap(entry want, names []string) *swap {
	var best *swap
	for _, name := range names {
		candidate := p.machines[name]
		if !candidate.serves(entry.version) || candidate.hasReplica(entry.version.Name) || candidate.isPromisedToOthers(entry.version) {
			continue
		}
		option := p.swapOn(entry, candidate)
		if option != nil && (best == nil || option.cost < best.cost) {
			best = option
		}
	}
	return best
}

// swapOn returns how a replica would get onto a machine; nil where that is not
// possible, or not worth what it costs.
func (p *pass) swapOn(entry want, candidate *room) *swap {
	spec := entry.version.Spec
	option := &swap{room: candidate, tier: candidate.machine.tierOf(spec.Checkpoint)}
	if option.tier == TierRemote && entry.isReserve() && p.isAtHand(entry.version) {
		return nil
	}
	option.readyIn = p.ordersTake(entry, candidate) + p.loadTime(entry.version, option.tier)
	if option.tier == TierRemote {
		option.readyIn += p.planner.store.delay(p.storeQueue, p.storeLoads, p.loadTime(entry.version, TierRemote))
	}
	weight := entry.version.ColdStartWeight
	if fit(candidate.free, candidate.holds, spec.Accelerators, spec.BytesPerAccelerator()) == nil {
		if entry.isReserve() {
			return nil // Nothing is evicted for a replica kept in reserve.
		}
		victims, lost := p.victimsOn(entry, candidate)
		if victims == nil || !p.paysToEvict(entry, victims) {
			return nil
		}
		option.victims = victims
		option.readyIn += evictionTakes
		option.cost += lost
	}
	option.cost += option.readyIn.Seconds() * weight * max(1, entry.gain)
	option.cost += p.crowding(candidate, entry)
	return option
}

// isAtHand reports whether a machine has the weights of a version in memory or on
// disk: a load from there, once it is asked for, is so much faster that one from the
// store in advance only holds up the machine.
func (p *pass) isAtHand(version *Version) bool {
	for _, machine := range p.input.Machines {
		if machine.Accepts && machine.Pool == version.Spec.Pool && machine.tierOf(version.Spec.Checkpoint) != TierRemote {
			return true
		}
	}
	return false
}

// ordersTake is how long the orders take that are under way on a machine, and
// those that this pass has planned to follow.
func (p *pass) ordersTake(entry want, candidate *room) time.Duration {
	total := p.queued(candidate)
	for _, replica := range candidate.replicas {
		if replica.Spec.Phase != v1.ReplicaUnloading && !p.changed[replica] {
			continue
		}
		if replica.Spec.Phase != v1.ReplicaLoading {
			total += evictionTakes
		}
	}
	planned := candidate.expected
	if slices.Contains(candidate.promised, entry.version.Name) {
		planned-- // That is its own.
	}
	return total + time.Duration(planned)*p.loadTime(entry.version, TierDisk)
}

// queued is how long the loads take that are ahead on a registered machine.
func (p *pass) queued(candidate *room) time.Duration {
	ahead := time.Duration(0)
	for _, replica := range candidate.replicas {
		version := p.input.Versions[replica.Spec.Version]
		if replica.Spec.Phase != v1.ReplicaLoading || version == nil {
			continue
		}
		takes := p.loadTime(version, Tier(replica.Spec.Tier))
		if replica.Spec.Tier == string(TierRemote) {
			takes = p.planner.store.stretched(takes, p.storeLoads)
		}
		if load, begun := p.planner.loading[replica.Name]; begun {
			takes -= min(takes, p.input.Now.Sub(load.since))
		}
		ahead += takes
	}
	return ahead
}
