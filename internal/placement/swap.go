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
func (p *pass) placeOnRegistered(entry want) {
	if p.refuseTooLarge(entry.version) {
		return
	}
	chosen := p.cheapestSwap(entry)
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

// cheapestSwap looks at every machine of the version's pool. With thousands of them and as many
// wanted replicas that is most of a pass, so what is the same for all machines is worked out
// once, and a machine that can't be the cheapest is left early.
func (p *pass) cheapestSwap(entry want) *swap {
	var best *swap
	costs := p.swapCostsOf(entry)
	for _, candidate := range p.rooms(entry.version.Spec.Pool) {
		if entry.bound != nil && !entry.mayUse(candidate) || candidate.hasReplica(entry.version.Name) || candidate.isPromisedToOthers(entry.version) {
			continue
		}
		option := swap{room: candidate, tier: candidate.machine.tierOf(entry.version.Spec.Checkpoint)}
		if option.tier == TierRemote && costs.notFromStore {
			continue
		}
		option.readyIn = p.ordersTake(entry, candidate) + costs.loadTime(option.tier)
		option.cost = costs.of(option.readyIn, candidate)
		if best != nil && option.cost >= best.cost {
			continue // Making room would only cost more.
		}
		if p.makesRoomFor(entry, &option, costs) && (best == nil || option.cost < best.cost) {
			chosen := option
			best = &chosen
		}
	}
	return best
}

// makesRoomFor adds what has to be evicted to an option, where there is no free room. It returns
// false where that is not possible, or not worth what it costs.
func (p *pass) makesRoomFor(entry want, option *swap, costs swapCosts) bool {
	spec := entry.version.Spec
	if fit(option.room.free, option.room.holds, spec.Accelerators, spec.BytesPerAccelerator()) != nil {
		return true
	}
	if entry.isReserve() {
		return false // Nothing is evicted for a replica kept in reserve.
	}
	victims, lost := p.victimsOn(entry, option.room)
	if victims == nil || !p.paysToEvict(entry, victims) {
		return false
	}
	option.victims = victims
	option.readyIn += evictionTakes
	option.cost = lost + costs.of(option.readyIn, option.room)
	return true
}

// swapCosts is what the cost of a swap depends on besides the machine.
type swapCosts struct {
	memory, disk, remote time.Duration
	// notFromStore is set where a load from the store would only hold up a machine.
	notFromStore bool
	// perSecond is what a second until the replica is ready costs, perWork what a unit of
	// the machine's rate of work does.
	perSecond, perWork float64
	// detours are what the requests of other regions cost.
	detours detours
}

func (p *pass) swapCostsOf(entry want) swapCosts {
	version := entry.version
	perSecond := version.ColdStartWeight * max(1, entry.gain)
	return swapCosts{
		memory: p.loadTime(version, TierMemory), disk: p.loadTime(version, TierDisk),
		remote:       p.loadTime(version, TierRemote) + p.planner.store.delay(p.storeQueue, p.storeLoads, p.loadTime(version, TierRemote)),
		notFromStore: entry.isReserve() && p.isAtHand(version),
		perSecond:    perSecond,
		perWork:      p.crowdingPerWork(entry),
		detours:      p.detoursOf(version, perSecond),
	}
}

func (c swapCosts) loadTime(tier Tier) time.Duration {
	switch tier {
	case TierMemory:
		return c.memory
	case TierDisk:
		return c.disk
	}
	return c.remote
}

// of is the cost of a replica that is ready on a machine after a time.
func (c swapCosts) of(readyIn time.Duration, room *room) float64 {
	return readyIn.Seconds()*c.perSecond + room.work*c.perWork + c.detours.of(room.machine.Region)
}

// isAtHand reports whether a machine has the weights of a version in memory or on
// disk: a load from there, once it is asked for, is so much faster that one from the
// store in advance only holds up the machine.
func (p *pass) isAtHand(version *Version) bool {
	return len(p.tiersAtHand(version)) > 0
}

// tiersAtHand returns the tiers other than the store in which some machine of the pool has the
// weights of a version.
func (p *pass) tiersAtHand(version *Version) []Tier {
	if p.atHand == nil {
		p.atHand = map[poolCheckpoint][]Tier{}
		for _, machine := range p.input.Machines {
			if machine.Schedulable {
				p.noteAtHand(machine)
			}
		}
	}
	return p.atHand[poolCheckpoint{version.Spec.Pool, version.Spec.Checkpoint}]
}

func (p *pass) noteAtHand(machine *Machine) {
	for checkpoint, tier := range machine.Tiers {
		key := poolCheckpoint{machine.Pool, checkpoint}
		if tier != TierRemote && !slices.Contains(p.atHand[key], tier) {
			p.atHand[key] = append(p.atHand[key], tier)
		}
	}
}

// poolCheckpoint names the weights of a version among the machines of a pool.
type poolCheckpoint struct{ pool, checkpoint string }

// ordersTake is how long the orders take that are under way on a machine, and
// those that this pass has planned to follow.
func (p *pass) ordersTake(entry want, candidate *room) time.Duration {
	if candidate.loading+candidate.unloading+candidate.changed+candidate.expected == 0 {
		return 0 // So it is on most machines.
	}
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
