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

// learnSpeeds notes when loads begin and learns from those that have ended.
func (p *pass) learnSpeeds() {
	for _, replica := range p.input.Replicas {
		if replica.Spec.Phase != v1.ReplicaLoading {
			continue
		}
		since, known := p.planner.loadingSince[replica.Name]
		if !known {
			p.planner.loadingSince[replica.Name] = p.input.Now
			continue
		}
		if replica.Observed && replica.EnginePhase == EngineReady {
			p.planner.speeds.observe(replica.Spec.WeightBytes, Tier(replica.Spec.Tier), p.input.Now.Sub(since))
			delete(p.planner.loadingSince, replica.Name)
		}
	}
}
