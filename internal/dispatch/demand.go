package dispatch

import (
	"sort"
	"time"

	"github.com/weldline/weldline/internal/places"
)

// boundDemand is what is asked of a version under one constraint.
type boundDemand struct {
	allowed  places.Constraint
	arrivals uint64
	running  int
}

// boundBy returns what is asked under a request's constraint; nil for a request that may go
// anywhere, which costs nothing more.
func (v *versionState) boundBy(request *Request) *boundDemand {
	if !request.Allowed.IsRestrictive() {
		return nil
	}
	if v.bound == nil {
		v.bound = map[string]*boundDemand{}
	}
	key := request.Allowed.Key()
	if v.bound[key] == nil {
		v.bound[key] = &boundDemand{allowed: request.Allowed}
	}
	return v.bound[key]
}

func (v *versionState) countBound(request *Request) {
	if bound := v.boundBy(request); bound != nil {
		bound.arrivals++
	}
}

// runBound counts a request in flight under its constraint.
func (v *versionState) runBound(request *Request, change int) {
	if bound := v.boundBy(request); bound != nil {
		bound.running += change
	}
}

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
func (c *Scheduler) Demand(now time.Time) []Demand {
	var demands []Demand
	for name, version := range c.versions {
		if version.arrivals == 0 && version.running == 0 {
			continue
		}
		demand := Demand{
			Version: name, Running: version.running, Arrivals: version.arrivals,
			Work: uint64(version.work), TTFTTarget: version.target,
		}
		for _, entry := range version.queue.waiting {
			demand.addWaiting(now, entry.request)
		}
		demands = append(demands, demand)
		demands = append(demands, version.adapterDemand(now, name)...)
		demands = append(demands, version.boundDemand(now, name)...)
	}
	sort.Slice(demands, func(i, j int) bool { return demands[i].before(demands[j]) })
	return demands
}

// addWaiting counts a request that waits.
func (d *Demand) addWaiting(now time.Time, request *Request) {
	d.Waiting++
	d.OldestWait = max(d.OldestWait, now.Sub(request.Arrived))
	d.Priority = max(d.Priority, request.Priority)
}

func (d Demand) before(other Demand) bool {
	switch {
	case d.Version != other.Version:
		return d.Version < other.Version
	case d.Adapter != other.Adapter:
		return d.Adapter < other.Adapter
	}
	return d.Allowed.Key() < other.Allowed.Key()
}

// adapterDemand returns what is asked of a version's adapters, and what waits for each under each
// constraint.
func (v *versionState) adapterDemand(now time.Time, name string) []Demand {
	byAdapter := map[string]*Demand{}
	for adapter, arrivals := range v.adapterArrivals {
		byAdapter[adapter] = &Demand{
			Version: name, Adapter: adapter, Arrivals: arrivals, Running: v.adapterRunning[adapter],
		}
	}
	type boundAdapter struct{ adapter, constraint string }
	byBoth := map[boundAdapter]*Demand{}
	for _, entry := range v.queue.waiting {
		demand := byAdapter[entry.request.Adapter]
		if demand == nil {
			continue
		}
		demand.addWaiting(now, entry.request)
		if !entry.request.Allowed.IsRestrictive() {
			continue
		}
		both := boundAdapter{entry.request.Adapter, entry.request.Allowed.Key()}
		if byBoth[both] == nil {
			byBoth[both] = &Demand{Version: name, Adapter: both.adapter, Allowed: entry.request.Allowed}
		}
		byBoth[both].addWaiting(now, entry.request)
	}
	demands := make([]Demand, 0, len(byAdapter)+len(byBoth))
	for _, demand := range byAdapter {
		demands = append(demands, *demand)
	}
	for _, demand := range byBoth {
		demands = append(demands, *demand)
	}
	return demands
}

// boundDemand returns what is asked of a version under each constraint. A request that waits under
// another one than it came with counts there.
func (v *versionState) boundDemand(now time.Time, name string) []Demand {
	waiting := map[*boundDemand]Demand{}
	for _, entry := range v.queue.waiting {
		bound := v.boundBy(entry.request)
		if bound == nil {
			continue
		}
		demand := waiting[bound]
		demand.addWaiting(now, entry.request)
		waiting[bound] = demand
	}
	demands := make([]Demand, 0, len(v.bound))
	for _, bound := range v.bound {
		demand := waiting[bound]
		demand.Version, demand.Allowed = name, bound.allowed
		demand.Arrivals, demand.Running = bound.arrivals, bound.running
		demands = append(demands, demand)
	}
	return demands
}
