package controller

import (
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"strconv"
	"sync"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/instances"
	"github.com/weldline/weldline/internal/orders"
	"github.com/weldline/weldline/internal/placement"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// Tiers of cached weights.
const (
	TierMemory = string(placement.TierMemory)
	TierDisk   = string(placement.TierDisk)
)

// RegisteredFleet is a snapshot of the self-registered machines, their pools, versions and replicas.
type RegisteredFleet struct {
	Machines map[string]instances.Declared
	Pools    map[string]*v1.PoolSpec
	// StoreLoadsPerSecond is the total load rate of the pools' weight stores.
	StoreLoadsPerSecond float64
	revision            uint64
	// drained has the drained zones.
	drained  map[string]bool
	versions map[versionKey]declaredVersion
	// replicas has the replica records by machine.
	replicas map[string][]storedReplica
	places   places.ZoneMap
	// engines caches the result of engineNames.
	engines     []string
	enginesOnce sync.Once
}

type versionKey struct {
	pool, checkpoint string
}

type declaredVersion struct {
	name string
	spec *v1.ModelVersionSpec
}

// EngineStateFunc returns the known state of a machine's engine, and false if none is known.
type EngineStateFunc func(machine string) (orders.State, bool)

// ReadRegisteredFleet takes a snapshot of the state. The caller must hold the state's lock.
func ReadRegisteredFleet(machine *state.Machine) *RegisteredFleet {
	registered := &RegisteredFleet{
		Machines: map[string]instances.Declared{}, Pools: map[string]*v1.PoolSpec{}, revision: machine.Revision(),
		versions: map[versionKey]declaredVersion{}, replicas: map[string][]storedReplica{}, drained: map[string]bool{},
	}
	machine.Each(func(object *wirepb.Object, spec v1.Spec) {
		registered.add(object, spec, machine.MachineStatus(object.GetName()))
	})
	return registered
}

// RegisteredFleetCache keeps the snapshot of the newest revision. Snapshots are not modified.
type RegisteredFleetCache struct {
	Places   places.ZoneMap
	mutex    sync.Mutex
	snapshot *RegisteredFleet
}

// Read returns a snapshot of the state's revision. The caller must hold the state's lock.
func (c *RegisteredFleetCache) Read(machine *state.Machine) *RegisteredFleet {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.snapshot == nil || c.snapshot.revision != machine.Revision() {
		c.snapshot = ReadRegisteredFleet(machine)
		c.snapshot.places = c.Places
	}
	return c.snapshot
}

func (r *RegisteredFleet) add(object *wirepb.Object, spec v1.Spec, status v1.MachineStatus) {
	switch typed := spec.(type) {
	case *v1.MachineSpec:
		if typed.Pool != "" {
			r.Machines[object.GetName()] = instances.Declared{Object: object, Spec: typed, Status: status}
		}
	case *v1.PoolSpec:
		r.Pools[object.GetName()] = typed
		if typed.Engine != nil {
			r.StoreLoadsPerSecond += typed.Engine.StoreLoadsPerSecond
		}
	case *v1.ModelVersionSpec:
		r.versions[versionKey{typed.Pool, typed.Checkpoint}] = declaredVersion{name: object.GetName(), spec: typed}
	case *v1.ZoneDrainSpec:
		r.drained[object.GetName()] = typed.Drained
	case *v1.ReplicaSpec:
		r.replicas[typed.Machine] = append(r.replicas[typed.Machine], storedReplica{object: object, spec: typed})
	}
}

// engineNames returns the sorted names of the machines that have engines and are not gone.
func (r *RegisteredFleet) engineNames() []string {
	r.enginesOnce.Do(func() {
		for name, machine := range r.Machines {
			if machine.Status.Phase != v1.MachineGone && machine.Spec.Accelerators > 0 {
				r.engines = append(r.engines, name)
			}
		}
		sort.Strings(r.engines)
	})
	return r.engines
}

// Adopt returns the writes that create records for declared models that engines hold without a record.
// Such models are used and not unloaded.
func (r *RegisteredFleet) Adopt(engineState EngineStateFunc) []*wirepb.ObjectWrite {
	var writes []*wirepb.ObjectWrite
	for _, name := range r.engineNames() {
		engine, known := engineState(name)
		if !known {
			continue
		}
		for _, model := range slices.Sorted(maps.Keys(engine.Models)) {
			if write := r.adoptModel(name, model, engine.Models[model]); write != nil {
				writes = append(writes, write)
			}
		}
	}
	return writes
}

func (r *RegisteredFleet) adoptModel(machine, model string, adapters []string) *wirepb.ObjectWrite {
	if r.hasReplica(machine, model) {
		return nil
	}
	version, declared := r.versions[versionKey{r.Machines[machine].Spec.Pool, model}]
	if !declared {
		return nil
	}
	spec, err := json.Marshal(&v1.ReplicaSpec{
		Model: version.spec.Model, Version: version.name, Checkpoint: model,
		Machine: machine, Incarnation: state.RegisteredIncarnation, Accelerators: []int{0},
		BytesPerAccelerator: version.spec.BytesPerAccelerator(), WeightBytes: version.spec.WeightBytes,
		CacheBytes: version.spec.CacheBytes, MaxConcurrent: version.spec.MaxConcurrent,
		Phase: v1.ReplicaReady, Adopted: true,
	})
	if err != nil {
		return nil
	}
	status, err := json.Marshal(&v1.ReplicaStatus{Adapters: adapters})
	if err != nil {
		return nil
	}
	absent := uint64(0)
	return &wirepb.ObjectWrite{
		Operation: wirepb.ObjectWrite_OPERATION_PUT, ExpectedRevision: &absent,
		Object: &wirepb.Object{
			Kind: string(v1.KindReplica), Spec: spec, Status: status,
			Name: version.name + "." + machine + "." + strconv.FormatUint(r.revision, 10),
		},
	}
}

func (r *RegisteredFleet) hasReplica(machine, model string) bool {
	return slices.ContainsFunc(r.replicas[machine], func(replica storedReplica) bool { return replica.spec.Checkpoint == model })
}

// WithAdapters appends the writes that update the adapters in replica records. Decisions don't depend
// on these, so they share a commit with the decisions instead of delaying them by one of their own. A
// record that is already written to is skipped, since both writes would expect the same revision.
func (r *RegisteredFleet) WithAdapters(writes []*wirepb.ObjectWrite, engineState EngineStateFunc) []*wirepb.ObjectWrite {
	written := make(map[string]bool, len(writes))
	for _, write := range writes {
		written[write.GetObject().GetName()] = true
	}
	for _, name := range r.engineNames() {
		engine, known := engineState(name)
		if !known {
			continue
		}
		for _, replica := range r.replicas[name] {
			adapters, loaded := engine.Models[replica.spec.Checkpoint]
			if !loaded || written[replica.object.GetName()] {
				continue
			}
			if write := adapterWrite(replica, adapters); write != nil {
				writes = append(writes, write)
			}
		}
	}
	return writes
}

func adapterWrite(replica storedReplica, adapters []string) *wirepb.ObjectWrite {
	if slices.Equal(v1.ReplicaAdapters(replica.object.GetStatus()), adapters) {
		return nil
	}
	status, err := json.Marshal(&v1.ReplicaStatus{Adapters: adapters})
	if err != nil {
		return nil
	}
	revision := replica.object.GetRevision()
	return &wirepb.ObjectWrite{
		Operation: wirepb.ObjectWrite_OPERATION_PUT_STATUS, ExpectedRevision: &revision,
		Object: &wirepb.Object{Kind: string(v1.KindReplica), Name: replica.object.GetName(), Status: status},
	}
}

// Reports converts engine states to the machine reports used by placement.
func (r *RegisteredFleet) Reports(engineState EngineStateFunc) []*wirepb.MachineReport {
	var reports []*wirepb.MachineReport
	for _, name := range r.engineNames() {
		engine, known := engineState(name)
		if !known {
			continue
		}
		reports = append(reports, r.report(name, engine))
	}
	return reports
}

func (r *RegisteredFleet) report(machine string, engine orders.State) *wirepb.MachineReport {
	report := &wirepb.MachineReport{Machine: machine, Incarnation: state.RegisteredIncarnation, Reachable: true, Fence: r.revision}
	for _, replica := range r.replicas[machine] {
		_, loaded := engine.Models[replica.spec.Checkpoint]
		phase := ""
		switch {
		case loaded:
			phase = placement.EngineReady
		case engine.Loading == replica.spec.Checkpoint:
			phase = placement.EngineLoading
		case !engine.Settled && replica.spec.Phase != v1.ReplicaLoading:
			// The report may predate the completed load, so the record takes precedence.
			phase = placement.EngineReady
		default:
			continue
		}
		report.Replicas = append(report.Replicas, &wirepb.EngineReplica{Id: replica.object.GetName(), Version: replica.spec.Version, Phase: phase})
	}
	for _, checkpoint := range engine.Disk {
		report.Checkpoints = append(report.Checkpoints, &wirepb.CachedCheckpoint{Checkpoint: checkpoint, Tier: TierDisk})
	}
	for _, checkpoint := range engine.Memory {
		report.Checkpoints = append(report.Checkpoints, &wirepb.CachedCheckpoint{Checkpoint: checkpoint, Tier: TierMemory})
	}
	return report
}

// DesiredStates returns the desired states of the engines of live machines. Work is the rate of work by
// version, which determines the order of loads.
func (r *RegisteredFleet) DesiredStates(engineState EngineStateFunc, demand []AdapterDemand, work map[string]float64) []orders.DesiredState {
	var desired []orders.DesiredState
	adapters := r.adapterTasks(engineState, demand, work)
	for _, name := range r.engineNames() {
		machine := r.Machines[name]
		if machine.Status.Phase != v1.MachineLive {
			continue
		}
		entry := orders.DesiredState{Machine: name, Endpoint: machine.Spec.Endpoint, Adapters: adapters[name]}
		for _, replica := range sortedReplicas(r.transitioning(name)) {
			task := orders.Task{
				Model: replica.spec.Checkpoint, FromStore: replica.spec.Tier == string(placement.TierRemote),
				Work: work[replica.spec.Version],
			}
			switch replica.spec.Phase {
			case v1.ReplicaLoading:
				entry.Load = append(entry.Load, task)
			case v1.ReplicaUnloading:
				entry.Unload = append(entry.Unload, task)
			}
		}
		desired = append(desired, entry)
	}
	return desired
}

// transitioning returns the replicas of a machine that are being loaded or unloaded.
func (r *RegisteredFleet) transitioning(machine string) []storedReplica {
	var found []storedReplica
	for _, replica := range r.replicas[machine] {
		if replica.spec.Phase == v1.ReplicaLoading || replica.spec.Phase == v1.ReplicaUnloading {
			found = append(found, replica)
		}
	}
	return found
}

func sortedReplicas(replicas []storedReplica) []storedReplica {
	sorted := slices.Clone(replicas)
	sort.Slice(sorted, func(i, j int) bool {
		if sorted[i].object.GetCreateRevision() != sorted[j].object.GetCreateRevision() {
			return sorted[i].object.GetCreateRevision() < sorted[j].object.GetCreateRevision()
		}
		return sorted[i].object.GetName() < sorted[j].object.GetName()
	})
	return sorted
}
