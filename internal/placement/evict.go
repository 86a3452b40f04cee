package placement

import (
	"slices"
	"sort"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// evictionTimeout is how long a version waits for evicted memory before memory is freed elsewhere.
const evictionTimeout = 5 * time.Second

// reservation is memory that is being freed for a version.
type reservation struct {
	machine string
	until   time.Time
}

const (
	// evictionTime is the typical time to unload an idle replica.
	evictionTime = 100 * time.Millisecond
	// maxEvictionLoadRatio is the largest load time after an eviction, relative to the load time
	// without it, for which a replica is evicted.
	maxEvictionLoadRatio = 0.6
	// typicalRunTime is the typical time until the running requests of a replica have finished.
	typicalRunTime = 1500 * time.Millisecond
	// busyRequestsPerReplica is the number of running requests per replica from which all replicas
	// of a version are assumed to be in use, since engines do not report running requests by
	// model.
	busyRequestsPerReplica = 0.5
)

// evictForSpeed evicts idle replicas on a machine that has the checkpoint in a faster tier, if
// their next cold starts are expected to cost less than the faster load saves.
func (p *pass) evictForSpeed(pending pendingReplica, names []string, readyIn time.Duration) bool {
	if !pending.urgent {
		return false
	}
	var best []*Replica
	bestMachine, bestTime := "", time.Duration(float64(readyIn)*maxEvictionLoadRatio)
	for _, name := range names {
		candidate := p.machines[name]
		if !pending.canRunOn(candidate) {
			continue
		}
		tier := candidate.machine.tierOf(pending.version.Spec.Checkpoint)
		loadTime := p.loadTime(pending.version, tier) + evictionTime
		if loadTime >= bestTime {
			continue
		}
		victims, cost := p.victimsOn(pending, candidate)
		saved := (readyIn - loadTime).Seconds() * pending.version.ColdStartWeight
		if victims != nil && cost < saved {
			best, bestMachine, bestTime = victims, name, loadTime
		}
	}
	if best == nil {
		return false
	}
	p.evict(pending, bestMachine, best, bestTime)
	return true
}

// trackReservations counts the pending reservations on each machine.
func (p *pass) trackReservations() {
	for name, reservation := range p.planner.reservations {
		target := p.machines[reservation.machine]
		if target != nil && p.input.Now.Before(reservation.until) && !target.hasReplica(name) {
			target.pendingLoads++
			target.reservedFor = append(target.reservedFor, name)
		}
	}
}

// isReservedForOthers reports whether the freed memory of a registered machine is reserved for
// other versions only.
func (s *machineState) isReservedForOthers(version *Version) bool {
	return len(s.reservedFor) > 0 && !slices.Contains(s.reservedFor, version.Name)
}

// awaitsEviction reports whether memory is still being freed for a version.
func (p *pass) awaitsEviction(pending pendingReplica) bool {
	reservation, waiting := p.planner.reservations[pending.version.Name]
	if !waiting || !p.input.Now.Before(reservation.until) {
		return false
	}
	target := p.machines[reservation.machine]
	if target == nil || !target.machine.Schedulable || !pending.canRunOn(target) {
		return false
	}
	bytes := pending.version.Spec.BytesPerAccelerator()
	return fit(target.freeBytes, target.replicaCounts, pending.version.Spec.Accelerators, bytes) == nil
}

func (p *pass) evict(pending pendingReplica, machine string, victims []*Replica, readyIn time.Duration) {
	for _, victim := range victims {
		p.unload(victim, "evicted")
	}
	p.machines[machine].pendingLoads++
	p.machines[machine].unloading++
	p.planner.reservations[pending.version.Name] = reservation{machine: machine, until: p.input.Now.Add(evictionTimeout)}
	p.estimate(pending, readyIn)
}

// evictFor evicts idle replicas for a pending replica that fits on no machine.
func (p *pass) evictFor(pending pendingReplica, names []string) {
	if !pending.urgent {
		return // Proactive loads evict nothing.
	}
	if p.refuseTooLarge(pending.version) {
		return
	}
	machine, victims := p.cheapestVictims(pending, names)
	if victims == nil {
		return // All replicas are in use: the request waits until its deadline.
	}
	p.evict(pending, machine, victims, p.loadTime(pending.version, TierRemote))
}

// refuseTooLarge refuses requests for a version that no machine can hold, and reports whether it
// did.
func (p *pass) refuseTooLarge(version *Version) bool {
	if p.fitsAnywhere(version) {
		return false
	}
	p.decision.Estimates = append(p.decision.Estimates, Estimate{
		Version: version.Name, Refused: true, Reason: "no machine is large enough for the model",
	})
	return true
}

// sizeRequirement is the machine size that a version requires.
type sizeRequirement struct {
	pool         string
	accelerators int
	bytes        int64
}

// fitsAnywhere reports whether any machine of the pool is large enough for a version.
func (p *pass) fitsAnywhere(version *Version) bool {
	size := sizeRequirement{version.Spec.Pool, version.Spec.Accelerators, version.Spec.BytesPerAccelerator()}
	fits, known := p.fits[size]
	if known {
		return fits
	}
	for _, machine := range p.input.Machines {
		if machine.Pool == size.pool && machine.Accelerators >= size.accelerators && machine.AcceleratorBytes >= size.bytes {
			fits = true
			break
		}
	}
	if p.fits == nil {
		p.fits = map[sizeRequirement]bool{}
	}
	p.fits[size] = fits
	return fits
}

// cheapestVictims returns the machine with the lowest cost of evicting idle replicas and loading
// the pending one, and the replicas to evict there.
func (p *pass) cheapestVictims(pending pendingReplica, names []string) (machine string, best []*Replica) {
	var bestCost float64
	for _, name := range names {
		candidate := p.machines[name]
		if !pending.canRunOn(candidate) {
			continue
		}
		victims, cost := p.victimsOn(pending, candidate)
		if victims == nil {
			continue
		}
		tier := candidate.machine.tierOf(pending.version.Spec.Checkpoint)
		cost += p.loadTime(pending.version, tier).Seconds() * pending.version.ColdStartWeight
		if best == nil || cost < bestCost {
			machine, best, bestCost = name, victims, cost
		}
	}
	return machine, best
}

// victimsOn selects the cheapest idle replicas of a machine whose eviction makes the pending
// replica fit, without those that turn out to be unnecessary. It returns them with their eviction
// cost.
func (p *pass) victimsOn(pending pendingReplica, candidate *machineState) ([]*Replica, float64) {
	idle := p.idleOn(candidate, pending.additional)
	free := append([]int64(nil), candidate.freeBytes...)
	bytes := pending.version.Spec.BytesPerAccelerator()
	count := pending.version.Spec.Accelerators
	var victims []*Replica
	for _, replica := range idle {
		adjustFree(free, replica, 1)
		victims = append(victims, replica)
		if fit(free, candidate.replicaCounts, count, bytes) != nil {
			break
		}
	}
	if fit(free, candidate.replicaCounts, count, bytes) == nil || len(victims) == 0 {
		return nil, 0
	}
	var needed []*Replica
	cost := 0.0
	for position := len(victims) - 1; position >= 0; position-- {
		victim := victims[position]
		adjustFree(free, victim, -1)
		if fit(free, candidate.replicaCounts, count, bytes) != nil {
			continue
		}
		adjustFree(free, victim, 1)
		needed = append(needed, victim)
		cost += p.evictionCost(victim)
	}
	return needed, cost
}

func adjustFree(free []int64, replica *Replica, sign int64) {
	for _, accelerator := range replica.Spec.Accelerators {
		if accelerator < len(free) {
			free[accelerator] += sign * replica.Spec.BytesPerAccelerator
		}
	}
}

func (p *pass) idleOn(candidate *machineState, additional bool) []*Replica {
	var idle []*Replica
	for _, replica := range candidate.replicas {
		if replica.Spec.Phase != v1.ReplicaReady || p.changed[replica] || !p.mayEvict(replica) {
			continue
		}
		version := p.input.Versions[replica.Spec.Version]
		if version != nil && len(p.byVersion[version.Name]) <= version.MinReplicas {
			continue
		}
		if additional && version != nil && p.isOnlyAllowed(replica, version) {
			continue // Other replicas of the version may not serve its constrained requests.
		}
		idle = append(idle, replica)
	}
	sort.Slice(idle, func(i, j int) bool {
		left, right := p.evictionCost(idle[i]), p.evictionCost(idle[j])
		if left != right {
			return left < right
		}
		return idle[i].Name < idle[j].Name
	})
	return idle
}

// evictionCost is the expected cost of the next cold start after an eviction, in weighted seconds.
// It falls with the idle time of the replica.
func (p *pass) evictionCost(replica *Replica) float64 {
	version := p.input.Versions[replica.Spec.Version]
	if version == nil {
		return 0
	}
	if version.Spec.Pool != "" {
		return version.ColdStartWeight * (p.loadTime(version, TierDisk).Seconds()*p.replicaValue(replica, version) + p.remainingRunTime(version).Seconds())
	}
	idle := p.input.Now.Sub(p.planner.lastUsed[replica.Name])
	load := p.loadTime(version, TierDisk).Seconds()
	return load * version.ColdStartWeight / (1 + idle.Seconds())
}

// remainingRunTime returns the expected time until the running requests on a replica have finished.
// Engines unload a model only then, and execute no other order meanwhile.
func (p *pass) remainingRunTime(version *Version) time.Duration {
	if p.runningRequests(version) < busyRequestsPerReplica*float64(max(1, p.ready(version))) {
		return 0
	}
	return typicalRunTime
}
