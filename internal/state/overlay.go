package state

import (
	"maps"
	"slices"
	"strconv"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// overlay stages the writes of one command over the present state, so that
// each sees the ones before it and none is visible if one fails.
type overlay struct {
	machine *Machine
	staged  map[Key]*stagedObject
	order   []Key
}

// stagedObject is the outcome of the writes to one key; a nil object stands
// for a deletion.
type stagedObject struct {
	object *wirepb.Object
	spec   v1.Spec
}

func newOverlay(machine *Machine) *overlay {
	return &overlay{machine: machine, staged: map[Key]*stagedObject{}}
}

func (o *overlay) current(key Key) (*wirepb.Object, v1.Spec) {
	if staged, found := o.staged[key]; found {
		return staged.object, staged.spec
	}
	return o.machine.objects[key], o.machine.specs[key]
}

func (o *overlay) set(key Key, object *wirepb.Object, spec v1.Spec) {
	if _, found := o.staged[key]; !found {
		o.order = append(o.order, key)
	}
	o.staged[key] = &stagedObject{object: object, spec: spec}
}

func failed(code wirepb.ResultCode, field, message string) *wirepb.WriteResult {
	return &wirepb.WriteResult{Code: code, Field: field, Message: message}
}

func (o *overlay) stage(write *wirepb.ObjectWrite) *wirepb.WriteResult {
	key := KeyOf(write.GetObject())
	current, currentSpec := o.current(key)
	if write.ExpectedRevision != nil && write.GetExpectedRevision() != current.GetRevision() {
		failure := failed(wirepb.ResultCode_RESULT_CODE_CONFLICT, "metadata.resourceVersion",
			string(key.Kind)+" "+key.Name+" has another version")
		failure.CurrentRevision = current.GetRevision()
		return failure
	}
	switch write.GetOperation() {
	case wirepb.ObjectWrite_OPERATION_DELETE:
		return o.stageDelete(key, current)
	case wirepb.ObjectWrite_OPERATION_PUT_STATUS:
		return o.stageStatus(key, current, currentSpec, write.GetObject())
	}
	return o.stagePut(key, current, currentSpec, write.GetObject())
}

func (o *overlay) stageDelete(key Key, current *wirepb.Object) *wirepb.WriteResult {
	if current == nil {
		return failed(wirepb.ResultCode_RESULT_CODE_NOT_FOUND, "metadata.name", string(key.Kind)+" "+key.Name+" does not exist")
	}
	o.set(key, nil, nil)
	return nil
}

func (o *overlay) stageStatus(key Key, current *wirepb.Object, spec v1.Spec, next *wirepb.Object) *wirepb.WriteResult {
	if current == nil {
		return failed(wirepb.ResultCode_RESULT_CODE_NOT_FOUND, "metadata.name", string(key.Kind)+" "+key.Name+" does not exist")
	}
	updated := copyOf(current)
	updated.Status = next.GetStatus()
	o.set(key, updated, spec)
	return nil
}

func (o *overlay) stagePut(key Key, current *wirepb.Object, currentSpec v1.Spec, next *wirepb.Object) *wirepb.WriteResult {
	updated := copyOf(next)
	updated.CreateRevision = current.GetCreateRevision()
	updated.Generation = current.GetGeneration()
	if len(next.GetStatus()) == 0 {
		updated.Status = current.GetStatus()
	}
	// What is stored has been decoded and checked before.
	if current != nil && sameSpec(current, next) {
		if maps.Equal(current.GetLabels(), next.GetLabels()) && len(next.GetStatus()) == 0 {
			return nil // Nothing changes; no revision is spent.
		}
		o.set(key, updated, currentSpec)
		return nil
	}
	spec, err := v1.DecodeSpec(key.Kind, next.GetSpec())
	if err != nil {
		return failed(wirepb.ResultCode_RESULT_CODE_INVALID, fault.FieldOf(err), fault.Message(err))
	}
	if current == nil {
		updated.Generation = 1
		o.set(key, updated, spec)
		return nil
	}
	if key.Kind == v1.KindModelVersion {
		failure := failed(wirepb.ResultCode_RESULT_CODE_CONFLICT, "spec",
			"ModelVersion "+key.Name+" is declared with different content; declare a new version")
		failure.CurrentRevision = current.GetRevision()
		return failure
	}
	updated.Generation++
	o.set(key, updated, spec)
	return nil
}

func copyOf(object *wirepb.Object) *wirepb.Object {
	return &wirepb.Object{
		Kind: object.GetKind(), Name: object.GetName(), Revision: object.GetRevision(),
		CreateRevision: object.GetCreateRevision(), Generation: object.GetGeneration(),
		Spec: object.GetSpec(), Status: object.GetStatus(), Labels: object.GetLabels(),
	}
}

// identityOf leaves out the contents: results are remembered for resent
// requests, and the whole objects would make that record large.
func identityOf(object *wirepb.Object) *wirepb.Object {
	return &wirepb.Object{
		Kind: object.GetKind(), Name: object.GetName(), Revision: object.GetRevision(),
		CreateRevision: object.GetCreateRevision(), Generation: object.GetGeneration(),
	}
}

// checkReferences checks that staged objects refer to existing ones and that
// nothing refers to deleted ones.
func (o *overlay) checkReferences() *wirepb.WriteResult {
	referred := false
	for _, key := range o.order {
		staged := o.staged[key]
		if staged.object == nil {
			referred = referred || key.Kind.IsReferenceable()
			continue
		}
		if failure := o.checkReferencesOf(key, staged.spec); failure != nil {
			return failure
		}
	}
	if !referred {
		return nil // Machines and replicas go all the time; all that there is would be looked at.
	}
	return o.checkNothingDangles()
}

func (o *overlay) checkReferencesOf(key Key, spec v1.Spec) *wirepb.WriteResult {
	for _, reference := range spec.References() {
		target, _ := o.current(Key{reference.Kind, reference.Name})
		if target == nil && !reference.Optional {
			return failed(wirepb.ResultCode_RESULT_CODE_INVALID, reference.Field,
				string(key.Kind)+" "+key.Name+" refers to "+string(reference.Kind)+" "+reference.Name+", which does not exist")
		}
	}
	return nil
}

func (o *overlay) checkNothingDangles() *wirepb.WriteResult {
	for key, spec := range o.machine.specs {
		o.machine.examined++
		if _, staged := o.staged[key]; staged {
			continue
		}
		for _, reference := range spec.References() {
			target, staged := o.staged[Key{reference.Kind, reference.Name}]
			if staged && target.object == nil {
				return failed(wirepb.ResultCode_RESULT_CODE_IN_USE, "metadata.name",
					string(reference.Kind)+" "+reference.Name+" is in use by "+string(key.Kind)+" "+key.Name)
			}
		}
	}
	return nil
}

// checkTenants checks that no two tenants share a key, where a write changes one.
func (o *overlay) checkTenants() *wirepb.WriteResult {
	if !slices.ContainsFunc(o.order, func(key Key) bool { return key.Kind == v1.KindTenant }) {
		return nil
	}
	tenants := map[string]*v1.TenantSpec{}
	for key, spec := range o.machine.specs {
		if tenant, isTenant := spec.(*v1.TenantSpec); isTenant {
			tenants[key.Name] = tenant
		}
	}
	for key, staged := range o.staged {
		if tenant, isTenant := staged.spec.(*v1.TenantSpec); isTenant {
			tenants[key.Name] = tenant
		} else if key.Kind == v1.KindTenant {
			delete(tenants, key.Name)
		}
	}
	shared := v1.FindSharedKey(tenants)
	if shared == nil {
		return nil
	}
	return failed(wirepb.ResultCode_RESULT_CODE_INVALID, "spec.keyHashes["+strconv.Itoa(shared.Position)+"]",
		"Tenant "+shared.Second+" has a key of Tenant "+shared.First)
}

func (o *overlay) commit() *wirepb.WriteResult {
	result := &wirepb.WriteResult{Revision: o.machine.revision}
	if len(o.order) == 0 {
		return result
	}
	o.machine.revision++
	result.Revision = o.machine.revision
	for _, key := range o.order {
		staged := o.staged[key]
		if staged.object == nil {
			o.machine.remove(key)
			continue
		}
		staged.object.Revision = o.machine.revision
		if staged.object.CreateRevision == 0 {
			staged.object.CreateRevision = o.machine.revision
		}
		o.machine.put(staged.object, staged.spec)
		result.Objects = append(result.Objects, identityOf(staged.object))
	}
	return result
}
