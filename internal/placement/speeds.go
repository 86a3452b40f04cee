package placement

import (
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

const (
	// speedSmoothing is the weight of the newest load in the moving average of a speed.
	speedSmoothing = 0.25
	// minLoadSample is the shortest load that is measured: reporting delays dominate shorter ones.
	minLoadSample = 200 * time.Millisecond
)

// speedTable holds the moving averages of the load speeds of the tiers. Configured speeds apply
// until loads have been observed.
type speedTable struct {
	speeds TierSpeeds
}

func newSpeedTable(initial TierSpeeds) *speedTable {
	return &speedTable{speeds: initial}
}

func (t *speedTable) loadTime(bytes int64, tier Tier) time.Duration {
	return t.speeds.LoadTime(bytes, tier)
}

// versionLoadTime returns the declared load time of a version, or the estimated one if there is
// none.
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

// observe updates the speed of a tier with a finished load.
func (t *speedTable) observe(bytes int64, tier Tier, elapsed time.Duration) {
	if elapsed < minLoadSample {
		return
	}
	speed := float64(bytes) / elapsed.Seconds()
	target := &t.speeds.Remote
	switch tier {
	case TierMemory:
		target = &t.speeds.Memory
	case TierDisk:
		target = &t.speeds.Disk
	}
	*target += speedSmoothing * (speed - *target)
}

// observedLoad is a load in progress.
type observedLoad struct {
	firstSeen time.Time
	// engineStartedAt is when the engine first reported the load.
	engineStartedAt time.Time
	// concurrencySeconds is the integral of the number of concurrent loads from the store over
	// time.
	concurrencySeconds float64
	updated            time.Time
	// slow is set once the load has exceeded its time at full speed.
	slow bool
}

// learnSpeeds tracks loads in progress and learns from finished ones.
func (p *pass) learnSpeeds() {
	running := p.storeLoadsRunning()
	for _, replica := range p.input.Replicas {
		if replica.Spec.Phase != v1.ReplicaLoading {
			continue
		}
		load, known := p.planner.loading[replica.Name]
		if !known {
			p.planner.loading[replica.Name] = &observedLoad{firstSeen: p.input.Now}
			continue
		}
		ended := replica.Observed && replica.EnginePhase == EngineReady
		if replica.Spec.Tier == string(TierRemote) {
			p.learnStoreConcurrency(load, replica, running, ended)
		}
		if ended {
			p.planner.speeds.observe(replica.Spec.WeightBytes, Tier(replica.Spec.Tier), p.input.Now.Sub(load.firstSeen))
			delete(p.planner.loading, replica.Name)
		}
	}
}

// storeLoadsRunning counts the loads from the weight store that engines have started.
func (p *pass) storeLoadsRunning() int {
	count := 0
	for _, replica := range p.input.Replicas {
		if replica.loadsFromStore() && replica.EnginePhase == EngineLoading {
			count++
		}
	}
	return count
}

// learnStoreConcurrency compares the time of a load from the store with its declared time.
func (p *pass) learnStoreConcurrency(load *observedLoad, replica *Replica, running int, ended bool) {
	version := p.input.Versions[replica.Spec.Version]
	if version == nil || version.Spec.LoadTime <= 0 {
		return
	}
	if replica.EnginePhase == EngineLoading && load.engineStartedAt.IsZero() {
		load.engineStartedAt, load.updated = p.input.Now, p.input.Now
		return
	}
	if load.engineStartedAt.IsZero() {
		return
	}
	load.concurrencySeconds += p.input.Now.Sub(load.updated).Seconds() * float64(running)
	load.updated = p.input.Now
	elapsed := p.input.Now.Sub(load.engineStartedAt).Seconds()
	declared := time.Duration(version.Spec.LoadTime).Seconds()
	if elapsed <= 0 || !ended && (load.slow || elapsed < slowLoadRatio*declared) {
		return
	}
	load.slow = elapsed >= slowLoadRatio*declared
	p.planner.store.observe(load.concurrencySeconds/elapsed, elapsed/declared, ended)
}
