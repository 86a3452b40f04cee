package state

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/level"
	"github.com/weldline/weldline/internal/quarantine"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// MaxSuspects and MaxQuarantined bound the records of requests that were in flight on crashed
// machines and of their prompt parts: those that may still run, and those that may not. Both together take less than 1 MB on each
// node (BenchmarkSuspectMemory).
const (
	MaxSuspects    = 512
	MaxQuarantined = 512
)

// crashRecords collects the records that a crash changes.
type crashRecords struct {
	machine *Machine
	crashed string
	writes  []*wirepb.ObjectWrite
	written map[Key]*v1.SuspectSpec
}

// recordCrash adds a crash to the records of the requests that were in flight on a machine and of the parts of
// their prompts.
func (m *Machine) recordCrash(command *wirepb.RecordCrashCommand) *wirepb.CommandResult {
	records := crashRecords{machine: m, crashed: command.GetMachine(), written: map[Key]*v1.SuspectSpec{}}
	for position, request := range command.GetRequests() {
		identity, err := quarantine.IdentityFromBytes(request.GetIdentity())
		if err == nil {
			err = records.add(identity, "", request.GetRoute(), request.GetTenant())
		}
		if err != nil {
			return invalidRequest(position, err)
		}
	}
	for position, part := range command.GetParts() {
		if m.level < level.PromptParts || part.GetPart() == "" {
			continue
		}
		if err := records.add(quarantine.PartIdentity(part.GetPart()), part.GetPart(), part.GetRoute(), part.GetTenant()); err != nil {
			return invalidRequest(len(command.GetRequests())+position, err)
		}
	}
	result := m.applyWrites(append(records.writes, m.suspectEvictions(records.written)...))
	return &wirepb.CommandResult{Code: result.GetCode(), Message: result.GetMessage(), Write: result}
}

// add adds the crash to the record of a request, or of a prompt part if part is not empty.
func (r *crashRecords) add(identity quarantine.Identity, part, route, tenant string) error {
	key := Key{Kind: v1.KindSuspect, Name: identity.String()}
	existing, _ := r.machine.specs[key].(*v1.SuspectSpec)
	next, changed := quarantine.AddCrash(existing, part, r.crashed, time.UnixMilli(r.machine.clock).UTC())
	if !changed || r.written[key] != nil {
		return nil
	}
	next.Route, next.Tenant = route, tenant
	write, err := putSuspect(key, next)
	if err != nil {
		return err
	}
	r.writes, r.written[key] = append(r.writes, write), next
	return nil
}

// invalidRequest returns the result of a command with an invalid request identity.
func invalidRequest(position int, err error) *wirepb.CommandResult {
	failure := writeFailure(wirepb.ResultCode_RESULT_CODE_INVALID, fault.FieldOf(err), fault.Message(err))
	failure.FailedWrite = uint32(position)
	return &wirepb.CommandResult{Code: failure.GetCode(), Message: failure.GetMessage(), Write: failure}
}

func putSuspect(key Key, spec *v1.SuspectSpec) (*wirepb.ObjectWrite, error) {
	encoded, err := json.Marshal(spec)
	if err != nil {
		return nil, fault.Internal.Wrap(err, "encoding a suspect")
	}
	object := &wirepb.Object{Kind: string(key.Kind), Name: key.Name, Spec: encoded}
	return &wirepb.ObjectWrite{Operation: wirepb.ObjectWrite_OPERATION_PUT, Object: object}, nil
}

// suspectEvictions returns the deletions that keep the records within their bounds after the
// given ones are written.
func (m *Machine) suspectEvictions(written map[Key]*v1.SuspectSpec) []*wirepb.ObjectWrite {
	if len(m.suspects)+len(written) <= min(MaxSuspects, MaxQuarantined) {
		return nil
	}
	var suspects, quarantined suspectList
	for _, object := range m.suspectsByAge() {
		if spec, isSuspect := m.specs[KeyOf(object)].(*v1.SuspectSpec); isSuspect && written[KeyOf(object)] == nil {
			suspects.appendRecord(&quarantined, KeyOf(object), spec)
		}
	}
	for _, key := range keysByName(written) {
		suspects.appendRecord(&quarantined, key, written[key])
	}
	return append(suspects.evictions(MaxSuspects), quarantined.evictions(MaxQuarantined)...)
}

// suspectsByAge returns the records, oldest first.
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

// suspectList is a list of records, oldest first.
type suspectList struct {
	keys  []Key
	specs []*v1.SuspectSpec
}

// appendRecord appends a record to the list, or to quarantined if the record is quarantined.
func (l *suspectList) appendRecord(quarantined *suspectList, key Key, spec *v1.SuspectSpec) {
	list := l
	if spec.Quarantined {
		list = quarantined
	}
	list.keys, list.specs = append(list.keys, key), append(list.specs, spec)
}

// evictions returns the deletions that reduce the list to limit records.
func (l *suspectList) evictions(limit int) []*wirepb.ObjectWrite {
	var writes []*wirepb.ObjectWrite
	for _, position := range quarantine.Evictions(l.specs, limit) {
		writes = append(writes, deleteSuspect(l.keys[position]))
	}
	return writes
}

func deleteSuspect(key Key) *wirepb.ObjectWrite {
	return &wirepb.ObjectWrite{
		Operation: wirepb.ObjectWrite_OPERATION_DELETE, Object: &wirepb.Object{Kind: string(key.Kind), Name: key.Name},
	}
}

// clearSuspects deletes the records of requests that completed.
func (m *Machine) clearSuspects(command *wirepb.ClearSuspectsCommand) *wirepb.CommandResult {
	cleared := map[Key]*v1.SuspectSpec{}
	for position, encoded := range command.GetIdentities() {
		identity, err := quarantine.IdentityFromBytes(encoded)
		if err != nil {
			return invalidRequest(position, err)
		}
		key := Key{Kind: v1.KindSuspect, Name: identity.String()}
		if existing, found := m.specs[key].(*v1.SuspectSpec); found {
			cleared[key] = existing
		}
	}
	var writes []*wirepb.ObjectWrite
	for _, key := range keysByName(cleared) {
		writes = append(writes, deleteSuspect(key))
	}
	result := m.applyWrites(writes)
	return &wirepb.CommandResult{Code: result.GetCode(), Message: result.GetMessage(), Write: result}
}

// keysByName returns the keys in a deterministic order.
func keysByName(specs map[Key]*v1.SuspectSpec) []Key {
	keys := make([]Key, 0, len(specs))
	for key := range specs {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(left, right Key) int { return cmp.Compare(left.Name, right.Name) })
	return keys
}
