package placement

import (
	"slices"
	"sort"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// evictionPatience is how long room made for a version is waited for before
// room is made elsewhere.
const evictionPatience = 5 * time.Second

// madeRoom is room on a machine that is on its way to a version, and until
// when it is waited for.
type madeRoom struct {
	machine string
	until   time.Time
}

const (
	// evictionTakes is about how long it takes to unload an idle replica.
	evictionTakes = 100 * time.Millisecond
	// worthEvicting is the share of the load time elsewhere below which a load
	// in evicted room must be: a small gain is not worth another's replica.
	worthEvicting = 0.6
	// usualRun is about how long the requests that run on a replica go on: streams last a second
	// or two, and several of them run at once.
	usualRun = 1500 * time.Millisecond
	// inUse is how many requests must run for each replica of a version for all of them to be
	// taken to be in use: engines don't tell what they run of which model.
	inUse = 0.5
)

// evictForSpeed makes room on a machine that has the checkpoint in a faster
// tier than the one with room, if nothing but idle replicas is in the way and
// their next cold starts cost less than this one saves.
func (p *pass) evictForSpeed(entry want, names []string, readyIn time.Duration) bool {
	if !entry.urgent {
		return false
	}
	var best []*Replica
	bestMachine, bestTime := "", time.Duration(float64(readyIn)*worthEvicting)
	for _, name := range names {
		candidate := p.machines[name]
		if !entry.mayUse(candidate) {
			continue
		}
		tier := candidate.machine.tierOf(entry.version.Spec.Checkpoint)
		takes := p.loadTime(entry.version, tier) + evictionTakes
		if takes >= bestTime {
			continue
		}
		victims, cost := p.victimsOn(entry, candidate)
		saved := (readyIn - takes).Seconds() * entry.version.ColdStartWeight
		if victims != nil && cost < saved {
			best, bestMachine, bestTime = victims, name, takes
		}
	}
	if best == nil {
		return false
	}
	p.evict(entry, bestMachine, best, bestTime)
	return true
}

// expect counts the room that is still being made on each machine.
func (p *pass) expect() {
	for name, made := range p.planner.evicting {
		target := p.machines[made.machine]
		if target != nil && p.input.Now.Before(made.until) && !target.hasReplica(name) {
			target.expected++
			target.promised = append(target.promised, name)
		}
	}
}

// isPromisedToOthers reports whether room on a registered machine was made for
// other versions only: what another takes would have to be made again.
func (r *room) isPromisedToOthers(version *Version) bool {
	return len(r.promised) > 0 && !slices.Contains(r.promised, version.Name)
}

// awaitsRoom reports whether room made for a version is still on its way.
func (p *pass) awaitsRoom(entry want) bool {
	made, waiting := p.planner.evicting[entry.version.Name]
	if !waiting || !p.input.Now.Before(made.until) {
		return false
	}
	target := p.machines[made.machine]
	if target == nil || !target.machine.Schedulable || !entry.mayUse(target) {
		return false
	}
	bytes := entry.version.Spec.BytesPerAccelerator()
	return fit(target.free, target.holds, entry.version.Spec.Accelerators, bytes) == nil
}

func (p *pass) evict(entry want, machine string, victims []*Replica, takes time.Duration) {
	for _, victim := range victims {
		p.unload(victim, "evicted")
	}
	p.machines[machine].expected++
	p.machines[machine].unloading++
	p.planner.evicting[entry.version.Name] = madeRoom{machine: machine, until: p.input.Now.Add(evictionPatience)}
	p.estimate(entry, takes)
}

// makeRoom evicts idle replicas for a wanted one that fits nowhere.
func (p *pass) makeRoom(entry want, names []string) {
	if !entry.urgent {
		return // Nothing is evicted for a replica kept in reserve.
	}
	if p.refuseTooLarge(entry.version) {
		return
	}
	machine, victims := p.cheapestVictims(entry, names)
	if victims == nil {
		return // All in use: the request waits for a place until its deadline.
	}
	p.evict(entry, machine, victims, p.loadTime(entry.version, TierRemote))
}

// refuseTooLarge tells routers of a version that no machine can hold, and reports
// whether it is one.
func (p *pass) refuseTooLarge(version *Version) bool {
	if p.fitsAnywhere(version) {
		return false
	}
	p.decision.Estimates = append(p.decision.Estimates, Estimate{
		Version: version.Name, Refused: true, Reason: "no machine is large enough for the model",
	})
	return true
}

// machineSize is what a version asks of a machine.
type machineSize struct {
	pool         string
	accelerators int
	bytes        int64
}

// fitsAnywhere reports whether a machine of the pool is large enough for a version.
func (p *pass) fitsAnywhere(version *Version) bool {
	size := machineSize{version.Spec.Pool, version.Spec.Accelerators, version.Spec.BytesPerAccelerator()}
	fits, known := p.largest[size]
	if known {
		return fits
	}
	for _, machine := range p.input.Machines {
		if machine.Pool == size.pool && machine.Accelerators >= size.accelerators && machine.AcceleratorBytes >= size.bytes {
			fits = true
			break
		}
	}
	if p.largest == nil {
		p.largest = map[machineSize]bool{}
	}
	p.largest[size] = fits
	return fits
}

// cheapestVictims returns the idle replicas of one machine whose eviction
// costs least, the load of the wanted one there included.
func (p *pass) cheapestVictims(entry want, names []string) (machine string, best []*Replica) {
	var bestCost float64
	for _, name := range names {
		candidate := p.machines[name]
		if !entry.mayUse(candidate) {
			continue
		}
		victims, cost := p.victimsOn(entry, candidate)
		if victims == nil {
			continue
		}
		tier := candidate.machine.tierOf(entry.version.Spec.Checkpoint)
		cost += p.loadTime(entry.version, tier).Seconds() * entry.version.ColdStartWeight
		if best == nil || cost < bestCost {
			machine, best, bestCost = name, victims, cost
		}
	}
	return machine, best
}

// victimsOn evicts idle replicas of one machine, cheapest first, until the
// wanted one fits, then spares those that turned out not to be needed.
func (p *pass) victimsOn(entry want, candidate *room) ([]*Replica, float64) {
	idle := p.idleOn(candidate, entry.further)
	free := append([]int64(nil), candidate.free...)
	bytes := entry.version.Spec.BytesPerAccelerator()
	count := entry.version.Spec.Accelerators
	var victims []*Replica
	for _, replica := range idle {
		release(free, replica, 1)
		victims = append(victims, replica)
		if fit(free, candidate.holds, count, bytes) != nil {
			break
		}
	}
	if fit(free, candidate.holds, count, bytes) == nil || len(victims) == 0 {
		return nil, 0
	}
	var needed []*Replica
	cost := 0.0
	for position := len(victims) - 1; position >= 0; position-- {
		victim := victims[position]
		release(free, victim, -1)
		if fit(free, candidate.holds, count, bytes) != nil {
			continue
		}
		release(free, victim, 1)
		needed = append(needed, victim)
		cost += p.evictionCost(victim)
	}
	return needed, cost
}

func release(free []int64, replica *Replica, sign int64) {
	for _, accelerator := range replica.Spec.Accelerators {
		if accelerator < len(free) {
			free[accelerator] += sign * replica.Spec.BytesPerAccelerator
		}
	}
}

func (p *pass) idleOn(candidate *room, further bool) []*Replica {
	var idle []*Replica
	for _, replica := range candidate.replicas {
		if replica.Spec.Phase != v1.ReplicaReady || p.changed[replica] || !p.mayEvict(replica) {
			continue
		}
		version := p.input.Versions[replica.Spec.Version]
		if version != nil && len(p.byVersion[version.Name]) <= version.MinReplicas {
			continue
		}
		if further && version != nil && p.isOnlyAllowed(replica, version) {
			continue // Others that share the load of a version can't stand in for it.
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

// evictionCost is the cold start that an eviction is expected to cause, in
// weighted seconds: the longer a replica has idled, the less likely is a use
// soon.
func (p *pass) evictionCost(replica *Replica) float64 {
	version := p.input.Versions[replica.Spec.Version]
	if version == nil {
		return 0
	}
	if version.Spec.Pool != "" {
		return version.ColdStartWeight * (p.loadTime(version, TierDisk).Seconds()*p.replicaWorth(replica, version) + p.runsTake(version).Seconds())
	}
	idle := p.input.Now.Sub(p.planner.lastUsed[replica.Name])
	load := p.loadTime(version, TierDisk).Seconds()
	return load * version.ColdStartWeight / (1 + idle.Seconds())
}

// runsTake is about how long it takes until nothing runs any more on a replica of a version. An
// engine unloads a model only then, and takes no other order meanwhile: what waits for the room
// waits for these runs, also where the version can do without the replica.
func (p *pass) runsTake(version *Version) time.Duration {
	if p.interrupted(version) < inUse*float64(max(1, p.ready(version))) {
		return 0
	}
	return usualRun
}
