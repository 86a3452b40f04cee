package placement

import "time"

// Requests from other regions pay for inter-region latency and traffic. Replicas are therefore
// placed in the regions that request them, unless a replica would be ready much later there.

// crossRegionDelay is how much later a replica may be ready in the region of a request to be as
// good as one in another region. It covers two inter-region round trips, some 100 ms between
// regions of one continent, and the cost of the traffic.
const crossRegionDelay = 250 * time.Millisecond

// crossRegionCosts is the cost of serving the requests of other regions, by the region of the
// replica. The empty region stands for all regions without requests. It is nil if the regions do
// not matter.
type crossRegionCosts map[string]float64

// crossRegionCostsOf weighs the regions of the requests for a version. Requests in regions that
// already have replicas weigh less, so that additional replicas go to regions without one.
func (p *pass) crossRegionCostsOf(version *Version, perSecond float64) crossRegionCosts {
	demand := p.input.Demand[version.Name]
	if demand == nil || len(demand.Regions) == 0 {
		return nil
	}
	replicas := p.replicasByRegion(version)
	demanded, total := make(map[string]float64, len(demand.Regions)), 0.0
	for region, requests := range demand.Regions {
		demanded[region] = requests / float64(1+replicas[region])
		total += demanded[region]
	}
	if total == 0 {
		return nil
	}
	costs := crossRegionCosts{}
	for region, requests := range demanded {
		costs[region] = crossRegionDelay.Seconds() * perSecond * (1 - requests/total)
	}
	costs[""] = crossRegionDelay.Seconds() * perSecond
	return costs
}

// costIn returns the cost of a replica in a region.
func (c crossRegionCosts) costIn(region string) float64 {
	if cost, demanded := c[region]; demanded {
		return cost
	}
	return c[""]
}

// replicasByRegion counts the replicas of a version on schedulable machines.
func (p *pass) replicasByRegion(version *Version) map[string]int {
	replicas := map[string]int{}
	for _, replica := range p.byVersion[version.Name] {
		if machine := p.input.Machines[replica.Spec.Machine]; machine.Schedulable {
			replicas[machine.Region]++
		}
	}
	return replicas
}
