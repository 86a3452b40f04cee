package placement

import (
	"math"

	v1 "github.com/weldline/weldline/api/v1"
)

// What a replica on a registered machine is worth decides on loads and on
// evictions alike. Both must ask for the same number of replicas: where loads
// counted the requests that wait and evictions did not, each load was undone as
// soon as it was ready.

const (
	// leastRecent is what a replica is worth that nobody has asked for.
	leastRecent = 0.05
	// surplusWorth is the part of its worth that is left of a replica of which
	// there are more than needed.
	surplusWorth = 0.01
	// reserveValue makes evicting for a further replica harder than for a first.
	reserveValue = 0.5
	// swapMargin is by how much more than it costs a swap must bring: both versions
	// wait for it, and the next one may undo it.
	swapMargin = 1.5
	// slotsUsed is the share of its slots up to which a machine is planned to be
	// used by one version.
	slotsUsed = 0.9
	// slotsSpare is the share below which the others must stay before one of
	// them counts as more than needed.
	slotsSpare = 0.6
)

// needed is how many replicas of a version carry what is asked of it, when the
// slots of a machine may be used up to the given share.
func (p *pass) needed(version *Version, share float64) int {
	if version.Spec.Pool == "" {
		return 0
	}
	bySlots := 0
	if slots := float64(version.Spec.MaxConcurrent) * share; slots > 0 {
		bySlots = int(math.Ceil(p.planner.work.inUse[version.Name] / slots))
	}
	return max(bySlots, p.spreadOver(version)) + p.lostToReduced(version)
}

// ready counts the replicas of a version that take requests.
func (p *pass) ready(version *Version) int {
	count := 0
	for _, replica := range p.byVersion[version.Name] {
		if replica.Spec.Phase == v1.ReplicaReady && p.input.Machines[replica.Spec.Machine].Schedulable {
			count++
		}
	}
	return count
}

// isSurplus reports whether the version can do with a ready replica less. One that
// is loading does not stand in for one that is ready.
func (p *pass) isSurplus(version *Version) bool {
	return p.planner.work.settled && p.ready(version) > max(1, p.needed(version, slotsSpare))
}

// isFresh reports whether a replica has been ready for less time than its load
// took: what was loaded must pay for its load before it goes.
func (p *pass) isFresh(replica *Replica, version *Version) bool {
	since, known := p.planner.readySince[replica.Name]
	return known && p.input.Now.Sub(since) < p.loadTime(version, Tier(replica.Spec.Tier))
}

// urgency is which part of a cold start its requests would miss: next to nothing
// where they have time for it, all of it where their target is shorter, or not
// known.
func (p *pass) urgency(version *Version) float64 {
	demand := p.input.Demand[version.Name]
	if demand == nil || demand.FirstTokenTarget == 0 {
		return 1
	}
	missed := p.loadTime(version, TierDisk).Seconds() / demand.FirstTokenTarget.Seconds()
	return min(1, missed*missed)
}

// replicaWorth is what a replica of a pool's version is worth, in weighted
// seconds of cold starts for each second: what it serves, or nearly nothing
// where its version has more replicas than it needs.
func (p *pass) replicaWorth(replica *Replica, version *Version) float64 {
	rate := p.planner.work.rates[version.Name]
	count := max(1, p.ready(version))
	idle := p.input.Now.Sub(p.planner.lastUsed[replica.Name]).Seconds()
	worth := (max(leastRecent, 1/(1+idle)) + rate/float64(count)/minimumRate) * p.urgency(version)
	if p.isSpare(replica, version) {
		return surplusWorth * worth
	}
	return worth + p.interrupted(version)
}

// interrupted is how many requests have to be waited for before the only replica
// of a version is gone; a machine takes no other order meanwhile.
func (p *pass) interrupted(version *Version) float64 {
	demand := p.input.Demand[version.Name]
	if demand == nil {
		return 0
	}
	return float64(demand.Running)
}

// mayEvict reports whether a replica may make room. What a registered machine
// runs of a model is not reported; an unload waits for its runs, so there it is
// a matter of worth alone.
func (p *pass) mayEvict(replica *Replica) bool {
	version := p.input.Versions[replica.Spec.Version]
	if version == nil || version.Spec.Pool == "" {
		return p.isIdle(replica)
	}
	if p.isFresh(replica, version) {
		return false
	}
	demand := p.input.Demand[replica.Spec.Version]
	return demand == nil || demand.Waiting == 0 || p.isSpare(replica, version)
}

// gain is what a wanted replica is worth, on the scale of replicaWorth.
func (p *pass) gain(entry want) float64 {
	if entry.bound != nil {
		return entry.gain
	}
	served := p.planner.work.rates[entry.version.Name] / minimumRate
	if entry.further {
		return reserveValue * served / float64(len(p.byVersion[entry.version.Name])+1)
	}
	if demand := p.input.Demand[entry.version.Name]; demand != nil {
		served += float64(demand.Waiting)
	}
	return served
}

// paysToEvict reports whether a replica is worth more than what it pushes out.
func (p *pass) paysToEvict(entry want, victims []*Replica) bool {
	gained := p.gain(entry)
	lost := 0.0
	for _, victim := range victims {
		if version := p.input.Versions[victim.Spec.Version]; version != nil {
			lost += p.replicaWorth(victim, version)
		}
	}
	return gained > swapMargin*lost
}
