package placement

import (
	"math"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// Machines that registered hold models side by side, and what a model costs is
// the work that its requests mean, not the places that it takes: a model that is
// asked for much overloads the one machine that holds it long before its slots
// are full. So the replicas of a version follow its share of all work.

const (
	// workMemory is the time over which the rate of work is averaged.
	workMemory = 3 * time.Second
	// spreadMargin is by how much more than its even share of work a machine
	// may get from one version.
	spreadMargin = 2.6
	// minimumRate, in tokens per second, is below which one replica will do.
	minimumRate = 500
)

// workRates are the averaged rates of work by version, in tokens per second.
type workRates struct {
	rates map[string]float64
	// inUse is the averaged number of requests that run or wait, by version.
	inUse map[string]float64
	// arrivals are the averaged rates of requests by version, a second.
	arrivals map[string]float64
	// seen and seenArrivals are the running totals that were taken last.
	seen         map[string]uint64
	seenArrivals map[string]uint64
	begun        time.Time
	updated      time.Time
	// settled is set once the rates are believed where they are low.
	settled bool
}

func newWorkRates() *workRates {
	return &workRates{rates: map[string]float64{}, inUse: map[string]float64{}, arrivals: map[string]float64{}, seen: map[string]uint64{}, seenArrivals: map[string]uint64{}}
}

// observe takes the running totals of work.
func (w *workRates) observe(now time.Time, demand map[string]*Demand) {
	first := w.begun.IsZero()
	if first {
		w.begun, w.updated = now, now
	}
	elapsed := now.Sub(w.updated).Seconds()
	w.updated = now
	w.settled = w.settled || now.Sub(w.begun) >= ratesSettle
	if elapsed <= 0 && !first {
		return
	}
	keep := math.Exp(-elapsed / workMemory.Seconds())
	for version := range w.rates {
		w.rates[version] *= keep
	}
	for version := range w.inUse {
		w.inUse[version] *= keep
	}
	for version := range w.arrivals {
		w.arrivals[version] *= keep
	}
	for version, entry := range demand {
		w.inUse[version] += (1 - keep) * float64(entry.Running+entry.Waiting)
		grown := float64(entry.Work - min(w.seen[version], entry.Work))
		w.seen[version] = entry.Work
		came := float64(entry.Arrivals - min(w.seenArrivals[version], entry.Arrivals))
		w.seenArrivals[version] = entry.Arrivals
		if !first {
			w.rates[version] += grown / workMemory.Seconds()
			w.arrivals[version] += came / workMemory.Seconds()
		}
	}
}

// spread is the view of work in one pass.
type spread struct {
	// total is the rate of all work by pool, machines the number of those that
	// take replicas.
	total    map[string]float64
	machines map[string]int
}

func (p *pass) openSpread() {
	p.planner.work.observe(p.input.Now, p.input.Demand)
	opened := &spread{total: map[string]float64{}, machines: map[string]int{}}
	for name, version := range p.input.Versions {
		opened.total[version.Spec.Pool] += p.planner.work.rates[name]
	}
	for _, machine := range p.input.Machines {
		if machine.Schedulable {
			opened.machines[machine.Pool]++
		}
	}
	for name, replicas := range p.byVersion {
		for _, replica := range replicas {
			p.machines[replica.Spec.Machine].work += p.planner.work.rates[name] / float64(len(replicas))
		}
	}
	p.spread = opened
}

// evenShare is the rate of work that each machine of a pool would get if all got
// the same.
func (s *spread) evenShare(pool string) float64 {
	return s.total[pool] / float64(max(1, s.machines[pool]))
}

// spreadOver is over how many machines a version should be spread.
func (p *pass) spreadOver(version *Version) int {
	rate := p.planner.work.rates[version.Name]
	pool := version.Spec.Pool
	if pool == "" || rate < minimumRate || p.spread.total[pool] == 0 {
		return 0
	}
	wanted := int(math.Ceil(rate / (p.spread.evenShare(pool) * spreadMargin)))
	return min(p.spread.machines[pool], wanted)
}

// crowdingPerWork is what it costs to load where much else is asked for, for each unit of the
// machine's rate of work, on the scale of eviction costs.
func (p *pass) crowdingPerWork(entry want) float64 {
	pool := entry.version.Spec.Pool
	if pool == "" || p.spread.total[pool] == 0 {
		return 0
	}
	return p.loadTime(entry.version, TierDisk).Seconds() * entry.version.ColdStartWeight / p.spread.evenShare(pool)
}

// hasReplica reports whether the version is loading or loaded on a machine.
func (r *room) hasReplica(version string) bool {
	for _, replica := range r.replicas {
		if replica.Spec.Version == version && replica.Spec.Phase != v1.ReplicaUnloading {
			return true
		}
	}
	return false
}
