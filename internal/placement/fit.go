package placement

import (
	"slices"
	"sort"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// machineState is a machine with its replicas and the free memory of its accelerators.
type machineState struct {
	machine *Machine
	// freeBytes counts the free memory of each accelerator; negative if its declared size shrank.
	freeBytes []int64
	replicas  []*Replica
	// replicaCounts counts the number of replicas on each accelerator.
	replicaCounts []int
	// loading counts the loads in progress, which share the bandwidth of the machine.
	loading int
	// unloading counts the replicas that are being unloaded.
	unloading int
	// pendingLoads counts the loads for which memory is being freed.
	pendingLoads int
	// changed counts the replicas that this pass has acted on.
	changed int
	// workRate is the rate of work on the machine, in tokens per second.
	workRate float64
	// reservedFor counts the versions for which memory was freed and that are not loaded yet.
	reservedFor []string
}

func newMachineState(machine *Machine) *machineState {
	created := &machineState{machine: machine, freeBytes: make([]int64, machine.Accelerators), replicaCounts: make([]int, machine.Accelerators)}
	for position := range created.freeBytes {
		created.freeBytes[position] = machine.AcceleratorBytes
	}
	return created
}

func (s *machineState) addReplica(replica *Replica) {
	s.allocate(replica.Spec)
	s.replicas = append(s.replicas, replica)
	switch replica.Spec.Phase {
	case v1.ReplicaLoading:
		s.loading++
	case v1.ReplicaUnloading:
		s.unloading++
	}
}

// removeReplica frees the memory of a replica whose record is removed. A load decided later in the
// same pass may use it, since the changes of a pass are committed together, the removal first.
func (s *machineState) removeReplica(replica *Replica) {
	position := slices.Index(s.replicas, replica)
	if position < 0 {
		return
	}
	s.replicas = slices.Delete(s.replicas, position, position+1)
	adjustFree(s.freeBytes, replica, 1)
	for _, accelerator := range replica.Spec.Accelerators {
		if accelerator < len(s.replicaCounts) {
			s.replicaCounts[accelerator]--
		}
	}
	s.changed--
	switch replica.Spec.Phase {
	case v1.ReplicaLoading:
		s.loading--
	case v1.ReplicaUnloading:
		s.unloading--
	}
}

// hasOrders reports whether a registered machine is executing orders. It executes them
// sequentially, so an order added now would delay work that another machine could start at once.
func (s *machineState) hasOrders() bool {
	return s.machine.Pool != "" && s.loading+s.unloading > 0
}

func (s *machineState) allocate(spec *v1.ReplicaSpec) {
	for _, accelerator := range spec.Accelerators {
		if accelerator < len(s.freeBytes) {
			s.freeBytes[accelerator] -= spec.BytesPerAccelerator
			s.replicaCounts[accelerator]++
		}
	}
}

// fit returns the accelerators for a replica, or nil if it does not fit. It prefers accelerators
// that already hold replicas, and among them the one with the least free memory, to limit
// fragmentation.
func fit(free []int64, counts []int, count int, bytes int64) []int {
	if !hasCapacity(free, count, bytes) {
		return nil
	}
	chosen := make([]int, 0, count)
	for range count {
		best := -1
		for position, available := range free {
			if available < bytes || slices.Contains(chosen, position) {
				continue
			}
			if best < 0 || fitsBetter(free, counts, position, best) {
				best = position
			}
		}
		chosen = append(chosen, best)
	}
	slices.Sort(chosen)
	return chosen
}

func fitsBetter(free []int64, counts []int, position, other int) bool {
	if (counts[position] > 0) != (counts[other] > 0) {
		return counts[position] > 0
	}
	return free[position] < free[other]
}

// hasCapacity reports whether enough accelerators have the free memory; a cheap check before fit.
func hasCapacity(free []int64, count int, bytes int64) bool {
	for _, available := range free {
		if available >= bytes {
			count--
		}
	}
	return count <= 0
}

// place chooses machines for the pending replicas.
func (p *pass) place() {
	p.planner.store.setLimits(p.input.StoreLoadsPerSecond, p.input.StoreConcurrentLoads)
	p.planner.store.refill(p.input.Now)
	p.trackReservations()
	p.storeLoads = p.remoteLoads()
	names := p.schedulableMachines()
	for _, pending := range p.pendingReplicas() {
		if p.awaitsEviction(pending) {
			p.estimate(pending, evictionTime+p.loadTime(pending.version, TierMemory))
			continue
		}
		if pending.version.Spec.Pool != "" {
			p.placeOnRegistered(pending)
			continue
		}
		chosen, accelerators := p.bestMachine(pending, names)
		if chosen == nil {
			p.evictFor(pending, names)
			continue
		}
		tier := chosen.machine.tierOf(pending.version.Spec.Checkpoint)
		if p.evictForSpeed(pending, names, p.loadTime(pending.version, tier)) {
			continue
		}
		if tier == TierRemote && !p.planner.store.tryAcquire(p.storeLoads) {
			p.estimate(pending, p.planner.store.queueDelay(p.storeQueue, p.storeLoads, p.loadTime(pending.version, tier))+p.loadTime(pending.version, tier))
			p.storeQueue++
			continue
		}
		if tier == TierRemote {
			p.storeLoads++
		}
		p.load(pending, chosen, accelerators, tier)
	}
	p.estimateLoading()
	p.estimateDrained()
}

// schedulableMachines returns the sorted names of the machines that accept replicas.
func (p *pass) schedulableMachines() []string {
	if p.schedulable != nil {
		return p.schedulable
	}
	names := []string{}
	for name, machine := range p.input.Machines {
		if machine.Schedulable {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	p.schedulable = names
	return names
}

// poolMachines returns the machines of a pool that accept replicas, sorted by name.
func (p *pass) poolMachines(pool string) []*machineState {
	if p.byPool == nil {
		p.byPool = map[string][]*machineState{}
		for _, name := range p.schedulableMachines() {
			state := p.machines[name]
			p.byPool[state.machine.Pool] = append(p.byPool[state.machine.Pool], state)
		}
	}
	return p.byPool[pool]
}

// canHost reports whether a version belongs to the pool of the machine.
func (s *machineState) canHost(version *Version) bool {
	return s.machine.Pool == version.Spec.Pool
}

func (m *Machine) tierOf(checkpoint string) Tier {
	if tier, cached := m.Tiers[checkpoint]; cached {
		return tier
	}
	return TierRemote
}

func (p *pass) loadTime(version *Version, tier Tier) time.Duration {
	return p.planner.speeds.versionLoadTime(version.Spec, tier)
}

// bestMachine prefers the machine on which the replica is ready soonest, then one whose host memory
// keeps its cached checkpoints, then one without another replica of the model, then the tightest
// fit.
func (p *pass) bestMachine(pending pendingReplica, names []string) (*machineState, []int) {
	var best *machineState
	var bestAccelerators []int
	var bestScore machineScore
	bytes := pending.version.Spec.BytesPerAccelerator()
	for _, name := range names {
		candidate := p.machines[name]
		if !pending.canRunOn(candidate) {
			continue
		}
		readyIn := p.readyIn(pending, candidate)
		if best != nil && readyIn > bestScore.readyIn {
			continue
		}
		accelerators := fit(candidate.freeBytes, candidate.replicaCounts, pending.version.Spec.Accelerators, bytes)
		if accelerators == nil {
			continue
		}
		score := p.score(pending, candidate, accelerators, readyIn)
		if best == nil || score.isBetterThan(bestScore) {
			best, bestAccelerators, bestScore = candidate, accelerators, score
		}
	}
	return best, bestAccelerators
}

// machineScore ranks machines for a load.
type machineScore struct {
	readyIn time.Duration
	// evictsCached is set if the load would evict other checkpoints from host memory.
	evictsCached      bool
	sameModelReplicas int
	emptyAccelerators int
	leftoverBytes     int64
}

func (s machineScore) isBetterThan(other machineScore) bool {
	switch {
	case s.readyIn != other.readyIn:
		return s.readyIn < other.readyIn
	case s.evictsCached != other.evictsCached:
		return !s.evictsCached
	case s.sameModelReplicas != other.sameModelReplicas:
		return s.sameModelReplicas < other.sameModelReplicas
	case s.emptyAccelerators != other.emptyAccelerators:
		return s.emptyAccelerators < other.emptyAccelerators
	}
	return s.leftoverBytes < other.leftoverBytes
}

// readyIn returns the expected load time on a machine. Concurrent loads on one machine share its
// bandwidth.
func (p *pass) readyIn(pending pendingReplica, candidate *machineState) time.Duration {
	tier := candidate.machine.tierOf(pending.version.Spec.Checkpoint)
	return p.loadTime(pending.version, tier) * time.Duration(1+candidate.loading)
}

func (p *pass) score(pending pendingReplica, candidate *machineState, accelerators []int, readyIn time.Duration) machineScore {
	score := machineScore{readyIn: readyIn}
	score.evictsCached = p.planner.memory.wouldEvict(candidate.machine, pending.version.Spec.Checkpoint, pending.version.Spec.WeightBytes)
	for _, replica := range candidate.replicas {
		if replica.Spec.Model == pending.version.Spec.Model {
			score.sameModelReplicas++
		}
	}
	for _, accelerator := range accelerators {
		if candidate.replicaCounts[accelerator] == 0 {
			score.emptyAccelerators++
		}
		score.leftoverBytes += candidate.freeBytes[accelerator]
	}
	return score
}

func (p *pass) load(pending pendingReplica, chosen *machineState, accelerators []int, tier Tier) {
	spec := &v1.ReplicaSpec{
		Model: pending.version.Spec.Model, Version: pending.version.Name, Checkpoint: pending.version.Spec.Checkpoint,
		Machine: chosen.machine.Name, Incarnation: chosen.machine.Incarnation,
		Accelerators: accelerators, BytesPerAccelerator: pending.version.Spec.BytesPerAccelerator(),
		WeightBytes: pending.version.Spec.WeightBytes, CacheBytes: pending.version.Spec.CacheBytes,
		MaxConcurrent: pending.version.Spec.MaxConcurrent, Phase: v1.ReplicaLoading, Tier: string(tier),
	}
	chosen.allocate(spec)
	chosen.workRate += p.planner.work.rates[spec.Version] / float64(max(1, p.replicasForWork(pending.version)))
	chosen.loading++
	chosen.replicas = append(chosen.replicas, &Replica{Spec: spec})
	delete(p.planner.reservations, pending.version.Name)
	reason := "demand"
	switch {
	case !pending.urgent:
		reason = "reserve"
	case pending.constrained != nil && pending.constrained.Hosts.Software != "":
		reason = "demand-at-software"
	case pending.constrained != nil:
		reason = "demand-in-region"
	}
	p.addAction(Action{Kind: ActionLoad, Spec: spec, Reason: reason})
	p.estimate(pending, p.loadTime(pending.version, tier))
}

func (p *pass) estimate(pending pendingReplica, readyIn time.Duration) {
	// Estimates are per version: a constrained replica serves only part of the waiting requests.
	if pending.urgent && pending.constrained == nil {
		p.decision.Estimates = append(p.decision.Estimates, Estimate{
			Version: pending.version.Name, ReadyIn: readyIn, EarliestIn: min(readyIn, p.bestLoadTime(pending.version)),
		})
	}
}

// bestLoadTime returns the shortest load time of a version over the cached tiers, without queueing.
func (p *pass) bestLoadTime(version *Version) time.Duration {
	best := p.loadTime(version, TierRemote)
	for _, tier := range p.cachedTiers(version) {
		best = min(best, p.loadTime(version, tier))
	}
	return best
}

// estimateLoading reports the remaining time of loads in progress.
func (p *pass) estimateLoading() {
	for name, demand := range p.input.Demand {
		if demand.Waiting == 0 {
			continue
		}
		for _, replica := range p.byVersion[name] {
			if replica.Spec.Phase != v1.ReplicaLoading {
				continue
			}
			readyIn := replica.Remaining
			version := p.input.Versions[name]
			if readyIn == 0 && replica.EnginePhase == "" && version != nil {
				readyIn = p.loadTime(version, Tier(replica.Spec.Tier))
			}
			p.decision.Estimates = append(p.decision.Estimates, Estimate{Version: name, ReadyIn: readyIn, EarliestIn: readyIn})
			break
		}
	}
}
