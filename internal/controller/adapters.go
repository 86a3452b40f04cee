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

// AdapterDemand is the demand of all routers for one adapter.
type AdapterDemand struct {
	Version, Adapter string
	// Hosts is the constraint on the machines that may serve the waiting requests. Requests waiting under
	// a constraint are counted only in the entry for that constraint.
	Hosts      places.HostConstraint
	Waiting    int
	OldestWait time.Duration
	// LastUsed is when a router last reported a request for the adapter.
	LastUsed time.Duration
	Now      time.Duration
}

// adapterEvictionIdle is the minimum time since the last request before an adapter may be evicted. An
// engine unloads an adapter only after the runs that use it have ended, and accepts no other order until
// then.
const adapterEvictionIdle = 2500 * time.Millisecond

// constrainedAdapterKey identifies the demand for an adapter under a constraint, given by its key. The key is empty for requests without a constraint.
type constrainedAdapterKey struct {
	adapterKey
	constraint string
}

type adapterKey struct {
	version, adapter string
}

// AdapterDemand sums the adapter demand reported by live routers, longest wait first.
func (t *ReportTable) AdapterDemand(now time.Duration) []AdapterDemand {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	total := map[constrainedAdapterKey]*AdapterDemand{}
	for key, last := range t.adapterLastUsed {
		total[constrainedAdapterKey{key, ""}] = &AdapterDemand{Version: key.version, Adapter: key.adapter, LastUsed: last, Now: now}
	}
	for _, entry := range t.nodes {
		if !entry.isLive(now) {
			continue
		}
		for _, reported := range entry.report.GetDemand() {
			key := adapterKey{reported.GetVersion(), reported.GetAdapter()}
			unconstrained := total[constrainedAdapterKey{key, ""}]
			if reported.GetAdapter() == "" || unconstrained == nil {
				continue
			}
			demand := unconstrained
			if hosts := hostsOf(reported); hosts.IsRestrictive() {
				constrainedKey := constrainedAdapterKey{key, hosts.Key()}
				if total[constrainedKey] == nil {
					total[constrainedKey] = &AdapterDemand{Version: key.version, Adapter: key.adapter, Hosts: hosts, LastUsed: unconstrained.LastUsed, Now: now}
				}
				demand = total[constrainedKey]
				unconstrained.Waiting -= int(reported.GetWaiting()) // The unconstrained entry includes these requests.
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
	return d.Hosts.Key() < other.Hosts.Key()
}

// recordAdapterUse updates the time of last use of the adapters in a report. The caller must hold the
// mutex.
func (t *ReportTable) recordAdapterUse(now time.Duration, report *wirepb.NodeReport) {
	for _, demand := range report.GetDemand() {
		if demand.GetAdapter() != "" {
			t.adapterLastUsed[adapterKey{demand.GetVersion(), demand.GetAdapter()}] = now
		}
	}
	for key, last := range t.adapterLastUsed {
		if now-last > entryRetention {
			delete(t.adapterLastUsed, key)
		}
	}
}

// adapterTasks selects a replica to load each adapter that has waiting requests and is not loaded by a
// ready replica. Where all adapter slots are in use, the least recently used adapter is dropped first.
// Engines without such a task prefetch adapters.
func (r *RegisteredFleet) adapterTasks(engineState EngineStateFunc, demand []AdapterDemand, work map[string]float64) map[string][]orders.AdapterTask {
	lastUsed := map[adapterKey]time.Duration{}
	for _, entry := range demand {
		lastUsed[adapterKey{entry.Version, entry.Adapter}] = entry.LastUsed
	}
	hosts := r.adapterHosts(engineState)
	tasks := map[string][]orders.AdapterTask{}
	for _, entry := range demand {
		if entry.Waiting <= 0 {
			continue
		}
		host := selectAdapterHost(hosts, entry, lastUsed)
		if host == nil {
			continue
		}
		for _, task := range host.assign(entry, lastUsed) {
			if !slices.Contains(tasks[host.machine], task) { // Another constraint may have led to the same task.
				tasks[host.machine] = append(tasks[host.machine], task)
			}
		}
	}
	for machine, task := range r.prefetchTasks(hosts, lastUsed, work) {
		if len(tasks[machine]) == 0 {
			tasks[machine] = []orders.AdapterTask{task}
		}
	}
	return tasks
}

// adapterHost is a machine that can hold adapters.
type adapterHost struct {
	machine string
	region  string
	// software is the version of the machine's software.
	software string
	slots    int
	// versions has an entry for each version with a ready replica on the machine.
	versions  map[string]hostedVersion
	usedSlots int
	// busy is set while the engine accepts no adapter orders.
	busy bool
}

type hostedVersion struct {
	model    string
	adapters []string
	// loading has the adapters that are being loaded.
	loading []string
}

func (r *RegisteredFleet) adapterHosts(engineState EngineStateFunc) []*adapterHost {
	var hosts []*adapterHost
	for _, name := range r.engineNames() {
		machine := r.Machines[name]
		engine, known := engineState(name)
		pool := r.Pools[machine.Spec.Pool]
		if !known || machine.Status.Phase != v1.MachineLive || pool == nil || pool.Engine == nil {
			continue
		}
		if r.drained[machine.Spec.Zone] {
			continue // Machines in a drained zone serve no requests, so their adapters don't count.
		}
		host := &adapterHost{machine: name, region: r.places.Region(machine.Spec.Zone), software: machine.Spec.Software, slots: pool.Engine.AdapterSlots, busy: engine.Busy, versions: map[string]hostedVersion{}}
		for _, adapters := range engine.Models {
			host.usedSlots += len(adapters)
		}
		for _, loading := range engine.LoadingAdapters {
			host.usedSlots += len(loading)
		}
		for _, replica := range r.replicas[name] {
			adapters, loaded := engine.Models[replica.spec.Checkpoint]
			if loaded && replica.spec.Phase == v1.ReplicaReady {
				host.versions[replica.spec.Version] = hostedVersion{
					model: replica.spec.Checkpoint, adapters: adapters, loading: engine.LoadingAdapters[replica.spec.Checkpoint],
				}
			}
		}
		hosts = append(hosts, host)
	}
	return hosts
}

// selectAdapterHost returns the machine with the fewest adapters, idle engines first, among those that
// hold the version and may serve the requests. It returns nil if one of these already holds or loads the
// adapter.
func selectAdapterHost(hosts []*adapterHost, demand AdapterDemand, lastUsed map[adapterKey]time.Duration) *adapterHost {
	var best *adapterHost
	for _, host := range hosts {
		version, loaded := host.versions[demand.Version]
		if !loaded || host.slots == 0 || !demand.Hosts.Allows(host.region, host.software) {
			continue
		}
		if slices.Contains(version.adapters, demand.Adapter) || slices.Contains(version.loading, demand.Adapter) {
			return nil
		}
		if host.usedSlots >= host.slots {
			if _, idle := host.leastRecentlyUsed(demand.Now, lastUsed); idle == "" {
				continue
			}
		}
		if best == nil || host.isPreferredTo(best) {
			best = host
		}
	}
	return best
}

func (h *adapterHost) isPreferredTo(other *adapterHost) bool {
	if h.busy != other.busy {
		return !h.busy
	}
	return h.usedSlots < other.usedSlots
}

// assign returns the tasks that make the adapter available on the host. Without a free slot, this is
// only the eviction of another adapter.
func (h *adapterHost) assign(demand AdapterDemand, lastUsed map[adapterKey]time.Duration) []orders.AdapterTask {
	load := orders.AdapterTask{Model: h.versions[demand.Version].model, Adapter: demand.Adapter}
	if h.usedSlots < h.slots {
		h.usedSlots++
		return []orders.AdapterTask{load}
	}
	version, adapter := h.leastRecentlyUsed(demand.Now, lastUsed)
	// The load follows in a later pass, when the slot is free.
	return []orders.AdapterTask{{Model: h.versions[version].model, Adapter: adapter, Drop: true}}
}

// leastRecentlyUsed returns the least recently used adapter that may be evicted, or empty strings if
// there is none.
func (h *adapterHost) leastRecentlyUsed(now time.Duration, lastUsed map[adapterKey]time.Duration) (version, adapter string) {
	first := true
	var oldest time.Duration
	for _, name := range slices.Sorted(maps.Keys(h.versions)) {
		for _, candidate := range h.versions[name].adapters {
			lastUse, found := lastUsed[adapterKey{name, candidate}]
			if found && now-lastUse < adapterEvictionIdle {
				continue
			}
			if first || lastUse < oldest {
				first, oldest, version, adapter = false, lastUse, name, candidate
			}
		}
	}
	return version, adapter
}
