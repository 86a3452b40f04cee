package nodeview

import (
	"cmp"
	"maps"
	"slices"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/state"
)

// PoolVersion is the version that stands for a pool without engines.
func PoolVersion(pool string) string {
	return "pool " + pool
}

// ModelName is the name of the Model that stands for an engine's model in a
// pool: pools don't share names.
func ModelName(pool, model string) string {
	return pool + "/" + model
}

// TakeRoutes returns the declared routes by name if any has changed since the last call, which
// must be the same caller's.
func (v *View) TakeRoutes() (routes map[string]*v1.RouteSpec, changed bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if !v.dirtyRoutes {
		return nil, false
	}
	v.dirtyRoutes = false
	return maps.Clone(v.routes), true
}

// Declaration returns what is known of the declared document; nil before one
// has come.
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

// RegisteredTargets lists what may get requests of routes: the replicas on
// machines that registered, and the machines of pools without engines. Machines
// that leave, and those in drained zones, are left out; those that are silent come last.
func (v *View) RegisteredTargets() []dispatch.Target {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	targets, _ := v.registeredTargets()
	return targets
}

// registeredTargets lists the RegisteredTargets and, apart, those that would be among them but for
// the drain of their zone; the mutex must be held.
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
			if target, is := v.replicaTarget(name, replica); is {
				add(target)
			}
		}
	}
	for name, machine := range v.machines {
		if target, is := v.machineTarget(name, machine); is {
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

// replicaTarget returns the target that a replica is; it is none while the replica or its
// machine takes no requests. Whether its zone is drained does not count here.
func (v *View) replicaTarget(name string, replica Replica) (dispatch.Target, bool) {
	machine, found := v.machines[replica.Spec.Machine]
	if !found || replica.Spec.Phase != v1.ReplicaReady || !machine.Status.Phase.IsInUse() {
		return dispatch.Target{}, false
	}
	target := v.targetOn(replica.Spec.Machine, machine)
	target.Replica, target.Version, target.Adapters = name, replica.Spec.Version, replica.Adapters
	return target, true
}

// machineTarget returns the target that a machine of a pool without engines is. Whether its zone
// is drained does not count here.
func (v *View) machineTarget(name string, machine Machine) (dispatch.Target, bool) {
	if machine.Spec.Pool == "" || machine.Spec.Accelerators > 0 || !machine.Status.Phase.IsInUse() {
		return dispatch.Target{}, false
	}
	target := v.targetOn(name, machine)
	target.Replica, target.Version, target.Fixed = name, PoolVersion(machine.Spec.Pool), true
	return target, true
}

// markTargets notes the targets that an object that has changed takes part in.
func (v *View) markTargets(key state.Key) {
	switch key.Kind {
	case v1.KindReplica:
		v.dirtyTargets[key.Name] = true
	case v1.KindMachine:
		v.markMachine(key.Name)
	case v1.KindZoneDrain:
		for name, machine := range v.machines {
			if machine.Spec.Zone == key.Name {
				v.markMachine(name)
			}
		}
	}
}

func (v *View) markMachine(name string) {
	v.dirtyTargets[name] = true
	for replica := range v.replicasOn[name] {
		v.dirtyTargets[replica] = true
	}
}

// TakeTargetChanges returns what has changed of RegisteredTargets since the last call, which
// must be the same caller's.
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
		target, is := v.targetNamed(name)
		switch {
		case !is:
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

func (v *View) targetNamed(name string) (dispatch.Target, bool) {
	if spec, isReplica := v.specs[state.Key{Kind: v1.KindReplica, Name: name}].(*v1.ReplicaSpec); isReplica {
		return v.replicaTarget(name, v.replicas[spec.Version][name])
	}
	if machine, isMachine := v.machines[name]; isMachine {
		return v.machineTarget(name, machine)
	}
	return dispatch.Target{}, false
}

// targetOn returns what a target has from its machine.
func (v *View) targetOn(name string, machine Machine) dispatch.Target {
	return dispatch.Target{
		Zone: machine.Spec.Zone, Region: v.position.Zones.Region(machine.Spec.Zone), Nearness: v.position.ProximityOf(machine.Spec.Zone),
		Machine: name, Endpoint: machine.Spec.Endpoint, MaxConcurrent: max(1, machine.Spec.Slots),
		Suspect: machine.Status.Phase == v1.MachineLost,
	}
}
