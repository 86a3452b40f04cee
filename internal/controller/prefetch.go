package controller

import (
	"sort"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/orders"
)

// Adapters are prefetched into free slots because loading on demand adds the latency of a report, an
// order and a digest to the first request, 0.3 s at best, and needs a leader.

const (
	// reservedAdapterSlots is the number of slots per engine left free for loads on demand, which would
	// otherwise have to evict an adapter first.
	reservedAdapterSlots = 1
	// minConcurrentPrefetches is the number of adapters being loaded at which no further prefetch starts
	// in a small fleet. The limit leaves bandwidth of the weight store to loads on demand.
	minConcurrentPrefetches = 4
	// enginesPerPrefetch is the number of engines for each adapter being loaded, which gives the limit in
	// a large fleet.
	enginesPerPrefetch = 100
)

// prefetchCandidate is an adapter that could be prefetched.
type prefetchCandidate struct {
	version, adapter string
	// used is set if the adapter was requested recently.
	used bool
	// work is the version's rate of work per adapter, in tokens per second.
	work float64
}

func (p prefetchCandidate) before(other prefetchCandidate) bool {
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

// prefetchTasks selects at most one adapter for each idle engine with free slots. Candidates are the
// adapters that no replica of their version holds: recently used ones first, then by the version's rate
// of work.
func (r *RegisteredFleet) prefetchTasks(hosts []*adapterHost, lastUsed map[adapterKey]time.Duration, work map[string]float64) map[string]orders.AdapterTask {
	free := hostsWithFreeSlots(hosts)
	if len(free) == 0 {
		return nil
	}
	missing, loading := r.missingAdapters(hosts, lastUsed, work)
	limit := max(minConcurrentPrefetches, len(hosts)/enginesPerPrefetch)
	tasks := map[string]orders.AdapterTask{}
	for _, candidate := range missing {
		if loading >= limit {
			break
		}
		host := selectPrefetchHost(free, candidate.version, tasks)
		if host == nil {
			continue
		}
		tasks[host.machine] = orders.AdapterTask{Model: host.versions[candidate.version].model, Adapter: candidate.adapter}
		loading++
	}
	return tasks
}

// missingAdapters returns the declared adapters that no ready replica of their version holds or loads,
// in order of priority, and the number of adapters being loaded.
func (r *RegisteredFleet) missingAdapters(hosts []*adapterHost, lastUsed map[adapterKey]time.Duration, work map[string]float64) (missing []prefetchCandidate, loading int) {
	present := map[string]map[string]bool{}
	for _, host := range hosts {
		for version, hosted := range host.versions {
			if present[version] == nil {
				present[version] = map[string]bool{}
			}
			for _, adapters := range [][]string{hosted.adapters, hosted.loading} {
				for _, adapter := range adapters {
					present[version][adapter] = true
				}
			}
			loading += len(hosted.loading)
		}
	}
	for _, declared := range r.versions {
		loaded, isReady := present[declared.name]
		if !isReady {
			continue
		}
		for _, adapter := range declared.spec.Adapters {
			if loaded[adapter] {
				continue
			}
			_, used := lastUsed[adapterKey{declared.name, adapter}]
			missing = append(missing, prefetchCandidate{
				version: declared.name, adapter: adapter, used: used, work: workPerAdapter(declared.spec, work[declared.name]),
			})
		}
	}
	sort.Slice(missing, func(i, j int) bool { return missing[i].before(missing[j]) })
	return missing, loading
}

func workPerAdapter(spec *v1.ModelVersionSpec, work float64) float64 {
	return work / float64(len(spec.Adapters))
}

// hostsWithFreeSlots returns the idle engines that have more than the reserved slots free.
func hostsWithFreeSlots(hosts []*adapterHost) []*adapterHost {
	var free []*adapterHost
	for _, host := range hosts {
		if !host.busy && host.usedSlots+reservedAdapterSlots < host.slots {
			free = append(free, host)
		}
	}
	return free
}

// selectPrefetchHost returns the engine with the fewest adapters among those that hold the version and
// are loading none of its adapters, or nil.
func selectPrefetchHost(hosts []*adapterHost, version string, assigned map[string]orders.AdapterTask) *adapterHost {
	var best *adapterHost
	for _, host := range hosts {
		hosted, loaded := host.versions[version]
		_, isAssigned := assigned[host.machine]
		if !loaded || isAssigned || len(hosted.loading) > 0 {
			continue
		}
		if best == nil || host.usedSlots < best.usedSlots {
			best = host
		}
	}
	return best
}
