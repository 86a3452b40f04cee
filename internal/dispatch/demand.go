package dispatch

import (
	"sort"
	"time"

	"github.com/weldline/weldline/internal/places"
)

// constrainedDemand is the demand for a version under one constraint on its machines.
type constrainedDemand struct {
	hosts    places.HostConstraint
	arrivals uint64
	running  int
}

// constrainedDemandOf returns the entry for a request's constraint, or nil for an unconstrained
// request.
func (v *versionState) constrainedDemandOf(request *Request) *constrainedDemand {
	hosts := request.hosts()
	if !hosts.IsRestrictive() {
		return nil
	}
	if v.constrained == nil {
		v.constrained = map[string]*constrainedDemand{}
	}
	key := hosts.Key()
	if v.constrained[key] == nil {
		v.constrained[key] = &constrainedDemand{hosts: hosts}
	}
	return v.constrained[key]
}

func (v *versionState) countConstrained(request *Request) {
	if constrained := v.constrainedDemandOf(request); constrained != nil {
		constrained.arrivals++
	}
}

// adjustConstrainedRunning changes the number of requests in flight under a request's constraint.
func (v *versionState) adjustConstrainedRunning(request *Request, change int) {
	if constrained := v.constrainedDemandOf(request); constrained != nil {
		constrained.running += change
	}
}

func (v *versionState) countAdapter(adapter string) {
	if v.adapterArrivals == nil {
		v.adapterArrivals = map[string]uint64{}
	}
	v.adapterArrivals[adapter]++
}

// adjustAdapterRunning changes the number of requests in flight for an adapter. An empty adapter
// is ignored.
func (v *versionState) adjustAdapterRunning(adapter string, change int) {
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

// Demand returns the demand for each version, sorted by name.
func (s *Scheduler) Demand(now time.Time) []Demand {
	var demands []Demand
	for name, version := range s.versions {
		if version.arrivals == 0 && version.running == 0 {
			continue
		}
		demand := Demand{
			Version: name, Running: version.running, Arrivals: version.arrivals,
			Work: uint64(version.work), TTFTTarget: version.ttftTarget,
		}
		for _, entry := range version.queue.waiting {
			demand.addWaiting(now, entry.request)
		}
		demands = append(demands, demand)
		demands = append(demands, version.adapterDemand(now, name)...)
		demands = append(demands, version.constrainedDemand(now, name)...)
	}
	sort.Slice(demands, func(i, j int) bool { return demands[i].less(demands[j]) })
	return demands
}

func (d *Demand) addWaiting(now time.Time, request *Request) {
	d.Waiting++
	d.OldestWait = max(d.OldestWait, now.Sub(request.Arrived))
	d.Priority = max(d.Priority, request.Priority)
}

func (d Demand) hosts() places.HostConstraint {
	return places.HostConstraint{Regions: d.Allowed, Software: d.Software}
}

func (d Demand) less(other Demand) bool {
	switch {
	case d.Version != other.Version:
		return d.Version < other.Version
	case d.Adapter != other.Adapter:
		return d.Adapter < other.Adapter
	}
	return d.hosts().Key() < other.hosts().Key()
}

// adapterDemand returns the demand for a version's adapters, and the waiting requests for each
// adapter under each constraint.
func (v *versionState) adapterDemand(now time.Time, name string) []Demand {
	byAdapter := map[string]*Demand{}
	for adapter, arrivals := range v.adapterArrivals {
		byAdapter[adapter] = &Demand{
			Version: name, Adapter: adapter, Arrivals: arrivals, Running: v.adapterRunning[adapter],
		}
	}
	type adapterConstraint struct{ adapter, constraint string }
	byConstraint := map[adapterConstraint]*Demand{}
	for _, entry := range v.queue.waiting {
		demand := byAdapter[entry.request.Adapter]
		if demand == nil {
			continue
		}
		demand.addWaiting(now, entry.request)
		if !entry.request.isConstrained() {
			continue
		}
		key := adapterConstraint{entry.request.Adapter, entry.request.hosts().Key()}
		if byConstraint[key] == nil {
			byConstraint[key] = &Demand{Version: name, Adapter: key.adapter, Allowed: entry.request.Allowed, Software: entry.request.Software}
		}
		byConstraint[key].addWaiting(now, entry.request)
	}
	demands := make([]Demand, 0, len(byAdapter)+len(byConstraint))
	for _, demand := range byAdapter {
		demands = append(demands, *demand)
	}
	for _, demand := range byConstraint {
		demands = append(demands, *demand)
	}
	return demands
}

// constrainedDemand returns the demand for a version under each constraint. A waiting request
// whose constraint has changed counts under its current one.
func (v *versionState) constrainedDemand(now time.Time, name string) []Demand {
	waiting := map[*constrainedDemand]Demand{}
	for _, entry := range v.queue.waiting {
		constrained := v.constrainedDemandOf(entry.request)
		if constrained == nil {
			continue
		}
		demand := waiting[constrained]
		demand.addWaiting(now, entry.request)
		waiting[constrained] = demand
	}
	demands := make([]Demand, 0, len(v.constrained))
	for _, constrained := range v.constrained {
		demand := waiting[constrained]
		demand.Version, demand.Allowed, demand.Software = name, constrained.hosts.Regions, constrained.hosts.Software
		demand.Arrivals, demand.Running = constrained.arrivals, constrained.running
		demands = append(demands, demand)
	}
	return demands
}
