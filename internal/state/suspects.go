package state

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/quarantine"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// MaxSuspects and MaxQuarantined bound the requests that are remembered because machines
// ended under them: those that may still run, and those that may not. Both together take
// less than 1 MB on each node (BenchmarkSuspectMemory).
const (
	MaxSuspects    = 512
	MaxQuarantined = 512
)

// recordCrash adds a crash to the records of the requests that were at a machine.
func (m *Machine) recordCrash(command *wirepb.RecordCrashCommand) *wirepb.CommandResult {
	var writes []*wirepb.ObjectWrite
	written := map[Key]*v1.SuspectSpec{}
	for position, request := range command.GetRequests() {
		identity, err := quarantine.IdentityFromBytes(request.GetIdentity())
		if err != nil {
			return refusedWrite(position, err)
		}
		key := Key{Kind: v1.KindSuspect, Name: identity.String()}
		held, _ := m.specs[key].(*v1.SuspectSpec)
		next, isNews := quarantine.AddCrash(held, command.GetMachine(), time.UnixMilli(m.clock).UTC())
		if !isNews || written[key] != nil {
			continue
		}
		next.Route, next.Tenant = request.GetRoute(), request.GetTenant()
		write, err := putSuspect(key, next)
		if err != nil {
			return refusedWrite(position, err)
		}
		writes = append(writes, write)
		written[key] = next
	}
	result := m.applyWrites(append(writes, m.suspectsGivenUp(written)...))
	return &wirepb.CommandResult{Code: result.GetCode(), Message: result.GetMessage(), Write: result}
}

// refusedWrite is the result of a command of which one request can't be recorded.
func refusedWrite(position int, err error) *wirepb.CommandResult {
	refused := failed(wirepb.ResultCode_RESULT_CODE_INVALID, fault.FieldOf(err), fault.Message(err))
	refused.FailedWrite = uint32(position)
	return &wirepb.CommandResult{Code: refused.GetCode(), Message: refused.GetMessage(), Write: refused}
}

func putSuspect(key Key, spec *v1.SuspectSpec) (*wirepb.ObjectWrite, error) {
	encoded, err := json.Marshal(spec)
	if err != nil {
		return nil, fault.Internal.Wrap(err, "encoding a suspect")
	}
	object := &wirepb.Object{Kind: string(key.Kind), Name: key.Name, Spec: encoded}
	return &wirepb.ObjectWrite{Operation: wirepb.ObjectWrite_OPERATION_PUT, Object: object}, nil
}

// suspectsGivenUp returns the deletions that keep the records within their bounds once the
// given ones are written.
func (m *Machine) suspectsGivenUp(written map[Key]*v1.SuspectSpec) []*wirepb.ObjectWrite {
	if len(m.suspects)+len(written) <= min(MaxSuspects, MaxQuarantined) {
		return nil
	}
	var suspects, quarantined suspectList
	for _, object := range m.suspectsByAge() {
		if spec, isSuspect := m.specs[KeyOf(object)].(*v1.SuspectSpec); isSuspect && written[KeyOf(object)] == nil {
			suspects.addTo(&quarantined, KeyOf(object), spec)
		}
	}
	for _, key := range sortedKeys(written) {
		suspects.addTo(&quarantined, key, written[key])
	}
	return append(suspects.deletions(MaxSuspects), quarantined.deletions(MaxQuarantined)...)
}

// suspectsByAge returns the records, the one that was written first at the front.
func (m *Machine) suspectsByAge() []*wirepb.Object {
	objects := make([]*wirepb.Object, 0, len(m.suspects))
	for name := range m.suspects {
		objects = append(objects, m.Get(v1.KindSuspect, name))
	}
	slices.SortFunc(objects, func(left, right *wirepb.Object) int {
		return cmp.Or(cmp.Compare(left.GetRevision(), right.GetRevision()), cmp.Compare(left.GetName(), right.GetName()))
	})
	return objects
}

// suspectList is a list of records, the oldest first.
type suspectList struct {
	keys  []Key
	specs []*v1.SuspectSpec
}

// addTo adds a record to the list, or to the other one if it is quarantined.
func (l *suspectList) addTo(quarantined *suspectList, key Key, spec *v1.SuspectSpec) {
	list := l
	if spec.Quarantined {
		list = quarantined
	}
	list.keys, list.specs = append(list.keys, key), append(list.specs, spec)
}

// deletions drops what is beyond so many records.
func (l *suspectList) deletions(most int) []*wirepb.ObjectWrite {
	var writes []*wirepb.ObjectWrite
	for _, position := range quarantine.Evictions(l.specs, most) {
		writes = append(writes, deleteSuspect(l.keys[position]))
	}
	return writes
}

func deleteSuspect(key Key) *wirepb.ObjectWrite {
	return &wirepb.ObjectWrite{
		Operation: wirepb.ObjectWrite_OPERATION_DELETE, Object: &wirepb.Object{Kind: string(key.Kind), Name: key.Name},
	}
}

// clearSuspects drops the records of requests that a machine has run to the end.
func (m *Machine) clearSuspects(command *wirepb.ClearSuspectsCommand) *wirepb.CommandResult {
	cleared := map[Key]*v1.SuspectSpec{}
	for position, encoded := range command.GetIdentities() {
		identity, err := quarantine.IdentityFromBytes(encoded)
		if err != nil {
			return refusedWrite(position, err)
		}
		key := Key{Kind: v1.KindSuspect, Name: identity.String()}
		if held, isHeld := m.specs[key].(*v1.SuspectSpec); isHeld {
			cleared[key] = held
		}
	}
	var writes []*wirepb.ObjectWrite
	for _, key := range sortedKeys(cleared) {
		writes = append(writes, deleteSuspect(key))
	}
	result := m.applyWrites(writes)
	return &wirepb.CommandResult{Code: result.GetCode(), Message: result.GetMessage(), Write: result}
}

// sortedKeys makes what follows the same on every node.
func sortedKeys(specs map[Key]*v1.SuspectSpec) []Key {
	keys := make([]Key, 0, len(specs))
	for key := range specs {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(left, right Key) int { return cmp.Compare(left.Name, right.Name) })
	return keys
}
