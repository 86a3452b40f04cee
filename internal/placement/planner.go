package placement

import (
	"maps"
	"sort"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/keepalive"
)

// Config configures a Planner.
type Config struct {
	Speeds TierSpeeds
	// StoreLoadsPerSecond and StoreConcurrentLoads limit loads from the weight store.
	StoreLoadsPerSecond  float64
	StoreConcurrentLoads int
	KeepAlive            keepalive.Policy
	// History is the demand history of the previous leader; nil if there is none.
	History []VersionHistory
}

// Planner decides on replicas. Its memory is soft state: a new leader starts without it, and at
// worst keeps replicas longer or loads them later. It is not safe for concurrent use.
type Planner struct {
	config Config
	store  *storeLimiter
	speeds *speedTable
	work   *workRates
	memory *hostMemory
	// loading holds the loads in progress, by replica.
	loading map[string]*observedLoad
	// readySince is when each loaded replica became ready.
	readySince map[string]time.Time
	// lastUsed is when each replica last served a request or became ready.
	lastUsed map[string]time.Time
	// lastRequested is when each version was last requested.
	lastRequested map[string]time.Time
	// arrivals holds the last seen running totals of arrivals by version.
	arrivals map[string]uint64
	// constraints holds the recently requested constraints of each version, by constraint key.
	constraints map[string]map[string]constraintUse
	// reservations holds, by version, the machine on which memory is being freed for it.
	reservations map[string]reservation
	// retryAfter is the end of the backoff of versions whose load failed.
	retryAfter map[string]time.Time
	// loadingReported holds the replicas that their engines have reported as loading.
	loadingReported map[string]bool
	// leavingSince is when each leaving machine stopped accepting replicas.
	leavingSince map[string]time.Time
	// decidedAt is the time of the previous pass.
	decidedAt time.Time
}

// NewPlanner returns a planner that knows only the demand in config.History. It takes over the policy in
// config.KeepAlive, which must not be used concurrently.
func NewPlanner(config Config) *Planner {
	return &Planner{
		config:          config,
		store:           newStoreLimiter(config.StoreLoadsPerSecond, config.StoreConcurrentLoads),
		speeds:          newSpeedTable(config.Speeds),
		work:            newWorkRates(),
		memory:          newHostMemory(),
		loading:         map[string]*observedLoad{},
		readySince:      map[string]time.Time{},
		lastUsed:        map[string]time.Time{},
		lastRequested:   map[string]time.Time{},
		arrivals:        map[string]uint64{},
		constraints:     map[string]map[string]constraintUse{},
		reservations:    map[string]reservation{},
		retryAfter:      map[string]time.Time{},
		loadingReported: map[string]bool{},
		leavingSince:    map[string]time.Time{},
	}
}

// pass is the working state of one call of Decide.
type pass struct {
	planner  *Planner
	input    *Input
	machines map[string]*machineState
	// largestAccelerator is the memory of the largest accelerator, in bytes.
	largestAccelerator int64
	// byVersion holds the loading and ready replicas of each version on machines that are not
	// lost.
	byVersion map[string][]*Replica
	// drained holds, by version, the replicas on machines in drained zones. They are not in
	// byVersion, so that versions held only there are loaded elsewhere.
	drained map[string][]*Replica
	// poolDrained caches isPoolDrained, by pool.
	poolDrained map[string]bool
	// lostLoads counts, by version, the machines that were lost while loading it.
	lostLoads map[string]int
	// changed holds the replicas that this pass has acted on.
	changed map[*Replica]bool
	// acceleratorValues holds the summed index of the replicas on each accelerator, by machine.
	acceleratorValues map[string]map[int]float64
	distribution      *workDistribution
	// schedulable, byPool, cached and fits are computed on first use by schedulableMachines,
	// poolMachines, cachedTiers and fitsAnywhere.
	schedulable []string
	byPool      map[string][]*machineState
	cached      map[poolCheckpoint][]Tier
	fits        map[sizeRequirement]bool
	// storeLoads counts the loads that use the weight store, storeQueue the loads that this pass
	// deferred because the store is at its limit.
	storeLoads, storeQueue int
	decision               Decision
}

// Decide returns the next changes. The caller must propose them and observe the outcome in the
// state before it calls Decide again.
func (p *Planner) Decide(input *Input) Decision {
	current := p.newPass(input)
	p.applyHistory(input.Now)
	current.buildMachineStates()
	current.learnSpeeds()
	p.memory.observe(input)
	current.reconcile()
	current.observeUse()
	current.observeConstraints()
	current.computeDistribution()
	current.retire()
	current.place()
	p.prune(input)
	p.decidedAt = input.Now
	return current.decision
}

func (p *Planner) newPass(input *Input) *pass {
	return &pass{
		planner: p, input: input, machines: map[string]*machineState{},
		byVersion: map[string][]*Replica{}, lostLoads: map[string]int{}, changed: map[*Replica]bool{},
		acceleratorValues: map[string]map[int]float64{}, drained: map[string][]*Replica{}, poolDrained: map[string]bool{},
	}
}

