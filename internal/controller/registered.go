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

// TierMemory and TierDisk are where a machine has weights at hand.
const (
	TierMemory = string(placement.TierMemory)
	TierDisk   = string(placement.TierDisk)
)

// RegisteredFleet is what the state holds of machines that registered by
// themselves.
type RegisteredFleet struct {
	Machines map[string]instances.Declared
	Pools    map[string]*v1.PoolSpec
	// StoreLoadsPerSecond is the rate that the weight stores admit.
	StoreLoadsPerSecond float64
	revision            uint64
	// drained has the zones whose machines are to get no requests.
	drained map[string]bool
	// versions maps pool and checkpoint to the declared version.
	versions map[versionKey]declaredVersion
	// replicas are the records, by machine.
	replicas map[string][]storedReplica
	// places tells in which regions the machines stand.
	places places.ZoneMap
	// engines are the machines with engines that are not gone, sorted; see names.
	engines     []string
	listEngines sync.Once
}

type versionKey struct {
	pool, checkpoint string
}

type declaredVersion struct {
	name string
	spec *v1.ModelVersionSpec
}

// EngineStateFunc tells what an engine holds; false if nothing is known.
type EngineStateFunc func(machine string) (orders.State, bool)

// ReadRegisteredFleet reads the state. The caller must hold it.
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

// RegisteredFleetCache reads the state once for each revision of it. Every change of
// an object has a revision of its own, and what was read is never written to.
type RegisteredFleetCache struct {
	// Places tells in which regions machines stand.
	Places places.ZoneMap
	mutex  sync.Mutex
	held   *RegisteredFleet
}

// Read is ReadRegisteredFleet, read anew only where the revision is another.
func (c *RegisteredFleetCache) Read(machine *state.Machine) *RegisteredFleet {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.held == nil || c.held.revision != machine.Revision() {
		c.held = ReadRegisteredFleet(machine)
		c.held.places = c.Places
	}
	return c.held
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

// names returns the machines with engines that are not gone, sorted. They are listed once for what was
// read: each part of a pass goes through them.
func (r *RegisteredFleet) names() []string {
	r.listEngines.Do(func() {
		for name, machine := range r.Machines {
			if machine.Status.Phase != v1.MachineGone && machine.Spec.Accelerators > 0 {
				r.engines = append(r.engines, name)
			}
		}
		sort.Strings(r.engines)
	})
	return r.engines
}

// Adopt returns the writes that make records of what engines hold without one. A machine
// holds models before anything was decided; they are used, not unloaded.
func (r *RegisteredFleet) Adopt(stateOf EngineStateFunc) []*wirepb.ObjectWrite {
	var writes []*wirepb.ObjectWrite
	for _, name := range r.names() {
		known, heard := stateOf(name)
		if !heard {
			continue
		}
		for _, model := range slices.Sorted(maps.Keys(known.Models)) {
			if write := r.adoptModel(name, model, known.Models[model]); write != nil {
				writes = append(writes, write)
			}
		}
	}
	return writes
}

func (r *RegisteredFleet) adoptModel(machine, model string, adapters []string) *wirepb.ObjectWrite {
	if r.hasRecord(machine, model) {
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

func (r *RegisteredFleet) hasRecord(machine, model string) bool {
	return slices.ContainsFunc(r.replicas[machine], func(replica storedReplica) bool { return replica.spec.Checkpoint == model })
}

// WithAdapters returns the writes, followed by those that bring the adapters of records up to
// date. Nothing is decided by what records say of adapters, so these share a commit with the
// decisions: with voters in several regions a commit takes tens of milliseconds, and adapters
// come and go many times a second. A record that is written to anyway is left for the next
// time, since the two writes would name different revisions of it.
func (r *RegisteredFleet) WithAdapters(writes []*wirepb.ObjectWrite, stateOf EngineStateFunc) []*wirepb.ObjectWrite {
	written := make(map[string]bool, len(writes))
	for _, write := range writes {
		written[write.GetObject().GetName()] = true
	}
	for _, name := range r.names() {
		known, heard := stateOf(name)
		if !heard {
			continue
		}
		for _, replica := range r.replicas[name] {
			adapters, held := known.Models[replica.spec.Checkpoint]
			if !held || written[replica.object.GetName()] {
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

// Reports returns what engines hold as the reports that placement reads.
func (r *RegisteredFleet) Reports(stateOf EngineStateFunc) []*wirepb.MachineReport {
	var reports []*wirepb.MachineReport
	for _, name := range r.names() {
		known, heard := stateOf(name)
		if !heard {
			continue
		}
		reports = append(reports, r.report(name, known))
	}
	return reports
}

func (r *RegisteredFleet) report(machine string, known orders.State) *wirepb.MachineReport {
	report := &wirepb.MachineReport{Machine: machine, Incarnation: state.RegisteredIncarnation, Reachable: true, Fence: r.revision}
	for _, replica := range r.replicas[machine] {
		_, held := known.Models[replica.spec.Checkpoint]
		phase := ""
		switch {
		case held:
			phase = placement.EngineReady
		case known.Loading == replica.spec.Checkpoint:
			phase = placement.EngineLoading
		case !known.Settled && replica.spec.Phase != v1.ReplicaLoading:
			// The record is the better guide: the report may be from before
			// the load was done.
			phase = placement.EngineReady
		default:
			continue
		}
		report.Replicas = append(report.Replicas, &wirepb.EngineReplica{Id: replica.object.GetName(), Version: replica.spec.Version, Phase: phase})
	}
	for _, checkpoint := range known.Disk {
		report.Checkpoints = append(report.Checkpoints, &wirepb.CachedCheckpoint{Checkpoint: checkpoint, Tier: TierDisk})
	}
	for _, checkpoint := range known.Memory {
		report.Checkpoints = append(report.Checkpoints, &wirepb.CachedCheckpoint{Checkpoint: checkpoint, Tier: TierMemory})
	}
	return report
}

// DesiredStates returns what the engines of live machines should hold. Work is the rate
// of work by version: what serves most is loaded first.
func (r *RegisteredFleet) DesiredStates(stateOf EngineStateFunc, demand []AdapterDemand, work map[string]float64) []orders.DesiredState {
	var wanted []orders.DesiredState
	adapters := r.adapterTasks(stateOf, demand, work)
	for _, name := range r.names() {
		machine := r.Machines[name]
		if machine.Status.Phase != v1.MachineLive {
			continue
		}
		entry := orders.DesiredState{Machine: name, Endpoint: machine.Spec.Endpoint, Adapters: adapters[name]}
		for _, replica := range sortedReplicas(r.changing(name)) {
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
		wanted = append(wanted, entry)
	}
	return wanted
}

// changing returns the replicas of a machine that are being loaded or unloaded: few, of many that are
// ready.
func (r *RegisteredFleet) changing(machine string) []storedReplica {
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
