package controller

import (
	"maps"
	"slices"
	"sort"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/orders"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// AdapterDemand is what all routers together ask of one adapter.
type AdapterDemand struct {
	Version, Adapter string
	// Allowed binds the requests that wait. What waits under a constraint counts there only.
	Allowed    places.Constraint
	Waiting    int
	OldestWait time.Duration
	// LastUsed is when a router last reported a request for it.
	LastUsed time.Duration
	// Now is when the demand was read.
	Now time.Duration
}

// adapterIdle is for how long an adapter must not have been asked for before it
// makes room: an engine that is to drop one in use waits for its runs, and
// takes no other order meanwhile.
const adapterIdle = 2500 * time.Millisecond

// boundUse is the use of an adapter under one constraint, named by its key, which is empty where
// any region may serve.
type boundUse struct {
	adapterUse
	constraint string
}

// adapterUse remembers when adapters were last asked for.
type adapterUse struct {
	version, adapter string
}

// AdapterDemand adds up what live routers report of adapters.
func (t *ReportTable) AdapterDemand(now time.Duration) []AdapterDemand {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	total := map[boundUse]*AdapterDemand{}
	for use, last := range t.adapterUsed {
		total[boundUse{use, ""}] = &AdapterDemand{Version: use.version, Adapter: use.adapter, LastUsed: last, Now: now}
	}
	for _, entry := range t.nodes {
		if !entry.isLive(now) {
			continue
		}
		for _, reported := range entry.report.GetDemand() {
			use := adapterUse{reported.GetVersion(), reported.GetAdapter()}
			whole := total[boundUse{use, ""}]
			if reported.GetAdapter() == "" || whole == nil {
				continue
			}
			demand := whole
			if allowed := places.RestrictTo(reported.GetRegions()...); allowed.IsRestrictive() {
				key := boundUse{use, allowed.Key()}
				if total[key] == nil {
					total[key] = &AdapterDemand{Version: use.version, Adapter: use.adapter, Allowed: allowed, LastUsed: whole.LastUsed, Now: now}
				}
				demand = total[key]
				whole.Waiting -= int(reported.GetWaiting()) // The report's entry for the adapter counts these, too.
			}
			demand.Waiting += int(reported.GetWaiting())
			demand.OldestWait = max(demand.OldestWait, time.Duration(reported.GetOldestWaitMs())*time.Millisecond)
		}
	}
	demands := make([]AdapterDemand, 0, len(total))
	for _, demand := range total {
		demands = append(demands, *demand)
	}
	sort.Slice(demands, func(i, j int) bool { return demands[i].before(demands[j]) })
	return demands
}

func (d AdapterDemand) before(other AdapterDemand) bool {
	switch {
	case d.OldestWait != other.OldestWait:
		return d.OldestWait > other.OldestWait
	case d.Version != other.Version:
		return d.Version < other.Version
	case d.Adapter != other.Adapter:
		return d.Adapter < other.Adapter
	}
	return d.Allowed.Key() < other.Allowed.Key()
}

// noteAdapters remembers which adapters a report asks for; the mutex must be
// held.
func (t *ReportTable) noteAdapters(now time.Duration, report *wirepb.NodeReport) {
	for _, demand := range report.GetDemand() {
		if demand.GetAdapter() != "" {
			t.adapterUsed[adapterUse{demand.GetVersion(), demand.GetAdapter()}] = now
		}
	}
	for use, last := range t.adapterUsed {
		if now-last > forgetAfter {
			delete(t.adapterUsed, use)
		}
	}
}

// adapterTasks chooses, for each adapter that requests wait for and no ready
// replica holds, a replica to load it, and what must go where all places are
// taken: the adapter that was asked for longest ago. Engines that are left with
// nothing to do load adapters ahead of demand.
func (r *RegisteredFleet) adapterTasks(stateOf EngineStateFunc, demand []AdapterDemand, work map[string]float64) map[string][]orders.AdapterTask {
	lastUsed := map[adapterUse]time.Duration{}
	for _, entry := range demand {
		lastUsed[adapterUse{entry.Version, entry.Adapter}] = entry.LastUsed
	}
	places := r.adapterPlaces(stateOf)
	tasks := map[string][]orders.AdapterTask{}
	for _, entry := range demand {
		if entry.Waiting <= 0 {
			continue
		}
		chosen := chooseAdapterPlace(places, entry, lastUsed)
		if chosen == nil {
			continue
		}
		for _, task := range chosen.take(entry, lastUsed) {
			if !slices.Contains(tasks[chosen.machine], task) { // Else another constraint asked for it.
				tasks[chosen.machine] = append(tasks[chosen.machine], task)
			}
		}
	}
	for machine, task := range r.prefetchTasks(places, lastUsed, work) {
		if len(tasks[machine]) == 0 {
			tasks[machine] = []orders.AdapterTask{task}
		}
	}
	return tasks
}

// adapterPlace is the room for adapters on one machine.
type adapterPlace struct {
	machine string
	region  string
	slots   int
	// models maps a ready version to the name of its model and its adapters.
	models map[string]adapterHolder
	held   int
	// busy machines take no orders for adapters for now.
	busy bool
}

type adapterHolder struct {
	model    string
	adapters []string
	// coming are on their way.
	coming []string
}

func (r *RegisteredFleet) adapterPlaces(stateOf EngineStateFunc) []*adapterPlace {
	var places []*adapterPlace
	for _, name := range r.names() {
		machine := r.Machines[name]
		known, heard := stateOf(name)
		pool := r.Pools[machine.Spec.Pool]
		if !heard || machine.Status.Phase != v1.MachineLive || pool == nil || pool.Engine == nil {
			continue
		}
		if r.drained[machine.Spec.Zone] {
			continue // An adapter that is there serves nobody, and is wanted elsewhere.
		}
		place := &adapterPlace{machine: name, region: r.places.Region(machine.Spec.Zone), slots: pool.Engine.AdapterSlots, busy: known.Busy, models: map[string]adapterHolder{}}
		for _, adapters := range known.Models {
			place.held += len(adapters)
		}
		for _, coming := range known.LoadingAdapters {
			place.held += len(coming)
		}
		for _, replica := range r.replicas[name] {
			adapters, held := known.Models[replica.spec.Checkpoint]
			if held && replica.spec.Phase == v1.ReplicaReady {
				place.models[replica.spec.Version] = adapterHolder{
					model: replica.spec.Checkpoint, adapters: adapters, coming: known.LoadingAdapters[replica.spec.Checkpoint],
				}
			}
		}
		places = append(places, place)
	}
	return places
}

// chooseAdapterPlace returns the machine with the fewest adapters that holds the version and may
// serve the requests, or nil where one of these holds the adapter already.
func chooseAdapterPlace(places []*adapterPlace, demand AdapterDemand, lastUsed map[adapterUse]time.Duration) *adapterPlace {
	var best *adapterPlace
	for _, place := range places {
		holder, held := place.models[demand.Version]
		if !held || place.slots == 0 || !demand.Allowed.Allows(place.region) {
			continue
		}
		if slices.Contains(holder.adapters, demand.Adapter) || slices.Contains(holder.coming, demand.Adapter) {
			return nil
		}
		if place.held >= place.slots {
			if _, idle := place.oldest(demand.Now, lastUsed); idle == "" {
				continue
			}
		}
		if best == nil || place.better(best) {
			best = place
		}
	}
	return best
}

func (p *adapterPlace) better(other *adapterPlace) bool {
	if p.busy != other.busy {
		return !p.busy
	}
	return p.held < other.held
}

// take returns the tasks that load an adapter here, after one that makes room
// for it where all places are taken.
func (p *adapterPlace) take(demand AdapterDemand, lastUsed map[adapterUse]time.Duration) []orders.AdapterTask {
	load := orders.AdapterTask{Model: p.models[demand.Version].model, Adapter: demand.Adapter}
	if p.held < p.slots {
		p.held++
		return []orders.AdapterTask{load}
	}
	version, adapter := p.oldest(demand.Now, lastUsed)
	// The place is free once the engine has dropped the other; the next pass
	// loads.
	return []orders.AdapterTask{{Model: p.models[version].model, Adapter: adapter, Drop: true}}
}

// oldest returns the adapter that was asked for longest ago, if that is long
// enough; no name if none may go.
func (p *adapterPlace) oldest(now time.Duration, lastUsed map[adapterUse]time.Duration) (version, adapter string) {
	first := true
	var oldest time.Duration
	for _, name := range slices.Sorted(maps.Keys(p.models)) {
		for _, candidate := range p.models[name].adapters {
			used, known := lastUsed[adapterUse{name, candidate}]
			if known && now-used < adapterIdle {
				continue
			}
			if first || used < oldest {
				first, oldest, version, adapter = false, used, name, candidate
			}
		}
	}
	return version, adapter
}
