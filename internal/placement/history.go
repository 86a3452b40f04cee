package placement

import (
	"sort"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// Rates of work are learned over seconds. A new leader without them would treat replicas of busy
// versions as surplus. The leader therefore passes its history on, and a leader without history
// treats no replica as surplus until its rates have converged.

const (
	// historyRetention is how long versions without requests stay in the history.
	historyRetention = time.Minute
	// rateConvergenceTime is how long rates of work are observed before low rates are trusted.
	rateConvergenceTime = workDecayTime / 2
	// unrequestedIdleTime is the assumed idle time of a version without any known request.
	unrequestedIdleTime = 10 * time.Second
)

// VersionHistory is the recent demand for a version.
type VersionHistory struct {
	Version string
	// Rate is the averaged rate of work, in tokens per second.
	Rate float64
	// Idle is the time since the last request.
	Idle time.Duration
}

// History returns the demand history for the next leader, sorted by version.
func (p *Planner) History(now time.Time) []VersionHistory {
	history := make([]VersionHistory, 0, len(p.lastRequested))
	for version, requested := range p.lastRequested {
		if idle := now.Sub(requested); idle < historyRetention {
			history = append(history, VersionHistory{Version: version, Rate: p.work.rates[version], Idle: idle})
		}
	}
	sort.Slice(history, func(i, j int) bool { return history[i].Version < history[j].Version })
	return history
}

// applyHistory initializes a new planner with the history of the previous leader.
func (p *Planner) applyHistory(now time.Time) {
	if p.config.History == nil {
		return
	}
	for _, entry := range p.config.History {
		p.work.rates[entry.Version] = entry.Rate
		p.lastRequested[entry.Version] = now.Add(-entry.Idle)
	}
	p.work.converged = true
	p.config.History = nil
}

// initialLastUsed returns the assumed last use of a replica that was not known before. Registered
// machines may hold models that were never requested; other machines hold only requested ones.
func (p *pass) initialLastUsed(replica *v1.ReplicaSpec) time.Time {
	if requested, known := p.planner.lastRequested[replica.Version]; known {
		return requested
	}
	demand := p.input.Demand[replica.Version]
	machine := p.input.Machines[replica.Machine]
	if machine.Pool == "" || demand != nil && demand.Arrivals > 0 {
		return p.input.Now
	}
	return p.input.Now.Add(-unrequestedIdleTime)
}
