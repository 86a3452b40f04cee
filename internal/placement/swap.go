package placement

import (
	"slices"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// Registered machines execute one order at a time, and serve requests meanwhile. Changes are
// therefore decided late: one at a time for each machine, after its previous orders. If the
// cheapest machine for a replica is busy, the replica waits for it.

// placementOption is a way to place a replica on a registered machine.
type placementOption struct {
	state *machineState
	// victims are the replicas to evict; nil if the replica fits without an eviction.
	victims []*Replica
	tier    Tier
	readyIn time.Duration
	// cost is in weighted seconds.
	cost float64
}

// placeOnRegistered finds the cheapest machine for a replica of a pooled version, and starts the
// eviction or load there if the machine has no orders.
func (p *pass) placeOnRegistered(pending pendingReplica) {
	if p.refuseTooLarge(pending.version) {
		return
	}
	chosen := p.cheapestOption(pending)
	if chosen == nil {
		return
	}
	chosen.state.pendingLoads++
	if chosen.state.hasOrders() {
		p.estimate(pending, chosen.readyIn)
		return
	}
	if chosen.victims != nil {
		p.evict(pending, chosen.state.machine.Name, chosen.victims, chosen.readyIn)
		return
	}
	p.startLoad(pending, chosen)
}

// startLoad starts a load, unless the weight store is at its limit.
func (p *pass) startLoad(pending pendingReplica, chosen *placementOption) {
	if chosen.tier == TierRemote {
		if !p.planner.store.tryAcquire(p.storeLoads) {
			p.estimate(pending, chosen.readyIn)
			p.storeQueue++
			return
		}
		p.storeLoads++
	}
	spec := pending.version.Spec
	accelerators := fit(chosen.state.freeBytes, chosen.state.replicaCounts, spec.Accelerators, spec.BytesPerAccelerator())
	p.load(pending, chosen.state, accelerators, chosen.tier)
}

// cheapestOption compares all machines of the pool. This dominates a pass in large fleets, so costs
// that do not depend on the machine are computed once, and expensive machines are skipped early.
func (p *pass) cheapestOption(pending pendingReplica) *placementOption {
	var best *placementOption
	costs := p.placementCostsOf(pending)
	for _, candidate := range p.poolMachines(pending.version.Spec.Pool) {
		if pending.constrained != nil && !pending.canRunOn(candidate) || candidate.hasReplica(pending.version.Name) || candidate.isReservedForOthers(pending.version) {
			continue
		}
		option := placementOption{state: candidate, tier: candidate.machine.tierOf(pending.version.Spec.Checkpoint)}
		if option.tier == TierRemote && costs.skipRemote {
			continue
		}
		option.readyIn = p.orderDelay(pending, candidate) + costs.loadTime(option.tier)
		option.cost = costs.costAt(option.readyIn, candidate)
		if best != nil && option.cost >= best.cost {
			continue // An eviction would only add to the cost.
		}
		if p.planEvictions(pending, &option, costs) && (best == nil || option.cost < best.cost) {
			chosen := option
			best = &chosen
		}
	}
	return best
}

// planEvictions adds the necessary evictions to an option. It returns false if they are not
// possible or not worthwhile.
func (p *pass) planEvictions(pending pendingReplica, option *placementOption, costs placementCosts) bool {
	spec := pending.version.Spec
	if fit(option.state.freeBytes, option.state.replicaCounts, spec.Accelerators, spec.BytesPerAccelerator()) != nil {
		return true
	}
	if pending.isProactive() {
		return false // Proactive loads evict nothing.
	}
	victims, lost := p.victimsOn(pending, option.state)
	if victims == nil || !p.isEvictionWorthwhile(pending, victims) {
		return false
	}
	option.victims = victims
	option.readyIn += evictionTime
	option.cost = lost + costs.costAt(option.readyIn, option.state)
	return true
}

// placementCosts holds the parts of the cost of an option that do not depend on the machine.
type placementCosts struct {
	memory, disk, remote time.Duration
	// skipRemote is set if a load from the weight store is not worth blocking a machine.
	skipRemote bool
	// perSecond is the cost of each second until the replica is ready, perWork that of each unit
	// of the work rate of the machine.
	perSecond, perWork float64
	crossRegion        crossRegionCosts
}

func (p *pass) placementCostsOf(pending pendingReplica) placementCosts {
	version := pending.version
	perSecond := version.ColdStartWeight * max(1, pending.value)
	return placementCosts{
		memory: p.loadTime(version, TierMemory), disk: p.loadTime(version, TierDisk),
		remote:      p.loadTime(version, TierRemote) + p.planner.store.queueDelay(p.storeQueue, p.storeLoads, p.loadTime(version, TierRemote)),
		skipRemote:  pending.isProactive() && p.isCached(version),
		perSecond:   perSecond,
		perWork:     p.contentionCost(pending),
		crossRegion: p.crossRegionCostsOf(version, perSecond),
	}
}

func (c placementCosts) loadTime(tier Tier) time.Duration {
	switch tier {
	case TierMemory:
		return c.memory
	case TierDisk:
		return c.disk
	}
	return c.remote
}

// costAt returns the cost of a replica that is ready on a machine after the given time.
func (c placementCosts) costAt(readyIn time.Duration, state *machineState) float64 {
	return readyIn.Seconds()*c.perSecond + state.workRate*c.perWork + c.crossRegion.costIn(state.machine.Region)
}

// isCached reports whether a machine of the pool has the weights of a version in memory or on disk.
// Such versions are not prewarmed from the weight store, since they load fast on demand.
func (p *pass) isCached(version *Version) bool {
	return len(p.cachedTiers(version)) > 0
}

// cachedTiers returns the tiers other than the weight store in which the pool has the weights of a
// version.
func (p *pass) cachedTiers(version *Version) []Tier {
	if p.cached == nil {
		p.cached = map[poolCheckpoint][]Tier{}
		for _, machine := range p.input.Machines {
			if machine.Schedulable {
				p.addCachedTiers(machine)
			}
		}
	}
	return p.cached[poolCheckpoint{version.Spec.Pool, version.Spec.Checkpoint}]
}

func (p *pass) addCachedTiers(machine *Machine) {
	for checkpoint, tier := range machine.Tiers {
		key := poolCheckpoint{machine.Pool, checkpoint}
		if tier != TierRemote && !slices.Contains(p.cached[key], tier) {
			p.cached[key] = append(p.cached[key], tier)
		}
	}
}

type poolCheckpoint struct{ pool, checkpoint string }

// orderDelay returns the expected duration of the orders of a machine, including those that this
// pass has planned.
func (p *pass) orderDelay(pending pendingReplica, candidate *machineState) time.Duration {
	if candidate.loading+candidate.unloading+candidate.changed+candidate.pendingLoads == 0 {
		return 0
	}
	total := p.queuedLoadTime(candidate)
	for _, replica := range candidate.replicas {
		if replica.Spec.Phase != v1.ReplicaUnloading && !p.changed[replica] {
			continue
		}
		if replica.Spec.Phase != v1.ReplicaLoading {
			total += evictionTime
		}
	}
	planned := candidate.pendingLoads
	if slices.Contains(candidate.reservedFor, pending.version.Name) {
		planned-- // The reservation of the version itself.
	}
	return total + time.Duration(planned)*p.loadTime(pending.version, TierDisk)
}

// queuedLoadTime returns the remaining time of the loads on a registered machine.
func (p *pass) queuedLoadTime(candidate *machineState) time.Duration {
	total := time.Duration(0)
	for _, replica := range candidate.replicas {
		version := p.input.Versions[replica.Spec.Version]
		if replica.Spec.Phase != v1.ReplicaLoading || version == nil {
			continue
		}
		duration := p.loadTime(version, Tier(replica.Spec.Tier))
		if replica.Spec.Tier == string(TierRemote) {
			duration = p.planner.store.slowedLoadTime(duration, p.storeLoads)
		}
		if load, known := p.planner.loading[replica.Name]; known {
			duration -= min(duration, p.input.Now.Sub(load.firstSeen))
		}
		total += duration
	}
	return total
}
