package state

import (
	"strconv"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// replicaIndex maps an owner's name to a set of replica names.
type replicaIndex map[string]map[string]struct{}

func (i replicaIndex) add(owner, replica string) {
	if i[owner] == nil {
		i[owner] = map[string]struct{}{}
	}
	i[owner][replica] = struct{}{}
}

func (i replicaIndex) remove(owner, replica string) {
	delete(i[owner], replica)
	if len(i[owner]) == 0 {
		delete(i, owner)
	}
}

// checkReservations rejects new replicas that would overcommit a machine's memory, exceed the
// model's replica limit, or run on a machine that is leaving.
//
// Placement checks the same before it proposes, but against state that may be stale. The check
// here follows the order of the log.
func (o *overlay) checkReservations() *wirepb.WriteResult {
	for _, key := range o.order {
		staged := o.staged[key]
		replica, isReplica := staged.spec.(*v1.ReplicaSpec)
		if staged.object == nil || !isReplica || o.machine.objects[key] != nil {
			continue
		}
		if replica.Adopted {
			continue // The machine already runs it.
		}
		if failure := o.checkNewReplica(key, replica); failure != nil {
			return failure
		}
	}
	return nil
}

func (o *overlay) checkNewReplica(key Key, replica *v1.ReplicaSpec) *wirepb.WriteResult {
	object, spec := o.current(Key{v1.KindMachine, replica.Machine})
	machine, isMachine := spec.(*v1.MachineSpec)
	if object == nil || !isMachine {
		return writeFailure(wirepb.ResultCode_RESULT_CODE_INVALID, "spec.machine", "machine "+replica.Machine+" does not exist")
	}
	if statusOf(object).Phase != v1.MachineLive || machine.Drain {
		return writeFailure(wirepb.ResultCode_RESULT_CODE_UNAVAILABLE, "spec.machine", "machine "+replica.Machine+" gets no new work")
	}
	if failure := o.checkMemory(replica, machine); failure != nil {
		return failure
	}
	return o.checkReplicaCount(key, replica)
}

func statusOf(object *wirepb.Object) v1.MachineStatus {
	return v1.DecodeMachineStatus(object.GetStatus())
}

// checkMemory sums the reservations on the machine, including the new one.
func (o *overlay) checkMemory(replica *v1.ReplicaSpec, machine *v1.MachineSpec) *wirepb.WriteResult {
	reserved := make([]int64, machine.Accelerators)
	for _, other := range o.replicas(replica.Machine, o.machine.replicasOn, machineOf) {
		for _, accelerator := range other.Accelerators {
			if accelerator < 0 || accelerator >= machine.Accelerators {
				return writeFailure(wirepb.ResultCode_RESULT_CODE_INVALID, "spec.accelerators",
					"accelerator "+strconv.Itoa(accelerator)+" does not exist on machine "+replica.Machine)
			}
			reserved[accelerator] += other.BytesPerAccelerator
		}
	}
	for accelerator, bytes := range reserved {
		if bytes > machine.AcceleratorBytes {
			return writeFailure(wirepb.ResultCode_RESULT_CODE_UNAVAILABLE, "spec.bytesPerAccelerator",
				"accelerator "+strconv.Itoa(accelerator)+" of machine "+replica.Machine+" has no memory left")
		}
	}
	return nil
}

// checkReplicaCount counts the model's replicas that are loading or ready.
func (o *overlay) checkReplicaCount(key Key, replica *v1.ReplicaSpec) *wirepb.WriteResult {
	_, spec := o.current(Key{v1.KindModel, replica.Model})
	model, isModel := spec.(*v1.ModelSpec)
	if !isModel {
		return writeFailure(wirepb.ResultCode_RESULT_CODE_INVALID, "spec.model", "model "+replica.Model+" does not exist")
	}
	count := 0
	for _, other := range o.replicas(replica.Model, o.machine.replicasOf, modelOf) {
		if other.Phase == v1.ReplicaLoading || other.Phase == v1.ReplicaReady {
			count++
		}
	}
	if count > model.MaxReplicas {
		return writeFailure(wirepb.ResultCode_RESULT_CODE_UNAVAILABLE, "spec.model",
			"model "+replica.Model+" has all its "+strconv.Itoa(model.MaxReplicas)+" replicas; "+key.Name+" is one too many")
	}
	return nil
}

func machineOf(replica *v1.ReplicaSpec) string { return replica.Machine }

func modelOf(replica *v1.ReplicaSpec) string { return replica.Model }

// replicas returns an owner's replicas with the staged writes applied.
func (o *overlay) replicas(owner string, stored replicaIndex, ownerOf func(*v1.ReplicaSpec) string) []*v1.ReplicaSpec {
	var found []*v1.ReplicaSpec
	for name := range stored[owner] {
		key := Key{v1.KindReplica, name}
		if _, staged := o.staged[key]; staged {
			continue
		}
		if replica, isReplica := o.machine.specs[key].(*v1.ReplicaSpec); isReplica {
			found = append(found, replica)
		}
	}
	for key, staged := range o.staged {
		replica, isReplica := staged.spec.(*v1.ReplicaSpec)
		if key.Kind == v1.KindReplica && isReplica && ownerOf(replica) == owner {
			found = append(found, replica)
		}
	}
	return found
}
