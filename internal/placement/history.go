package placement

import (
	"sort"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// A leader learns over seconds how much is asked for which version. One that has
// just been elected knows nothing of it, and would take the replicas that share
// the work of the busiest versions to be more than these need. So the leader hands
// on what it has learned, and who begins without it treats no replica as surplus
// until it has looked for a while.

const (
	// historyHorizon is for how long a version that nobody asks for is handed on.
	historyHorizon = time.Minute
	// ratesSettle is how long rates of work are observed before they are believed
	// to be low.
	ratesSettle = workMemory / 2
	// unaskedIdle is for how long a version is taken to have been idle that
	// nobody has asked for as far as is known.
	unaskedIdle = 10 * time.Second
)

// VersionHistory is how a version was asked for lately.
type VersionHistory struct {
	Version string
	// Rate is the averaged rate of work, in tokens per second.
	Rate float64
	// Idle is how long ago it was last asked for.
	Idle time.Duration
}

// History returns what the next leader should know, by version.
func (p *Planner) History(now time.Time) []VersionHistory {
	history := make([]VersionHistory, 0, len(p.lastAsked))
	for version, asked := range p.lastAsked {
		if idle := now.Sub(asked); idle < historyHorizon {
			history = append(history, VersionHistory{Version: version, Rate: p.work.rates[version], Idle: idle})
		}
	}
	sort.Slice(history, func(i, j int) bool { return history[i].Version < history[j].Version })
	return history
}

// takeHistory seeds a planner that has just begun.
func (p *Planner) takeHistory(now time.Time) {
	if p.config.History == nil {
		return
	}
	for _, entry := range p.config.History {
		p.work.rates[entry.Version] = entry.Rate
		p.lastAsked[entry.Version] = now.Add(-entry.Idle)
	}
	p.work.settled = true
	p.config.History = nil
}

// firstUse is when a replica that was not known before is taken to have been
// used last. Of what registered machines hold, much may never have been asked for;
// others hold only what was.
func (p *pass) firstUse(replica *v1.ReplicaSpec) time.Time {
	if asked, known := p.planner.lastAsked[replica.Version]; known {
		return asked
	}
	demand := p.input.Demand[replica.Version]
	machine := p.input.Machines[replica.Machine]
	if machine.Pool == "" || demand != nil && demand.Arrivals > 0 {
		return p.input.Now
	}
	return p.input.Now.Add(-unaskedIdle)
}
