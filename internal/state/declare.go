package state

import (
	"encoding/json"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/level"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// LabelSource is the label of objects that were not written individually; its value names
// their source.
const (
	LabelSource        = "weldline/source"
	SourceDocument     = "document"
	SourceRegistration = "registration"
)

// DeclarationName is the name of the only Declaration object.
const DeclarationName = "current"

// Declaration returns the document in effect, or nil.
func (m *Machine) Declaration() *wirepb.Declaration {
	return m.declaration
}

// declare atomically replaces all objects of the previous document. A document whose version
// is not higher than the current one succeeds without effect.
func (m *Machine) declare(command *wirepb.DeclareCommand) *wirepb.CommandResult {
	if m.declaration != nil && command.GetVersion() <= m.declaration.GetVersion() {
		return &wirepb.CommandResult{Message: "overtaken", Write: &wirepb.WriteResult{Revision: m.revision}}
	}
	if err := checkDeclaredRoutes(command.GetObjects()); err != nil {
		return &wirepb.CommandResult{
			Code: wirepb.ResultCode_RESULT_CODE_INVALID, Message: fault.Message(err),
			Write: writeFailure(wirepb.ResultCode_RESULT_CODE_INVALID, fault.FieldOf(err), fault.Message(err)),
		}
	}
	result := m.applyWrites(m.declarationWrites(command.GetObjects()))
	if result.GetCode() == wirepb.ResultCode_RESULT_CODE_OK {
		m.declaration = &wirepb.Declaration{Version: command.GetVersion(), Document: command.GetDocument()}
	}
	return &wirepb.CommandResult{Code: result.GetCode(), Message: result.GetMessage(), Write: result}
}

// CheckDeclaration validates the objects of a document independently of the current state.
func CheckDeclaration(objects []*wirepb.Object) error {
	if err := checkDeclaredRoutes(objects); err != nil {
		return err
	}
	scratch := New()
	result := scratch.applyWrites(scratch.declarationWrites(objects))
	if result.GetCode() == wirepb.ResultCode_RESULT_CODE_OK {
		return nil
	}
	return fault.InvalidField(result.GetField(), "%s", result.GetMessage())
}

func checkDeclaredRoutes(objects []*wirepb.Object) error {
	routes := map[string]*v1.RouteSpec{}
	for _, object := range objects {
		if v1.Kind(object.GetKind()) != v1.KindRoute {
			continue
		}
		if routes[object.GetName()] != nil {
			return fault.InvalidField("routes", "two routes are named %s", object.GetName())
		}
		spec, err := v1.DecodeSpec(v1.KindRoute, object.GetSpec())
		if err != nil {
			return err
		}
		route, isRoute := spec.(*v1.RouteSpec)
		if isRoute {
			routes[object.GetName()] = route
		}
	}
	return v1.ValidateRoutes(routes)
}

// declarationWrites puts the declared objects and deletes those that the document no longer
// declares. Unchanged objects get no new revision, so watchers receive only differences.
func (m *Machine) declarationWrites(objects []*wirepb.Object) []*wirepb.ObjectWrite {
	declared := make(map[Key]bool, len(objects))
	writes := make([]*wirepb.ObjectWrite, 0, len(objects))
	for _, object := range objects {
		declared[KeyOf(object)] = true
		put := shallowCopy(object)
		put.Labels = map[string]string{LabelSource: SourceDocument}
		writes = append(writes, &wirepb.ObjectWrite{Operation: wirepb.ObjectWrite_OPERATION_PUT, Object: put})
	}
	for _, existing := range m.List("") {
		if existing.GetLabels()[LabelSource] != SourceDocument || declared[KeyOf(existing)] {
			continue
		}
		object := &wirepb.Object{Kind: existing.GetKind(), Name: existing.GetName()}
		writes = append(writes, &wirepb.ObjectWrite{Operation: wirepb.ObjectWrite_OPERATION_DELETE, Object: object})
	}
	return writes
}

// register applies a machine's registration. The phase only advances, so that a delayed
// registration does not revive a machine that is leaving.
func (m *Machine) register(command *wirepb.RegisterCommand) *wirepb.CommandResult {
	write := m.registerWrite(command)
	if write == nil {
		return &wirepb.CommandResult{Write: &wirepb.WriteResult{Revision: m.revision}}
	}
	result := m.applyWrites([]*wirepb.ObjectWrite{write})
	return &wirepb.CommandResult{Code: result.GetCode(), Message: result.GetMessage(), Write: result}
}

func (m *Machine) registerWrite(command *wirepb.RegisterCommand) *wirepb.ObjectWrite {
	existing := m.Get(v1.KindMachine, command.GetMachine())
	object := &wirepb.Object{Kind: string(v1.KindMachine), Name: command.GetMachine()}
	phase := v1.MachinePhase(command.GetPhase())
	if command.GetForget() {
		if existing == nil || statusOf(existing).Phase != v1.MachineGone {
			return nil
		}
		return &wirepb.ObjectWrite{Operation: wirepb.ObjectWrite_OPERATION_DELETE, Object: object}
	}
	if existing == nil && len(command.GetSpec()) == 0 {
		return nil // A machine that never registered has no record to update.
	}
	status := v1.MachineStatus{Phase: phase, Incarnation: RegisteredIncarnation, Reason: command.GetReason()}
	if existing != nil {
		if statusOf(existing).Phase.Rank() > phase.Rank() {
			return nil
		}
		spec, added := m.completedSpec(existing, command)
		if statusOf(existing).Phase == phase && !added {
			return nil
		}
		object.Spec = spec
	} else {
		object.Spec = command.GetSpec()
	}
	encoded, err := json.Marshal(status)
	if err != nil {
		return nil
	}
	object.Status = encoded
	object.Labels = map[string]string{LabelSource: SourceRegistration}
	return &wirepb.ObjectWrite{Operation: wirepb.ObjectWrite_OPERATION_PUT, Object: object}
}

// completedSpec returns the spec of a record, with the start time and the software of the command added
// if the record has none.
func (m *Machine) completedSpec(existing *wirepb.Object, command *wirepb.RegisterCommand) (spec []byte, added bool) {
	stored, isMachine := m.Spec(v1.KindMachine, existing.GetName()).(*v1.MachineSpec)
	if m.level < level.MachineStarts || !isMachine || len(command.GetSpec()) == 0 {
		return existing.GetSpec(), false
	}
	decoded, err := v1.DecodeSpec(v1.KindMachine, command.GetSpec())
	reported, isMachine := decoded.(*v1.MachineSpec)
	if err != nil || !isMachine {
		return existing.GetSpec(), false
	}
	combined := *stored
	if combined.StartedMs == 0 {
		combined.StartedMs = reported.StartedMs
	}
	if m.level >= level.MachineSoftware && combined.Software == "" {
		combined.Software = reported.Software
	}
	if combined == *stored {
		return existing.GetSpec(), false
	}
	encoded, err := json.Marshal(combined)
	if err != nil {
		return existing.GetSpec(), false // Unreachable: a MachineSpec always encodes.
	}
	return encoded, true
}

// RegisteredIncarnation is the incarnation of every registered machine: a machine
// that restarts registers under a new name.
const RegisteredIncarnation = 1
