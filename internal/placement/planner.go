package placement

import (
	"maps"
	"sort"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/keepalive"
)

// Config tunes a Planner.
type Config struct {
	Speeds TierSpeeds
	// StoreLoadsPerSecond and StoreConcurrentLoads are the weight store's
	// limits.
	StoreLoadsPerSecond  float64
	StoreConcurrentLoads int
	KeepAlive            keepalive.Policy
	// History is what the leader before knew; nil if that is lost.
	History []VersionHistory
}

// Planner decides on replicas. What it remembers between passes is soft: a
// new leader starts without it and at worst keeps replicas a little longer or
// loads a little later. It is not safe for concurrent use.
type Planner struct {
	config Config
	store  *storePacer
	// speeds are learned from loads; loading are those in progress.
	speeds  *speedTable
	work    *workRates
	memory  *hostMemory
	loading map[string]*observedLoad
	// readySince is when a replica that was loaded became ready.
	readySince map[string]time.Time
	// lastUsed is when a replica last served or became ready.
	lastUsed map[string]time.Time
	// lastAsked is when a version was last asked for.
	lastAsked map[string]time.Time
	arrivals  map[string]uint64
	// bound is when versions were last asked for under constraints, by the constraint's key.
	bound map[string]map[string]askedUnder
	// evicting maps a version to the room that is made for it.
	evicting map[string]madeRoom
	// retryAfter holds back versions whose load failed.
	retryAfter map[string]time.Time
	// loadsSeen has the replicas that their engines have reported to be loading.
	loadsSeen map[string]bool
	// leavingSince is when a machine stopped to accept.
	leavingSince map[string]time.Time
	// decidedAt is the time of the last pass.
	decidedAt time.Time
}

// NewPlanner returns a planner without history.
func NewPlanner(config Config) *Planner {
	return &Planner{
		config:       config,
		store:        newStorePacer(config.StoreLoadsPerSecond, config.StoreConcurrentLoads),
		speeds:       newSpeedTable(config.Speeds),
		work:         newWorkRates(),
		memory:       newHostMemory(),
		loading:      map[string]*observedLoad{},
		readySince:   map[string]time.Time{},
		lastUsed:     map[string]time.Time{},
		lastAsked:    map[string]time.Time{},
		arrivals:     map[string]uint64{},
		bound:        map[string]map[string]askedUnder{},
		evicting:     map[string]madeRoom{},
		retryAfter:   map[string]time.Time{},
		loadsSeen:    map[string]bool{},
		leavingSince: map[string]time.Time{},
	}
}

// pass is the working state of one Decide.
type pass struct {
	planner  *Planner
	input    *Input
	machines map[string]*room
	// largestAccelerator is the memory of the largest, in bytes.
	largestAccelerator int64
	// byVersion holds the replicas that count for a version: loading or
	// ready, on machines that are not lost.
	byVersion map[string][]*Replica
	// drained holds, by version, the replicas on machines whose zones are drained. They count
	// for no version, so that what only those zones held is loaded elsewhere.
	drained map[string][]*Replica
	// poolDrained says, by pool, whether all its machines stand in drained zones; see
	// isAllDrained.
	poolDrained map[string]bool
	// lostLoads counts, by version, the machines that are lost while they load it.
	lostLoads map[string]int
	// changed marks replicas that this pass has acted on.
	changed map[*Replica]bool
	// worth is what the replicas on each accelerator are worth, by machine.
	worth  map[string]map[int]float64
	spread *spread
	// accepting, byPool, atHand and largest are worked out when they are first asked for; see
	// acceptingMachines, rooms, tiersAtHand and fitsAnywhere.
	accepting []string
	byPool    map[string][]*room
	atHand    map[poolCheckpoint][]Tier
	largest   map[machineSize]bool
	// storeLoads counts the loads that occupy the weight store, storeQueue those
	// that this pass has put off until it has room.
	storeLoads, storeQueue int
	decision               Decision
}

// Decide returns the next changes. The caller must not call again before it
// has proposed them and seen the outcome in the state.
func (p *Planner) Decide(input *Input) Decision {
	current := p.newPass(input)
	p.takeHistory(input.Now)
	current.open()
	current.learnSpeeds()
	p.memory.observe(input)
	current.reconcile()
	current.observeUse()
	current.observeBound()
	current.openSpread()
	current.retire()
	current.place()
	p.forget(input)
	p.decidedAt = input.Now
	return current.decision
}

func (p *Planner) newPass(input *Input) *pass {
	return &pass{
		planner: p, input: input, machines: map[string]*room{},
		byVersion: map[string][]*Replica{}, lostLoads: map[string]int{}, changed: map[*Replica]bool{},
		worth: map[string]map[int]float64{}, drained: map[string][]*Replica{}, poolDrained: map[string]bool{},
	}
}

