package controller

import (
	"sort"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/orders"
)

// A request for an adapter that no replica holds waits for a report to the leader, an
// order, and the spread of the new state: 0.3 s at best, and until the next leader may
// give orders where there is none. So free places are filled ahead of demand.

const (
	// spareAdapterPlaces stay free on each engine for adapters that are asked for:
	// dropping another first would take a second order.
	spareAdapterPlaces = 1
	// minPrefetches is how many adapters may be on their way in a small fleet when another is
	// loaded ahead of demand: the store is slower for all when many load, and adapters that
	// requests wait for come first.
	minPrefetches = 4
	// enginesPerPrefetch is for how many engines one more may be: stores are built for the fleets
	// that load from them, and a leader of many engines has fewer passes a second to load in.
	enginesPerPrefetch = 100
)

// prefetch is an adapter that could be loaded ahead of demand.
type prefetch struct {
	version, adapter string
	// used is set for an adapter that was asked for lately.
	used bool
	// work is the rate of work of the version for each of its adapters, in tokens per
	// second.
	work float64
}

func (p prefetch) before(other prefetch) bool {
	switch {
	case p.used != other.used:
		return p.used
	case p.work != other.work:
		return p.work > other.work
	case p.version != other.version:
		return p.version < other.version
	}
	return p.adapter < other.adapter
}

// prefetchTasks chooses at most one adapter for each engine that has free places and
// nothing on its way: adapters that no replica of their version holds, first those that
// were asked for lately, then those of the versions with the most work.
func (r *RegisteredFleet) prefetchTasks(places []*adapterPlace, lastUsed map[adapterUse]time.Duration, work map[string]float64) map[string]orders.AdapterTask {
	open := openPlaces(places)
	if len(open) == 0 {
		return nil
	}
	missing, onTheirWay := r.missingAdapters(places, lastUsed, work)
	most := max(minPrefetches, len(places)/enginesPerPrefetch)
	tasks := map[string]orders.AdapterTask{}
	for _, candidate := range missing {
		if onTheirWay >= most {
			break
		}
		place := prefetchPlace(open, candidate.version, tasks)
		if place == nil {
			continue
		}
		tasks[place.machine] = orders.AdapterTask{Model: place.models[candidate.version].model, Adapter: candidate.adapter}
		onTheirWay++
	}
	return tasks
}

// missingAdapters lists the declared adapters that no ready replica of their version
// holds or loads, the most wanted first, and counts all that are on their way.
func (r *RegisteredFleet) missingAdapters(places []*adapterPlace, lastUsed map[adapterUse]time.Duration, work map[string]float64) (missing []prefetch, onTheirWay int) {
	present := map[string]map[string]bool{}
	for _, place := range places {
		for version, holder := range place.models {
			if present[version] == nil {
				present[version] = map[string]bool{}
			}
			for _, adapters := range [][]string{holder.adapters, holder.coming} {
				for _, adapter := range adapters {
					present[version][adapter] = true
				}
			}
			onTheirWay += len(holder.coming)
		}
	}
	for _, declared := range r.versions {
		held, isReady := present[declared.name]
		if !isReady {
			continue
		}
		for _, adapter := range declared.spec.Adapters {
			if held[adapter] {
				continue
			}
			_, used := lastUsed[adapterUse{declared.name, adapter}]
			missing = append(missing, prefetch{
				version: declared.name, adapter: adapter, used: used, work: workPerAdapter(declared.spec, work[declared.name]),
			})
		}
	}
	sort.Slice(missing, func(i, j int) bool { return missing[i].before(missing[j]) })
	return missing, onTheirWay
}

func workPerAdapter(spec *v1.ModelVersionSpec, work float64) float64 {
	return work / float64(len(spec.Adapters))
}

// openPlaces returns the engines that have places to spare and no order under way.
func openPlaces(places []*adapterPlace) []*adapterPlace {
	var open []*adapterPlace
	for _, place := range places {
		if !place.busy && place.held+spareAdapterPlaces < place.slots {
			open = append(open, place)
		}
	}
	return open
}

// prefetchPlace returns the engine with the fewest adapters among those that hold the
// version and load none of its adapters; nil if there is none.
func prefetchPlace(places []*adapterPlace, version string, taken map[string]orders.AdapterTask) *adapterPlace {
	var best *adapterPlace
	for _, place := range places {
		holder, held := place.models[version]
		_, isTaken := taken[place.machine]
		if !held || isTaken || len(holder.coming) > 0 {
			continue
		}
		if best == nil || place.held < best.held {
			best = place
		}
	}
	return best
}