// buildMachineStates computes the free memory of each machine. Every record reserves its memory,
// whatever its phase, until the engine has confirmed that the replica is gone.
func (p *pass) buildMachineStates() {
	for name, machine := range p.input.Machines {
		p.machines[name] = newMachineState(machine)
		p.largestAccelerator = max(p.largestAccelerator, machine.AcceleratorBytes)
		if machine.Schedulable || machine.Drained {
			delete(p.planner.leavingSince, name)
		} else if _, known := p.planner.leavingSince[name]; !known {
			p.planner.leavingSince[name] = p.input.Now
		}
	}
	sort.Slice(p.input.Replicas, func(i, j int) bool { return p.input.Replicas[i].Name < p.input.Replicas[j].Name })
	for _, replica := range p.input.Replicas {
		if state := p.machines[replica.Spec.Machine]; state != nil {
			state.addReplica(replica)
		}
	}
}

func (p *pass) addAction(action Action) {
	if action.Replica != nil {
		p.changed[action.Replica] = true
		if state := p.machines[action.Replica.Spec.Machine]; state != nil {
			state.changed++
			if action.Kind == ActionRemove {
				state.removeReplica(action.Replica)
			}
		}
	}
	p.decision.Actions = append(p.decision.Actions, action)
}

// observeUse records which replicas are in use and which versions are requested, and groups the
// replicas by version.
func (p *pass) observeUse() {
	for _, replica := range p.input.Replicas {
		if p.changed[replica] && replica.Spec.Phase != v1.ReplicaLoading {
			continue
		}
		if replica.Spec.Phase == v1.ReplicaUnloading {
			continue
		}
		machine := p.input.Machines[replica.Spec.Machine]
		if machine != nil && machine.Lost && p.planner.loadingReported[replica.Name] && replica.Spec.Phase == v1.ReplicaLoading {
			p.lostLoads[replica.Spec.Version]++
		}
		if machine == nil || machine.Lost {
			continue
		}
		used, known := p.planner.lastUsed[replica.Name]
		if machine.Drained {
			p.drained[replica.Spec.Version] = append(p.drained[replica.Spec.Version], replica)
			if known {
				// Drain time does not count as idle time: the replica receives no requests.
				p.planner.lastUsed[replica.Name] = used.Add(p.input.Now.Sub(p.planner.decidedAt))
			}
			continue
		}
		p.byVersion[replica.Spec.Version] = append(p.byVersion[replica.Spec.Version], replica)
		switch {
		case replica.Running > 0 || replica.Spec.Phase == v1.ReplicaLoading:
			p.planner.lastUsed[replica.Name] = p.input.Now
		case !known:
			p.planner.lastUsed[replica.Name] = p.initialLastUsed(replica.Spec)
		}
	}
	for version, demand := range p.input.Demand {
		requested := demand.Arrivals > p.planner.arrivals[version]
		p.planner.arrivals[version] = demand.Arrivals
		if requested || demand.Waiting > 0 || demand.Running > 0 {
			p.planner.config.KeepAlive.RecordUse(version, p.input.Now)
			p.planner.lastRequested[version] = p.input.Now
		}
		if requested || demand.Waiting > 0 {
			p.markUsed(version)
		}
	}
}

// markUsed marks one ready replica of a version as used: a request may have arrived and finished
// between two reports.
func (p *pass) markUsed(version string) {
	for _, replica := range p.byVersion[version] {
		if replica.Spec.Phase == v1.ReplicaReady {
			p.planner.lastUsed[replica.Name] = p.input.Now
			return
		}
	}
}

// prune drops the state of replicas, machines and versions that are gone or outdated.
func (p *Planner) prune(input *Input) {
	present := make(map[string]bool, len(input.Replicas))
	for _, replica := range input.Replicas {
		present[replica.Name] = true
	}
	for name := range p.lastUsed {
		if !present[name] {
			delete(p.lastUsed, name)
		}
	}
	for name := range p.readySince {
		if !present[name] {
			delete(p.readySince, name)
		}
	}
	for name := range p.loading {
		if !present[name] {
			delete(p.loading, name)
		}
	}
	for name := range p.loadingReported {
		if !present[name] {
			delete(p.loadingReported, name)
		}
	}
	for name := range p.leavingSince {
		if input.Machines[name] == nil {
			delete(p.leavingSince, name)
		}
	}
	for version, requested := range p.lastRequested {
		if input.Now.Sub(requested) >= historyRetention {
			delete(p.lastRequested, version)
		}
	}
	for version, until := range p.retryAfter {
		if input.Now.After(until) {
			delete(p.retryAfter, version)
		}
	}
	for version, reservation := range p.reservations {
		if input.Now.After(reservation.until) {
			delete(p.reservations, version)
		}
	}
}

// WorkRates returns the averaged rate of work of each version, in tokens per second.
func (p *Planner) WorkRates() map[string]float64 {
	return maps.Clone(p.work.rates)
}

func (p *Planner) profile(version *Version) keepalive.VersionProfile {
	return keepalive.VersionProfile{
		Version:         version.Name,
		Accelerators:    version.Spec.Accelerators,
		LoadTime:        p.speeds.versionLoadTime(version.Spec, TierDisk),
		ColdStartWeight: version.ColdStartWeight,
	}
}
