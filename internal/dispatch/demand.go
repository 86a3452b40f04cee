package dispatch

import (
	"sort"
	"time"
)

func (v *versionState) countAdapter(adapter string) {
	if v.adapterArrivals == nil {
		v.adapterArrivals = map[string]uint64{}
	}
	v.adapterArrivals[adapter]++
}

// runAdapter counts a request in flight for an adapter, if it is for one.
func (v *versionState) runAdapter(adapter string, change int) {
	if adapter == "" {
		return
	}
	if v.adapterRunning == nil {
		v.adapterRunning = map[string]int{}
	}
	v.adapterRunning[adapter] += change
	if v.adapterRunning[adapter] <= 0 {
		delete(v.adapterRunning, adapter)
	}
}

// Demand returns what the router asks of each version, by name.
func (c *Core) Demand(now time.Time) []Demand {
	var demands []Demand
	for name, version := range c.versions {
		if version.arrivals == 0 && version.running == 0 {
			continue
		}
		demand := Demand{
			Version: name, Waiting: len(version.queue.waiting), Running: version.running, Arrivals: version.arrivals,
			Work: uint64(version.work), Target: version.target,
		}
		for _, entry := range version.queue.waiting {
			demand.OldestWait = max(demand.OldestWait, now.Sub(entry.request.Arrived))
			demand.Priority = max(demand.Priority, entry.request.Priority)
		}
		demands = append(demands, demand)
		demands = append(demands, version.adapterDemand(now, name)...)
	}
	sort.Slice(demands, func(i, j int) bool {
		if demands[i].Version != demands[j].Version {
			return demands[i].Version < demands[j].Version
		}
		return demands[i].Adapter < demands[j].Adapter
	})
	return demands
}

// adapterDemand returns what is asked of a version's adapters.
func (v *versionState) adapterDemand(now time.Time, name string) []Demand {
	byAdapter := map[string]*Demand{}
	for adapter, arrivals := range v.adapterArrivals {
		byAdapter[adapter] = &Demand{
			Version: name, Adapter: adapter, Arrivals: arrivals, Running: v.adapterRunning[adapter],
		}
	}
	for _, entry := range v.queue.waiting {
		demand := byAdapter[entry.request.Adapter]
		if demand == nil {
			continue
		}
		demand.Waiting++
		demand.OldestWait = max(demand.OldestWait, now.Sub(entry.request.Arrived))
	}
	demands := make([]Demand, 0, len(byAdapter))
	for _, demand := range byAdapter {
		demands = append(demands, *demand)
	}
	return demands
}
