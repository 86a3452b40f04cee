package state

import (
	"encoding/json"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/level"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// LabelSource marks objects that were not written one by one: it names what
// they come from.
const (
	LabelSource        = "weldline/source"
	SourceDocument     = "document"
	SourceRegistration = "registration"
)

// DeclarationName is the name of the one Declaration object.
const DeclarationName = "current"

// Declaration returns the newest document that took effect; nil if none did.
func (m *Machine) Declaration() *wirepb.Declaration {
	return m.declaration
}

// declare replaces everything that an earlier document declared, at one
// revision, or changes nothing. A document that is not newer than the one held
// was overtaken: that is no failure, and its content never shows.
func (m *Machine) declare(command *wirepb.DeclareCommand) *wirepb.CommandResult {
	if m.declaration != nil && command.GetVersion() <= m.declaration.GetVersion() {
		return &wirepb.CommandResult{Message: "overtaken", Write: &wirepb.WriteResult{Revision: m.revision}}
	}
	if err := checkDeclaredRoutes(command.GetObjects()); err != nil {
		return &wirepb.CommandResult{
			Code: wirepb.ResultCode_RESULT_CODE_INVALID, Message: fault.Message(err),
			Write: failed(wirepb.ResultCode_RESULT_CODE_INVALID, fault.FieldOf(err), fault.Message(err)),
		}
	}
	result := m.applyWrites(m.declarationWrites(command.GetObjects()))
	if result.GetCode() == wirepb.ResultCode_RESULT_CODE_OK {
		m.declaration = &wirepb.Declaration{Version: command.GetVersion(), Document: command.GetDocument()}
	}
	return &wirepb.CommandResult{Code: result.GetCode(), Message: result.GetMessage(), Write: result}
}

// CheckDeclaration returns the error that a document's objects would meet.
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

// declarationWrites puts what is declared and deletes what no longer is.
// Objects that are as they were cost no revision, so watchers get differences
// only.
func (m *Machine) declarationWrites(objects []*wirepb.Object) []*wirepb.ObjectWrite {
	declared := make(map[Key]bool, len(objects))
	writes := make([]*wirepb.ObjectWrite, 0, len(objects))
	for _, object := range objects {
		declared[KeyOf(object)] = true
		put := copyOf(object)
		put.Labels = map[string]string{LabelSource: SourceDocument}
		writes = append(writes, &wirepb.ObjectWrite{Operation: wirepb.ObjectWrite_OPERATION_PUT, Object: put})
	}
	for _, held := range m.List("") {
		if held.GetLabels()[LabelSource] != SourceDocument || declared[KeyOf(held)] {
			continue
		}
		gone := &wirepb.Object{Kind: held.GetKind(), Name: held.GetName()}
		writes = append(writes, &wirepb.ObjectWrite{Operation: wirepb.ObjectWrite_OPERATION_DELETE, Object: gone})
	}
	return writes
}

// register records what a machine said of itself. Its phase never goes back:
// a report that comes late must not bring back a machine that is leaving.
func (m *Machine) register(command *wirepb.RegisterCommand) *wirepb.CommandResult {
	write := m.registerWrite(command)
	if write == nil {
		return &wirepb.CommandResult{Write: &wirepb.WriteResult{Revision: m.revision}}
	}
	result := m.applyWrites([]*wirepb.ObjectWrite{write})
	return &wirepb.CommandResult{Code: result.GetCode(), Message: result.GetMessage(), Write: result}
}

func (m *Machine) registerWrite(command *wirepb.RegisterCommand) *wirepb.ObjectWrite {
	held := m.Get(v1.KindMachine, command.GetMachine())
	object := &wirepb.Object{Kind: string(v1.KindMachine), Name: command.GetMachine()}
	phase := v1.MachinePhase(command.GetPhase())
	if command.GetForget() {
		if held == nil || statusOf(held).Phase != v1.MachineGone {
			return nil
		}
		return &wirepb.ObjectWrite{Operation: wirepb.ObjectWrite_OPERATION_DELETE, Object: object}
	}
	if held == nil && len(command.GetSpec()) == 0 {
		return nil // Nobody routes to a machine that never registered.
	}
	status := v1.MachineStatus{Phase: phase, Incarnation: RegisteredIncarnation, Reason: command.GetReason()}
	if held != nil {
		if statusOf(held).Phase.Rank() > phase.Rank() {
			return nil
		}
		spec, added := m.withStart(held, command)
		if statusOf(held).Phase == phase && !added {
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

// withStart returns the spec of a record and, where it does not tell when its machine started and a
// command does, that besides.
func (m *Machine) withStart(held *wirepb.Object, command *wirepb.RegisterCommand) (spec []byte, added bool) {
	known, isMachine := m.Spec(v1.KindMachine, held.GetName()).(*v1.MachineSpec)
	if m.level < level.MachineStarts || !isMachine || known.StartedMs != 0 || len(command.GetSpec()) == 0 {
		return held.GetSpec(), false
	}
	decoded, err := v1.DecodeSpec(v1.KindMachine, command.GetSpec())
	told, isMachine := decoded.(*v1.MachineSpec)
	if err != nil || !isMachine || told.StartedMs == 0 {
		return held.GetSpec(), false // The command is from before records told of starts.
	}
	combined := *known
	combined.StartedMs = told.StartedMs
	encoded, err := json.Marshal(combined)
	if err != nil {
		return held.GetSpec(), false // A struct of texts and numbers can always be encoded.
	}
	return encoded, true
}

// RegisteredIncarnation is the incarnation of every registered machine: one
// that restarts registers under a new name.
const RegisteredIncarnation = 1
