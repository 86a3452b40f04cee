package nodeview

import (
	"cmp"
	"maps"
	"slices"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/state"
)

// PoolVersion returns the pseudo version of requests to a pool without engines.
func PoolVersion(pool string) string {
	return "pool " + pool
}

// ModelName returns the name of the Model for an engine's model. Models are separate for each pool.
func ModelName(pool, model string) string {
	return pool + "/" + model
}

// TakeRoutes returns the declared routes by name if any has changed since the last call. There must be
// a single caller.
func (v *View) TakeRoutes() (routes map[string]*v1.RouteSpec, changed bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if !v.dirtyRoutes {
		return nil, false
	}
	v.dirtyRoutes = false
	return maps.Clone(v.routes), true
}

// Declaration returns the declared document as far as it is known, or nil.
func (v *View) Declaration() *v1.DeclarationSpec {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	spec, _ := v.specs[state.Key{Kind: v1.KindDeclaration, Name: state.DeclarationName}].(*v1.DeclarationSpec)
	return spec
}

// Pool returns a declared pool, or nil.
func (v *View) Pool(name string) *v1.PoolSpec {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	spec, _ := v.specs[state.Key{Kind: v1.KindPool, Name: name}].(*v1.PoolSpec)
	return spec
}

// RegisteredTargets returns the targets of routes, sorted by replica: replicas on self-registered
// machines, and machines of pools without engines. Leaving machines and drained zones are excluded;
// lost machines are marked as suspect.
func (v *View) RegisteredTargets() []dispatch.Target {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	targets, _ := v.registeredTargets()
	return targets
}

// registeredTargets returns the RegisteredTargets, and separately those excluded by a zone drain. The
// caller must hold the mutex.
func (v *View) registeredTargets() (targets, drained []dispatch.Target) {
	add := func(target dispatch.Target) {
		if v.zoneDrains[target.Zone].Drained {
			drained = append(drained, target)
			return
		}
		targets = append(targets, target)
	}
	for _, group := range v.replicas {
		for name, replica := range group {
			if target, isTarget := v.replicaTarget(name, replica); isTarget {
				add(target)
			}
		}
	}
	for name, machine := range v.machines {
		if target, isTarget := v.machineTarget(name, machine); isTarget {
			add(target)
		}
	}
	slices.SortFunc(targets, byReplica)
	slices.SortFunc(drained, byReplica)
	return targets, drained
}

func byReplica(left, right dispatch.Target) int {
	return cmp.Compare(left.Replica, right.Replica)
}

// replicaTarget returns the target of a replica, regardless of zone drains. It returns false if the
// replica or its machine takes no requests.
func (v *View) replicaTarget(name string, replica Replica) (dispatch.Target, bool) {
	machine, found := v.machines[replica.Spec.Machine]
	if !found || replica.Spec.Phase != v1.ReplicaReady || !machine.Status.Phase.IsInUse() {
		return dispatch.Target{}, false
	}
	target := v.newTarget(replica.Spec.Machine, machine)
	target.Replica, target.Version, target.Adapters = name, replica.Spec.Version, replica.Adapters
	return target, true
}

// machineTarget returns the target of a machine of a pool without engines, regardless of zone drains.
// It returns false for other machines and those that take no requests.
func (v *View) machineTarget(name string, machine Machine) (dispatch.Target, bool) {
	if machine.Spec.Pool == "" || machine.Spec.Accelerators > 0 || !machine.Status.Phase.IsInUse() {
		return dispatch.Target{}, false
	}
	target := v.newTarget(name, machine)
	target.Replica, target.Version, target.Fixed = name, PoolVersion(machine.Spec.Pool), true
	return target, true
}

// markTargetsDirty marks the targets that depend on a changed object.
func (v *View) markTargetsDirty(key state.Key) {
	switch key.Kind {
	case v1.KindReplica:
		v.dirtyTargets[key.Name] = true
	case v1.KindMachine:
		v.markMachineDirty(key.Name)
	case v1.KindZoneDrain:
		for name, machine := range v.machines {
			if machine.Spec.Zone == key.Name {
				v.markMachineDirty(name)
			}
		}
	}
}

func (v *View) markMachineDirty(name string) {
	v.dirtyTargets[name] = true
	for replica := range v.replicasOn[name] {
		v.dirtyTargets[replica] = true
	}
}

// TakeTargetChanges returns the changes of RegisteredTargets since the last call. There must be a
// single caller.
func (v *View) TakeTargetChanges() dispatch.TargetChanges {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	dirty, all := v.dirtyTargets, v.allTargets
	v.dirtyTargets, v.allTargets = map[string]bool{}, false
	if all {
		targets, drained := v.registeredTargets()
		return dispatch.TargetChanges{Full: true, Targets: targets, Drained: drained}
	}
	var changes dispatch.TargetChanges
	for name := range dirty {
		target, isTarget := v.targetByName(name)
		switch {
		case !isTarget:
			changes.Removed = append(changes.Removed, name)
		case v.zoneDrains[target.Zone].Drained:
			changes.Drained = append(changes.Drained, target)
		default:
			changes.Targets = append(changes.Targets, target)
		}
	}
	slices.SortFunc(changes.Targets, byReplica)
	slices.SortFunc(changes.Drained, byReplica)
	slices.Sort(changes.Removed)
	return changes
}

func (v *View) targetByName(name string) (dispatch.Target, bool) {
	if spec, isReplica := v.specs[state.Key{Kind: v1.KindReplica, Name: name}].(*v1.ReplicaSpec); isReplica {
		return v.replicaTarget(name, v.replicas[spec.Version][name])
	}
	if machine, isMachine := v.machines[name]; isMachine {
		return v.machineTarget(name, machine)
	}
	return dispatch.Target{}, false
}

// newTarget returns a target with the fields that depend on its machine.
func (v *View) newTarget(name string, machine Machine) dispatch.Target {
	return dispatch.Target{
		Zone: machine.Spec.Zone, Region: v.location.Zones.Region(machine.Spec.Zone), Proximity: v.location.ProximityOf(machine.Spec.Zone),
		Machine: name, Endpoint: machine.Spec.Endpoint, MaxConcurrent: max(1, machine.Spec.Slots),
		Software: machine.Spec.Software, Suspect: machine.Status.Phase == v1.MachineLost,
	}
}
