package placement

import "time"

// A replica serves the requests of its own region at once, while those of others cross the links
// between regions and are paid for by the byte. So a replica goes where its version is asked for,
// unless it would be ready so much later there that its requests do better with the detour.

// regionDetour is how much later a replica in a request's own region may be ready to be as good
// as one in another region. A request there waits for two round trips, one of them for its
// connection: some 100 ms between regions of one continent. The rest stands for the bytes, and
// for the requests that come while the replica stays.
const regionDetour = 250 * time.Millisecond

// detours are what a replica costs for the requests that come from other regions, by its own
// region; the empty region stands for all that no request comes from. Nil where all places are
// alike.
type detours map[string]float64

// detoursOf weighs where a version is asked for. Where it has replicas, requests next to them
// count for less: a further replica goes to a region that has none.
func (p *pass) detoursOf(version *Version, perSecond float64) detours {
	demand := p.input.Demand[version.Name]
	if demand == nil || len(demand.Regions) == 0 {
		return nil
	}
	held := p.replicasByRegion(version)
	asked, total := make(map[string]float64, len(demand.Regions)), 0.0
	for region, requests := range demand.Regions {
		asked[region] = requests / float64(1+held[region])
		total += asked[region]
	}
	if total == 0 {
		return nil
	}
	costs := detours{}
	for region, requests := range asked {
		costs[region] = regionDetour.Seconds() * perSecond * (1 - requests/total)
	}
	costs[""] = regionDetour.Seconds() * perSecond
	return costs
}

// of is the cost of a replica in a region.
func (d detours) of(region string) float64 {
	if cost, asked := d[region]; asked {
		return cost
	}
	return d[""]
}

// replicasByRegion counts the replicas of a version that are there to stay.
func (p *pass) replicasByRegion(version *Version) map[string]int {
	held := map[string]int{}
	for _, replica := range p.byVersion[version.Name] {
		if machine := p.input.Machines[replica.Spec.Machine]; machine.Schedulable {
			held[machine.Region]++
		}
	}
	return held
}
