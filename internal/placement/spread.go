package placement

import (
	"math"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// Registered machines hold models side by side. A busy model overloads its only machine long before
// its slots are full, so the number of replicas of a version follows its share of the work.

const (
	// workDecayTime is the time constant of the averaged rates.
	workDecayTime = 3 * time.Second
	// maxShareFactor is how much work a machine may get from one version, relative to its fair
	// share.
	maxShareFactor = 2.6
	// minSpreadRate, in tokens per second, is the rate of work below which one replica is enough.
	minSpreadRate = 500
)

// workRates holds exponentially averaged rates by version.
type workRates struct {
	// rates are in tokens per second.
	rates map[string]float64
	// concurrency is the averaged number of running and waiting requests.
	concurrency map[string]float64
	// requestRates are in requests per second.
	requestRates map[string]float64
	// lastWork and lastArrivals are the last running totals.
	lastWork     map[string]uint64
	lastArrivals map[string]uint64
	startedAt    time.Time
	updated      time.Time
	// converged is set once low rates are trusted.
	converged bool
}

func newWorkRates() *workRates {
	return &workRates{rates: map[string]float64{}, concurrency: map[string]float64{}, requestRates: map[string]float64{}, lastWork: map[string]uint64{}, lastArrivals: map[string]uint64{}}
}

// observe updates the rates from the running totals of the demand.
func (w *workRates) observe(now time.Time, demand map[string]*Demand) {
	first := w.startedAt.IsZero()
	if first {
		w.startedAt, w.updated = now, now
	}
	elapsed := now.Sub(w.updated).Seconds()
	w.updated = now
	w.converged = w.converged || now.Sub(w.startedAt) >= rateConvergenceTime
	if elapsed <= 0 && !first {
		return
	}
	decay := math.Exp(-elapsed / workDecayTime.Seconds())
	for version := range w.rates {
		w.rates[version] *= decay
	}
	for version := range w.concurrency {
		w.concurrency[version] *= decay
	}
	for version := range w.requestRates {
		w.requestRates[version] *= decay
	}
	for version, entry := range demand {
		w.concurrency[version] += (1 - decay) * float64(entry.Running+entry.Waiting)
		newWork := float64(entry.Work - min(w.lastWork[version], entry.Work))
		w.lastWork[version] = entry.Work
		newArrivals := float64(entry.Arrivals - min(w.lastArrivals[version], entry.Arrivals))
		w.lastArrivals[version] = entry.Arrivals
		if !first {
			w.rates[version] += newWork / workDecayTime.Seconds()
			w.requestRates[version] += newArrivals / workDecayTime.Seconds()
		}
	}
}

// workDistribution is the distribution of work in one pass.
type workDistribution struct {
	// total is the rate of work by pool, machines the number of schedulable machines by pool.
	total    map[string]float64
	machines map[string]int
}

func (p *pass) computeDistribution() {
	p.planner.work.observe(p.input.Now, p.input.Demand)
	distribution := &workDistribution{total: map[string]float64{}, machines: map[string]int{}}
	for name, version := range p.input.Versions {
		distribution.total[version.Spec.Pool] += p.planner.work.rates[name]
	}
	for _, machine := range p.input.Machines {
		if machine.Schedulable {
			distribution.machines[machine.Pool]++
		}
	}
	for name, replicas := range p.byVersion {
		for _, replica := range replicas {
			p.machines[replica.Spec.Machine].workRate += p.planner.work.rates[name] / float64(len(replicas))
		}
	}
	p.distribution = distribution
}

// fairShare is the rate of work per machine of a pool if it is spread evenly.
func (d *workDistribution) fairShare(pool string) float64 {
	return d.total[pool] / float64(max(1, d.machines[pool]))
}

// replicasForWork returns the number of machines over which a version should be spread.
func (p *pass) replicasForWork(version *Version) int {
	rate := p.planner.work.rates[version.Name]
	pool := version.Spec.Pool
	if pool == "" || rate < minSpreadRate || p.distribution.total[pool] == 0 {
		return 0
	}
	replicas := int(math.Ceil(rate / (p.distribution.fairShare(pool) * maxShareFactor)))
	return min(p.distribution.machines[pool], replicas)
}

// contentionCost is the cost of loading on a machine per unit of its work rate, in weighted
// seconds.
func (p *pass) contentionCost(pending pendingReplica) float64 {
	pool := pending.version.Spec.Pool
	if pool == "" || p.distribution.total[pool] == 0 {
		return 0
	}
	return p.loadTime(pending.version, TierDisk).Seconds() * pending.version.ColdStartWeight / p.distribution.fairShare(pool)
}

// hasReplica reports whether a version is loading or ready on the machine.
func (s *machineState) hasReplica(version string) bool {
	for _, replica := range s.replicas {
		if replica.Spec.Version == version && replica.Spec.Phase != v1.ReplicaUnloading {
			return true
		}
	}
	return false
}
