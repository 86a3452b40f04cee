package placement

import (
	"math"

	v1 "github.com/weldline/weldline/api/v1"
)

// Loads and evictions on registered machines use the same value of a replica and the same number of
// required replicas. Otherwise an eviction could undo a load as soon as it is done.

const (
	// minRecency is the recency value of a replica that has not been used for long.
	minRecency = 0.05
	// surplusFactor reduces the value of replicas beyond the required number.
	surplusFactor = 0.01
	// additionalFactor reduces the value of an additional replica relative to a first one.
	additionalFactor = 0.5
	// evictionMargin is the factor by which the value of a load must exceed that of its victims:
	// both versions wait for the change, and it may be undone.
	evictionMargin = 1.5
	// targetUtilization is the share of the slots of a machine that one version is planned to use.
	targetUtilization = 0.9
	// surplusUtilization is the slot utilization below which the remaining replicas must stay for
	// one to be surplus.
	surplusUtilization = 0.6
)

// requiredReplicas returns the number of replicas that the load of a version requires at the given
// slot utilization.
func (p *pass) requiredReplicas(version *Version, share float64) int {
	if version.Spec.Pool == "" {
		return 0
	}
	bySlots := 0
	if slots := float64(version.Spec.MaxConcurrent) * share; slots > 0 {
		bySlots = int(math.Ceil(p.planner.work.concurrency[version.Name] / slots))
	}
	return max(bySlots, p.replicasForWork(version)) + p.reducedCapacityLoss(version)
}

// ready counts the ready replicas of a version on schedulable machines.
func (p *pass) ready(version *Version) int {
	count := 0
	for _, replica := range p.byVersion[version.Name] {
		if replica.Spec.Phase == v1.ReplicaReady && p.input.Machines[replica.Spec.Machine].Schedulable {
			count++
		}
	}
	return count
}

// isSurplus reports whether a version has more ready replicas than required. Loading replicas do
// not count.
func (p *pass) isSurplus(version *Version) bool {
	return p.planner.work.converged && p.ready(version) > max(1, p.requiredReplicas(version, surplusUtilization))
}

// isRecentlyLoaded reports whether a replica has been ready for less than its load time. Such
// replicas are not evicted, so that a load pays off.
func (p *pass) isRecentlyLoaded(replica *Replica, version *Version) bool {
	since, known := p.planner.readySince[replica.Name]
	return known && p.input.Now.Sub(since) < p.loadTime(version, Tier(replica.Spec.Tier))
}

// urgency is the fraction of the cold start penalty that applies to a version: 1 if the load takes
// longer than the target of its requests or the target is unknown, and less if there is time for
// it.
func (p *pass) urgency(version *Version) float64 {
	demand := p.input.Demand[version.Name]
	if demand == nil || demand.FirstTokenTarget == 0 {
		return 1
	}
	missed := p.loadTime(version, TierDisk).Seconds() / demand.FirstTokenTarget.Seconds()
	return min(1, missed*missed)
}

// replicaValue is the value of keeping a replica of a pooled version, in weighted seconds of cold
// start per second, from its recency, its share of the work and its running requests.
func (p *pass) replicaValue(replica *Replica, version *Version) float64 {
	rate := p.planner.work.rates[version.Name]
	count := max(1, p.ready(version))
	idle := p.input.Now.Sub(p.planner.lastUsed[replica.Name]).Seconds()
	value := (max(minRecency, 1/(1+idle)) + rate/float64(count)/minSpreadRate) * p.urgency(version)
	if p.isDispensable(replica, version) {
		return surplusFactor * value
	}
	return value + p.runningRequests(version)
}

// runningRequests is the number of running requests that an unload of the only replica of a version
// waits for.
func (p *pass) runningRequests(version *Version) float64 {
	demand := p.input.Demand[version.Name]
	if demand == nil {
		return 0
	}
	return float64(demand.Running)
}

// mayEvict reports whether a replica may be evicted. Registered machines do not report running
// requests by model, and their unloads wait for them, so running requests do not prevent an
// eviction there.
func (p *pass) mayEvict(replica *Replica) bool {
	version := p.input.Versions[replica.Spec.Version]
	if version == nil || version.Spec.Pool == "" {
		return p.isIdle(replica)
	}
	if p.isRecentlyLoaded(replica, version) {
		return false
	}
	demand := p.input.Demand[replica.Spec.Version]
	return demand == nil || demand.Waiting == 0 || p.isDispensable(replica, version)
}

// value is the value of a pending replica, on the scale of replicaValue.
func (p *pass) value(pending pendingReplica) float64 {
	if pending.constrained != nil {
		return pending.value
	}
	served := p.planner.work.rates[pending.version.Name] / minSpreadRate
	if pending.additional {
		return additionalFactor * served / float64(len(p.byVersion[pending.version.Name])+1)
	}
	if demand := p.input.Demand[pending.version.Name]; demand != nil {
		served += float64(demand.Waiting)
	}
	return served
}

// isEvictionWorthwhile reports whether a pending replica is worth more than its victims.
func (p *pass) isEvictionWorthwhile(pending pendingReplica, victims []*Replica) bool {
	value := p.value(pending)
	lost := 0.0
	for _, victim := range victims {
		if version := p.input.Versions[victim.Spec.Version]; version != nil {
			lost += p.replicaValue(victim, version)
		}
	}
	return value > evictionMargin*lost
}