// open builds the free-memory view: every record reserves, whatever its
// phase, until the engine has confirmed that it is gone.
func (p *pass) open() {
	for name, machine := range p.input.Machines {
		p.machines[name] = newRoom(machine)
		p.largestAccelerator = max(p.largestAccelerator, machine.AcceleratorBytes)
		if machine.Schedulable || machine.Drained {
			delete(p.planner.leavingSince, name)
		} else if _, known := p.planner.leavingSince[name]; !known {
			p.planner.leavingSince[name] = p.input.Now
		}
	}
	sort.Slice(p.input.Replicas, func(i, j int) bool { return p.input.Replicas[i].Name < p.input.Replicas[j].Name })
	for _, replica := range p.input.Replicas {
		if room := p.machines[replica.Spec.Machine]; room != nil {
			room.reserve(replica)
		}
	}
}

func (p *pass) act(action Action) {
	if action.Replica != nil {
		p.changed[action.Replica] = true
		if room := p.machines[action.Replica.Spec.Machine]; room != nil {
			room.changed++
			if action.Kind == ActionRemove {
				room.release(action.Replica)
			}
		}
	}
	p.decision.Actions = append(p.decision.Actions, action)
}

// observeUse notes which replicas are in use and which versions are asked
// for, and counts the replicas of each version.
func (p *pass) observeUse() {
	for _, replica := range p.input.Replicas {
		if p.changed[replica] && replica.Spec.Phase != v1.ReplicaLoading {
			continue
		}
		if replica.Spec.Phase == v1.ReplicaUnloading {
			continue
		}
		machine := p.input.Machines[replica.Spec.Machine]
		if machine != nil && machine.Lost && p.planner.loadsSeen[replica.Name] && replica.Spec.Phase == v1.ReplicaLoading {
			p.lostLoads[replica.Spec.Version]++
		}
		if machine == nil || machine.Lost {
			continue
		}
		used, known := p.planner.lastUsed[replica.Name]
		if machine.Drained {
			p.drained[replica.Spec.Version] = append(p.drained[replica.Spec.Version], replica)
			if known {
				// It does not grow idle meanwhile: nobody could use it.
				p.planner.lastUsed[replica.Name] = used.Add(p.input.Now.Sub(p.planner.decidedAt))
			}
			continue
		}
		p.byVersion[replica.Spec.Version] = append(p.byVersion[replica.Spec.Version], replica)
		switch {
		case replica.Running > 0 || replica.Spec.Phase == v1.ReplicaLoading:
			p.planner.lastUsed[replica.Name] = p.input.Now
		case !known:
			p.planner.lastUsed[replica.Name] = p.firstUse(replica.Spec)
		}
	}
	for version, demand := range p.input.Demand {
		grew := demand.Arrivals > p.planner.arrivals[version]
		p.planner.arrivals[version] = demand.Arrivals
		if grew || demand.Waiting > 0 || demand.Running > 0 {
			p.planner.config.KeepAlive.RecordUse(version, p.input.Now)
			p.planner.lastAsked[version] = p.input.Now
		}
		if grew || demand.Waiting > 0 {
			p.touch(version)
		}
	}
}

// touch marks one ready replica of a version as used: a request may have come
// and gone between two reports.
func (p *pass) touch(version string) {
	for _, replica := range p.byVersion[version] {
		if replica.Spec.Phase == v1.ReplicaReady {
			p.planner.lastUsed[replica.Name] = p.input.Now
			return
		}
	}
}

// forget drops what is remembered of replicas and machines that are gone.
func (p *Planner) forget(input *Input) {
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
	for name := range p.loadsSeen {
		if !present[name] {
			delete(p.loadsSeen, name)
		}
	}
	for name := range p.leavingSince {
		if input.Machines[name] == nil {
			delete(p.leavingSince, name)
		}
	}
	for version, asked := range p.lastAsked {
		if input.Now.Sub(asked) >= historyHorizon {
			delete(p.lastAsked, version)
		}
	}
	for version, until := range p.retryAfter {
		if input.Now.After(until) {
			delete(p.retryAfter, version)
		}
	}
	for version, made := range p.evicting {
		if input.Now.After(made.until) {
			delete(p.evicting, version)
		}
	}
}

// WorkRates returns the averaged rate of work of each version, in tokens per second.
func (p *Planner) WorkRates() map[string]float64 {
	return maps.Clone(p.work.rates)
}

func (p *Planner) subject(version *Version) keepalive.VersionProfile {
	return keepalive.VersionProfile{
		Version:         version.Name,
		Accelerators:    version.Spec.Accelerators,
		LoadTime:        p.speeds.versionLoadTime(version.Spec, TierDisk),
		ColdStartWeight: version.ColdStartWeight,
	}
}
