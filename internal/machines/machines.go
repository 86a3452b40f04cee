// Package machines reconciles the Machine resources with the platform's machine list and the agents'
// reports.
//
// Both sources may be out of date, so neither alone shows that a machine is gone. A machine is Leaving
// as soon as the list or the operator requests it, and Lost while no agent reaches its engine. Its record
// is deleted only when it is off the list and unreachable, since nothing can use its memory any longer.
package machines

import (
	"encoding/json"
	"sort"
	"time"

	"github.com/weldline/weldline/api/platform"
	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// Label of the Machine resources created from the platform's list.
const (
	LabelSource    = "weldline/source"
	SourcePlatform = "platform"
)

// Observation is the state of a machine as seen by agents.
type Observation struct {
	// Reported is set once an agent has reported on the machine.
	Reported bool
	// Incarnation is the last reported incarnation of the engine.
	Incarnation uint64
	// SilentFor is the time since an agent last reached the engine.
	SilentFor time.Duration
}

// Declared is a stored Machine resource, with its decoded spec and status.
type Declared struct {
	Object *wirepb.Object
	Spec   *v1.MachineSpec
	Status v1.MachineStatus
}

// Input has all that Reconcile depends on.
type Input struct {
	// List is nil before it was first read.
	List     *platform.MachineList
	Declared map[string]Declared
	Observed map[string]Observation
	Timeout  time.Duration
}

// Reconcile returns the writes that reconcile the resources, sorted by name.
func Reconcile(input Input) []*wirepb.ObjectWrite {
	listed := map[string]platform.Machine{}
	if input.List != nil {
		for _, machine := range input.List.Machines {
			listed[machine.Name] = machine
		}
	}
	var writes []*wirepb.ObjectWrite
	for name, entry := range listed {
		if write := adopt(name, entry, input.Declared); write != nil {
			writes = append(writes, write)
		}
	}
	for name, declared := range input.Declared {
		entry, isListed := listed[name]
		fromList := declared.Object.GetLabels()[LabelSource] == SourcePlatform
		delisted := fromList && !isListed && input.List != nil
		status := nextStatus(declared, entry, delisted, input.Observed[name], input.Timeout)
		if write := statusWrite(declared, status); write != nil {
			writes = append(writes, write)
		}
	}
	sort.Slice(writes, func(i, j int) bool { return writes[i].GetObject().GetName() < writes[j].GetObject().GetName() })
	return writes
}

// adopt returns the write that declares a machine from the list, or updates the endpoint of a machine
// declared from the list. It returns nil if there is nothing to do.
func adopt(name string, entry platform.Machine, declared map[string]Declared) *wirepb.ObjectWrite {
	spec := &v1.MachineSpec{
		Endpoint: entry.Endpoint, Zone: entry.Zone,
		Accelerators: entry.Accelerators, AcceleratorBytes: entry.AcceleratorBytes,
	}
	stored, exists := declared[name]
	if exists {
		fromList := stored.Object.GetLabels()[LabelSource] == SourcePlatform
		if !fromList || stored.Spec.Endpoint == entry.Endpoint {
			return nil
		}
		spec.Drain = stored.Spec.Drain
	}
	encoded, err := json.Marshal(spec)
	if err != nil {
		return nil
	}
	if _, err := v1.DecodeSpec(v1.KindMachine, encoded); err != nil {
		return nil // Invalid entry of the platform's list.
	}
	expected := stored.Object.GetRevision()
	return &wirepb.ObjectWrite{
		Operation: wirepb.ObjectWrite_OPERATION_PUT, ExpectedRevision: &expected,
		Object: &wirepb.Object{
			Kind: string(v1.KindMachine), Name: name, Spec: encoded,
			Labels: map[string]string{LabelSource: SourcePlatform},
		},
	}
}

func nextStatus(declared Declared, entry platform.Machine, delisted bool, observed Observation, timeout time.Duration) v1.MachineStatus {
	status := declared.Status
	status.Reason = ""
	silent := !observed.Reported || observed.SilentFor > timeout
	if !silent {
		status.Incarnation = observed.Incarnation
	}
	switch {
	case delisted && silent:
		status.Phase, status.Reason = v1.MachineGone, "off the machine list and unreachable"
	case status.Incarnation == 0:
		status.Phase, status.Reason = v1.MachineLost, "not reached yet"
	case silent && observed.Reported:
		status.Phase, status.Reason = v1.MachineLost, "its engine can't be reached"
	case silent:
		// A new leader has no report yet, so the phase is left as it is.
		status.Reason = declared.Status.Reason
	case declared.Spec.Drain:
		status.Phase, status.Reason = v1.MachineLeaving, "drained by an operator"
	case delisted || entry.State == platform.MachineLeaving:
		status.Phase, status.Reason = v1.MachineLeaving, "leaving, by the machine list"
	default:
		status.Phase = v1.MachineLive
	}
	return status
}

func statusWrite(declared Declared, status v1.MachineStatus) *wirepb.ObjectWrite {
	revision := declared.Object.GetRevision()
	object := &wirepb.Object{Kind: string(v1.KindMachine), Name: declared.Object.GetName()}
	if status.Phase == v1.MachineGone {
		return &wirepb.ObjectWrite{Operation: wirepb.ObjectWrite_OPERATION_DELETE, Object: object, ExpectedRevision: &revision}
	}
	if status == declared.Status {
		return nil
	}
	encoded, err := json.Marshal(status)
	if err != nil {
		return nil
	}
	object.Status = encoded
	return &wirepb.ObjectWrite{Operation: wirepb.ObjectWrite_OPERATION_PUT_STATUS, Object: object, ExpectedRevision: &revision}
}
