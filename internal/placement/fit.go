package placement

import (
	"slices"
	"sort"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// room is the free memory of a machine's accelerators.
type room struct {
	machine *Machine
	// free may be negative where a declaration shrank.
	free     []int64
	replicas []*Replica
	// holds counts replicas on each accelerator.
	holds []int
	// loading counts loads in progress: they share the machine's links.
	loading int
	// unloading counts replicas that are to go and have not gone.
	unloading int
	// expected counts loads for which room is being made.
	expected int
	// changed counts the replicas that the pass has acted on.
	changed int
	// work is the rate of work that the machine gets.
	work float64
	// promised are the versions that room was made for and that are not there.
	promised []string
}

func newRoom(machine *Machine) *room {
	opened := &room{machine: machine, free: make([]int64, machine.Accelerators), holds: make([]int, machine.Accelerators)}
	for position := range opened.free {
		opened.free[position] = machine.AcceleratorBytes
	}
	return opened
}

func (r *room) reserve(replica *Replica) {
	r.take(replica.Spec)
	r.replicas = append(r.replicas, replica)
	switch replica.Spec.Phase {
	case v1.ReplicaLoading:
		r.loading++
	case v1.ReplicaUnloading:
		r.unloading++
	}
}

// release frees the room of a replica whose record is removed. What is decided later in the same
// pass may take it: all changes of a pass are written to the log as one, the removal first, and
// a load need not wait for the next pass, and its commit.
func (r *room) release(replica *Replica) {
	position := slices.Index(r.replicas, replica)
	if position < 0 {
		return
	}
	r.replicas = slices.Delete(r.replicas, position, position+1)
	release(r.free, replica, 1)
	for _, accelerator := range replica.Spec.Accelerators {
		if accelerator < len(r.holds) {
			r.holds[accelerator]--
		}
	}
	r.changed--
	switch replica.Spec.Phase {
	case v1.ReplicaLoading:
		r.loading--
	case v1.ReplicaUnloading:
		r.unloading--
	}
}

// hasOrders reports whether orders are under way on a registered machine, which
// carries them out one after the other. What is decided for it before they are done
// only waits there: a load that could begin elsewhere, a replica that could serve.
func (r *room) hasOrders() bool {
	return r.machine.Pool != "" && r.loading+r.unloading > 0
}

func (r *room) take(spec *v1.ReplicaSpec) {
	for _, accelerator := range spec.Accelerators {
		if accelerator < len(r.free) {
			r.free[accelerator] -= spec.BytesPerAccelerator
			r.holds[accelerator]++
		}
	}
}

// fit returns the accelerators for a replica, or nil. Those that hold weights
// already come first, so that as few as possible hold any; among them the
// fullest that has room, which leaves the largest holes whole.
func fit(free []int64, holds []int, count int, bytes int64) []int {
	if !hasRoom(free, count, bytes) {
		return nil
	}
	chosen := make([]int, 0, count)
	for range count {
		best := -1
		for position, available := range free {
			if available < bytes || slices.Contains(chosen, position) {
				continue
			}
			if best < 0 || fitsBetter(free, holds, position, best) {
				best = position
			}
		}
		chosen = append(chosen, best)
	}
	slices.Sort(chosen)
	return chosen
}

func fitsBetter(free []int64, holds []int, position, other int) bool {
	if (holds[position] > 0) != (holds[other] > 0) {
		return holds[position] > 0
	}
	return free[position] < free[other]
}

// hasRoom reports whether enough accelerators have room; it costs next to
// nothing beside choosing among them.
func hasRoom(free []int64, count int, bytes int64) bool {
	for _, available := range free {
		if available >= bytes {
			count--
		}
	}
	return count <= 0
}

// place finds a machine for each wanted replica.
func (p *pass) place() {
	p.planner.store.limit(p.input.StoreLoadsPerSecond, p.input.StoreConcurrentLoads)
	p.planner.store.refill(p.input.Now)
	p.expect()
	p.storeLoads = p.remoteLoads()
	names := p.acceptingMachines()
	for _, entry := range p.wants() {
		if p.awaitsRoom(entry) {
			p.estimate(entry, evictionTakes+p.loadTime(entry.version, TierMemory))
			continue
		}
		if entry.version.Spec.Pool != "" {
			p.placeOnRegistered(entry)
			continue
		}
		chosen, accelerators := p.bestMachine(entry, names)
		if chosen == nil {
			p.makeRoom(entry, names)
			continue
		}
		tier := chosen.machine.tierOf(entry.version.Spec.Checkpoint)
		if p.evictForSpeed(entry, names, p.loadTime(entry.version, tier)) {
			continue
		}
		if tier == TierRemote && !p.planner.store.take(p.storeLoads) {
			p.estimate(entry, p.planner.store.delay(p.storeQueue, p.storeLoads, p.loadTime(entry.version, tier))+p.loadTime(entry.version, tier))
			p.storeQueue++
			continue
		}
		if tier == TierRemote {
			p.storeLoads++
		}
		p.load(entry, chosen, accelerators, tier)
	}
	p.estimateLoading()
	p.estimateDrained()
}

// acceptingMachines returns the machines that accept replicas, by name.
func (p *pass) acceptingMachines() []string {
	if p.accepting != nil {
		return p.accepting
	}
	names := []string{}
	for name, machine := range p.input.Machines {
		if machine.Schedulable {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	p.accepting = names
	return names
}

// rooms returns the machines of a pool that accept replicas, by name.
func (p *pass) rooms(pool string) []*room {
	if p.byPool == nil {
		p.byPool = map[string][]*room{}
		for _, name := range p.acceptingMachines() {
			machine := p.machines[name]
			p.byPool[machine.machine.Pool] = append(p.byPool[machine.machine.Pool], machine)
		}
	}
	return p.byPool[pool]
}

// serves reports whether a version may be loaded on the machine at all.
func (r *room) serves(version *Version) bool {
	return r.machine.Pool == version.Spec.Pool
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

// bestMachine prefers the machine that is ready soonest; then one whose memory
// keeps the checkpoints that it has; then one without
// another replica of the model, then the one that packs tightest.
func (p *pass) bestMachine(entry want, names []string) (*room, []int) {
	var best *room
	var bestAccelerators []int
	var bestScore machineScore
	bytes := entry.version.Spec.BytesPerAccelerator()
	for _, name := range names {
		candidate := p.machines[name]
		if !entry.mayUse(candidate) {
			continue
		}
		readyIn := p.readyIn(entry, candidate)
		if best != nil && readyIn > bestScore.readyIn {
			continue
		}
		accelerators := fit(candidate.free, candidate.holds, entry.version.Spec.Accelerators, bytes)
		if accelerators == nil {
			continue
		}
		score := p.score(entry, candidate, accelerators, readyIn)
		if best == nil || score.better(bestScore) {
			best, bestAccelerators, bestScore = candidate, accelerators, score
		}
	}
	return best, bestAccelerators
}

// machineScore orders machines for a load.
type machineScore struct {
	readyIn time.Duration
	// pushesOut is set where other checkpoints would leave the memory.
	pushesOut bool
	sameHere  int
	empty     int
	leftover  int64
}

func (s machineScore) better(other machineScore) bool {
	switch {
	case s.readyIn != other.readyIn:
		return s.readyIn < other.readyIn
	case s.pushesOut != other.pushesOut:
		return !s.pushesOut
	case s.sameHere != other.sameHere:
		return s.sameHere < other.sameHere
	case s.empty != other.empty:
		return s.empty < other.empty
	}
	return s.leftover < other.leftover
}

// readyIn is how long a load on a machine takes. Loads on one machine share its
// links, so a second takes twice as long.
func (p *pass) readyIn(entry want, candidate *room) time.Duration {
	tier := candidate.machine.tierOf(entry.version.Spec.Checkpoint)
	return p.loadTime(entry.version, tier) * time.Duration(1+candidate.loading)
}

func (p *pass) score(entry want, candidate *room, accelerators []int, readyIn time.Duration) machineScore {
	score := machineScore{readyIn: readyIn}
	score.pushesOut = p.planner.memory.overflows(candidate.machine, entry.version.Spec.Checkpoint, entry.version.Spec.WeightBytes)
	for _, replica := range candidate.replicas {
		if replica.Spec.Model == entry.version.Spec.Model {
			score.sameHere++
		}
	}
	for _, accelerator := range accelerators {
		if candidate.holds[accelerator] == 0 {
			score.empty++
		}
		score.leftover += candidate.free[accelerator]
	}
	return score
}

func (p *pass) load(entry want, chosen *room, accelerators []int, tier Tier) {
	spec := &v1.ReplicaSpec{
		Model: entry.version.Spec.Model, Version: entry.version.Name, Checkpoint: entry.version.Spec.Checkpoint,
		Machine: chosen.machine.Name, Incarnation: chosen.machine.Incarnation,
		Accelerators: accelerators, BytesPerAccelerator: entry.version.Spec.BytesPerAccelerator(),
		WeightBytes: entry.version.Spec.WeightBytes, CacheBytes: entry.version.Spec.CacheBytes,
		MaxConcurrent: entry.version.Spec.MaxConcurrent, Phase: v1.ReplicaLoading, Tier: string(tier),
	}
	chosen.take(spec)
	chosen.work += p.planner.work.rates[spec.Version] / float64(max(1, p.spreadOver(entry.version)))
	chosen.loading++
	chosen.replicas = append(chosen.replicas, &Replica{Spec: spec})
	delete(p.planner.evicting, entry.version.Name)
	reason := "demand"
	switch {
	case !entry.urgent:
		reason = "reserve"
	case entry.bound != nil:
		reason = "demand-in-region"
	}
	p.act(Action{Kind: ActionLoad, Spec: spec, Reason: reason})
	p.estimate(entry, p.loadTime(entry.version, tier))
}

func (p *pass) estimate(entry want, readyIn time.Duration) {
	// What is said of a version must hold for all who wait for it, bound or not.
	if entry.urgent && entry.bound == nil {
		p.decision.Estimates = append(p.decision.Estimates, Estimate{
			Version: entry.version.Name, ReadyIn: readyIn, EarliestIn: min(readyIn, p.bestLoadTime(entry.version)),
		})
	}
}

// bestLoadTime is how long a load of a version takes where it is soonest, with nothing ahead
// of it.
func (p *pass) bestLoadTime(version *Version) time.Duration {
	best := p.loadTime(version, TierRemote)
	for _, tier := range p.tiersAtHand(version) {
		best = min(best, p.loadTime(version, tier))
	}
	return best
}

// estimateLoading passes on what engines say of loads in progress.
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
