package placement

import (
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

const (
	// speedGain is the weight of the newest load in the learned speed.
	speedGain = 0.25
	// minimumLearned is the shortest load that says anything about a speed:
	// shorter ones are mostly the delay of reports.
	minimumLearned = 200 * time.Millisecond
)

// speedTable holds the speeds at which weights arrive from each tier, learned
// from the loads seen. Estimates decide which callers are refused at once, so
// a configured guess is not good enough; it only serves until loads are seen.
type speedTable struct {
	speeds TierSpeeds
}

func newSpeedTable(initial TierSpeeds) *speedTable {
	return &speedTable{speeds: initial}
}

func (t *speedTable) loadTime(bytes int64, tier Tier) time.Duration {
	return t.speeds.LoadTime(bytes, tier)
}

// versionLoadTime returns the declared load time of a version, or the learned
// one where none is declared.
func (t *speedTable) versionLoadTime(spec *v1.ModelVersionSpec, tier Tier) time.Duration {
	declared := spec.LoadTime
	switch tier {
	case TierMemory:
		declared = spec.MemoryLoadTime
	case TierDisk:
		declared = spec.DiskLoadTime
	}
	if declared > 0 {
		return time.Duration(declared)
	}
	return t.loadTime(spec.WeightBytes, tier)
}

// observe learns from one finished load.
func (t *speedTable) observe(bytes int64, tier Tier, took time.Duration) {
	if took < minimumLearned {
		return
	}
	speed := float64(bytes) / took.Seconds()
	target := &t.speeds.Remote
	switch tier {
	case TierMemory:
		target = &t.speeds.Memory
	case TierDisk:
		target = &t.speeds.Disk
	}
	*target += speedGain * (speed - *target)
}

// observedLoad is a load that is being watched.
type observedLoad struct {
	since time.Time
	// begun is when its engine was first seen at it.
	begun time.Time
	// beside is the time for which it has run, times how many ran from the store.
	beside  float64
	updated time.Time
	// slow is set once it has taken longer than at full speed.
	slow bool
}

// learnSpeeds notes when loads begin and learns from those that have ended.
func (p *pass) learnSpeeds() {
	running := p.storeLoadsRunning()
	for _, replica := range p.input.Replicas {
		if replica.Spec.Phase != v1.ReplicaLoading {
			continue
		}
		load, known := p.planner.loading[replica.Name]
		if !known {
			p.planner.loading[replica.Name] = &observedLoad{since: p.input.Now}
			continue
		}
		ended := replica.Observed && replica.EnginePhase == EngineReady
		if replica.Spec.Tier == string(TierRemote) {
			p.learnStore(load, replica, running, ended)
		}
		if ended {
			p.planner.speeds.observe(replica.Spec.WeightBytes, Tier(replica.Spec.Tier), p.input.Now.Sub(load.since))
			delete(p.planner.loading, replica.Name)
		}
	}
}

// storeLoadsRunning counts the loads from the weight store that engines are at.
func (p *pass) storeLoadsRunning() int {
	count := 0
	for _, replica := range p.input.Replicas {
		if replica.loadsFromStore() && replica.EnginePhase == EngineLoading {
			count++
		}
	}
	return count
}

// learnStore compares a load from the store with its declared time.
func (p *pass) learnStore(load *observedLoad, replica *Replica, running int, ended bool) {
	version := p.input.Versions[replica.Spec.Version]
	if version == nil || version.Spec.LoadTime <= 0 {
		return
	}
	if replica.EnginePhase == EngineLoading && load.begun.IsZero() {
		load.begun, load.updated = p.input.Now, p.input.Now
		return
	}
	if load.begun.IsZero() {
		return
	}
	load.beside += p.input.Now.Sub(load.updated).Seconds() * float64(running)
	load.updated = p.input.Now
	took := p.input.Now.Sub(load.begun).Seconds()
	declared := time.Duration(version.Spec.LoadTime).Seconds()
	if took <= 0 || !ended && (load.slow || took < slowedLoad*declared) {
		return
	}
	load.slow = took >= slowedLoad*declared
	p.planner.store.observe(load.beside/took, took/declared, ended)
}
