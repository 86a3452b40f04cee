package state

import (
	"bytes"
	"sort"

	"google.golang.org/protobuf/proto"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/level"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// MaxRequestRecords bounds the stored results of requests that carry a request id.
	MaxRequestRecords = 4096
	// MaxEventsKept bounds the events kept for watchers. A watcher that is
	// further behind has to list again.
	MaxEventsKept = 16384
)

// Key identifies an object.
type Key struct {
	Kind v1.Kind
	Name string
}

// KeyOf returns the key of an object, whose kind need not be known to this build.
func KeyOf(object *wirepb.Object) Key {
	return Key{Kind: v1.Kind(object.GetKind()), Name: object.GetName()}
}

// Machine is the replicated state. It is not safe for concurrent use.
// Callers must not modify the objects that it returns.
type Machine struct {
	revision uint64
	clock    int64
	objects  map[Key]*wirepb.Object
	specs    map[Key]v1.Spec
	// statuses holds the decoded status of each Machine object.
	statuses map[string]v1.MachineStatus
	// replicasOn and replicasOf index the replicas by machine and by model.
	replicasOn replicaIndex
	replicasOf replicaIndex
	// suspects holds the names of the Suspect objects.
	suspects map[string]bool
	claims   claimTable
	requests requestTable
	// holders maps a machine to the node that was last granted the right to send it orders.
	holders map[string]string
	// declaration is the document in effect, or nil.
	declaration *wirepb.Declaration
	level       level.Level
	// specsScanned counts the specs scanned for references; tests bound the cost of a write with it.
	specsScanned int
	// unsupported is set once the log holds something that this build can't apply.
	unsupported error
	events      []*wirepb.WatchEvent
	// compacted is the highest revision whose event is no longer kept.
	compacted uint64
}

// New returns an empty state.
func New() *Machine {
	return &Machine{
		objects:    map[Key]*wirepb.Object{},
		specs:      map[Key]v1.Spec{},
		statuses:   map[string]v1.MachineStatus{},
		replicasOn: replicaIndex{},
		replicasOf: replicaIndex{},
		suspects:   map[string]bool{},
		claims:     newClaimTable(),
		requests:   newRequestTable(),
		holders:    map[string]string{},
	}
}

// Revision returns the revision of the last committed write.
func (m *Machine) Revision() uint64 { return m.revision }

// ClockMillis returns the highest proposer clock applied, in Unix milliseconds.
func (m *Machine) ClockMillis() int64 { return m.clock }

// Get returns an object, or nil if it does not exist.
func (m *Machine) Get(kind v1.Kind, name string) *wirepb.Object {
	return m.objects[Key{kind, name}]
}

// Spec returns the decoded spec of an object, or nil if the object does not exist.
func (m *Machine) Spec(kind v1.Kind, name string) v1.Spec {
	return m.specs[Key{kind, name}]
}

// MachineStatus returns the decoded status of a machine, or the zero value if the machine does not exist.
func (m *Machine) MachineStatus(name string) v1.MachineStatus {
	return m.statuses[name]
}

// EachMachine calls visit with the name of every machine, in unspecified order.
func (m *Machine) EachMachine(visit func(name string)) {
	for name := range m.statuses {
		visit(name)
	}
}

// Each calls visit for every object, in unspecified order.
func (m *Machine) Each(visit func(object *wirepb.Object, spec v1.Spec)) {
	for key, object := range m.objects {
		visit(object, m.specs[key])
	}
}

// List returns the objects of a kind sorted by name, or of all kinds if kind is empty.
func (m *Machine) List(kind v1.Kind) []*wirepb.Object {
	var listed []*wirepb.Object
	for key, object := range m.objects {
		if kind == "" || key.Kind == kind {
			listed = append(listed, object)
		}
	}
	sort.Slice(listed, func(i, j int) bool {
		if listed[i].GetKind() != listed[j].GetKind() {
			return listed[i].GetKind() < listed[j].GetKind()
		}
		return listed[i].GetName() < listed[j].GetName()
	})
	return listed
}

// Apply applies one encoded command of the log.
func (m *Machine) Apply(data []byte) *wirepb.CommandResult {
	if len(data) == 0 {
		return &wirepb.CommandResult{}
	}
	command := &wirepb.Command{}
	if err := proto.Unmarshal(data, command); err != nil {
		return &wirepb.CommandResult{Code: wirepb.ResultCode_RESULT_CODE_INVALID, Message: "undecodable command"}
	}
	// Clocks differ between leaders; the state's clock is monotonic.
	m.clock = max(m.clock, command.GetProposedUnixMs())
	fingerprint := fingerprintOf(command)
	if recorded, found := m.requests.lookup(command.GetRequestId(), fingerprint); found {
		return recorded
	}
	result := m.applyBody(command)
	m.requests.record(command.GetRequestId(), fingerprint, result)
	return result
}

func (m *Machine) applyBody(command *wirepb.Command) *wirepb.CommandResult {
	switch body := command.GetBody().(type) {
	case *wirepb.Command_Write:
		write := m.applyWrites(body.Write.GetWrites())
		return &wirepb.CommandResult{Code: write.GetCode(), Message: write.GetMessage(), Write: write}
	case *wirepb.Command_Claims:
		result := &wirepb.CommandResult{}
		for _, claim := range body.Claims.GetClaims() {
			result.Claims = append(result.Claims, m.claims.apply(claim, m.clock))
		}
		return result
	case *wirepb.Command_ClaimSweep:
		m.claims.sweep(m.clock)
		return &wirepb.CommandResult{}
	case *wirepb.Command_Declare:
		return m.declare(body.Declare)
	case *wirepb.Command_Register:
		return m.register(body.Register)
	case *wirepb.Command_Grant:
		for _, machine := range body.Grant.GetMachines() {
			m.holders[machine] = body.Grant.GetHolder()
		}
		return &wirepb.CommandResult{Grant: body.Grant}
	case *wirepb.Command_RecordCrash:
		return m.recordCrash(body.RecordCrash)
	case *wirepb.Command_ClearSuspects:
		return m.clearSuspects(body.ClearSuspects)
	case *wirepb.Command_RaiseLevel:
		m.raiseLevel(level.Level(body.RaiseLevel.GetLevel()))
		return &wirepb.CommandResult{}
	}
	m.unsupported = fault.Protocol.New("the log holds a command that this build does not support; upgrade to a later release")
	return &wirepb.CommandResult{Code: wirepb.ResultCode_RESULT_CODE_INVALID, Message: "unknown command"}
}

func (m *Machine) raiseLevel(raised level.Level) {
	if raised > level.Supported {
		m.unsupported = unsupportedLevel(raised)
		return
	}
	m.level = max(m.level, raised)
}

func unsupportedLevel(needed level.Level) error {
	return fault.Protocol.New("the cluster is at level %d, but this build supports at most level %d; upgrade to a later release", needed, level.Supported)
}

// Level returns the cluster's active level.
func (m *Machine) Level() level.Level { return m.level }

// Unsupported returns an error if the log held something that this build can't apply. The state is
// then incomplete, and the member must stop before it acts on it.
func (m *Machine) Unsupported() error { return m.unsupported }

// DryRun returns the result that a write command would have, without applying it.
func (m *Machine) DryRun(writes []*wirepb.ObjectWrite) *wirepb.WriteResult {
	batch, failure := m.stageAll(writes)
	if failure != nil {
		return failure
	}
	result := &wirepb.WriteResult{Revision: m.revision}
	for _, key := range batch.order {
		if staged := batch.staged[key]; staged.object != nil {
			result.Objects = append(result.Objects, withoutContent(staged.object))
		}
	}
	return result
}

// applyWrites applies all writes atomically at one revision.
func (m *Machine) applyWrites(writes []*wirepb.ObjectWrite) *wirepb.WriteResult {
	batch, failure := m.stageAll(writes)
	if failure != nil {
		return failure
	}
	return batch.commit()
}

// stageAll validates all writes together without committing them.
func (m *Machine) stageAll(writes []*wirepb.ObjectWrite) (*overlay, *wirepb.WriteResult) {
	batch := newOverlay(m)
	for position, write := range writes {
		if failure := batch.stage(write); failure != nil {
			failure.FailedWrite = uint32(position)
			failure.Revision = m.revision
			return nil, failure
		}
	}
	if failure := batch.checkReferences(); failure != nil {
		failure.Revision = m.revision
		return nil, failure
	}
	if failure := batch.checkTenants(); failure != nil {
		failure.Revision = m.revision
		return nil, failure
	}
	if failure := batch.checkReservations(); failure != nil {
		failure.Revision = m.revision
		return nil, failure
	}
	return batch, nil
}

func (m *Machine) putObject(object *wirepb.Object, spec v1.Spec) {
	key := KeyOf(object)
	m.store(key, object, spec)
	m.recordEvent(&wirepb.WatchEvent{Object: object})
}

func (m *Machine) store(key Key, object *wirepb.Object, spec v1.Spec) {
	m.objects[key] = object
	m.specs[key] = spec
	switch key.Kind {
	case v1.KindMachine:
		m.statuses[key.Name] = statusOf(object)
	case v1.KindSuspect:
		m.suspects[key.Name] = true
	}
	if replica, isReplica := spec.(*v1.ReplicaSpec); isReplica {
		m.replicasOn.add(replica.Machine, key.Name)
		m.replicasOf.add(replica.Model, key.Name)
	}
}

func (m *Machine) remove(key Key) {
	if replica, isReplica := m.specs[key].(*v1.ReplicaSpec); isReplica {
		m.replicasOn.remove(replica.Machine, key.Name)
		m.replicasOf.remove(replica.Model, key.Name)
	}
	delete(m.objects, key)
	delete(m.specs, key)
	switch key.Kind {
	case v1.KindMachine:
		delete(m.statuses, key.Name)
		delete(m.holders, key.Name)
	case v1.KindSuspect:
		delete(m.suspects, key.Name)
	}
	tombstone := &wirepb.Object{Kind: string(key.Kind), Name: key.Name, Revision: m.revision}
	m.recordEvent(&wirepb.WatchEvent{Deleted: true, Object: tombstone})
}

func (m *Machine) recordEvent(event *wirepb.WatchEvent) {
	m.events = append(m.events, event)
	if len(m.events) <= 2*MaxEventsKept {
		return
	}
	dropped := len(m.events) - MaxEventsKept
	m.compacted = m.events[dropped-1].GetObject().GetRevision()
	m.events = append([]*wirepb.WatchEvent(nil), m.events[dropped:]...)
}

// EventsAfter returns the events after a revision in order, or an Expired
// error if some of them have been compacted.
func (m *Machine) EventsAfter(revision uint64) ([]*wirepb.WatchEvent, error) {
	if revision < m.compacted {
		return nil, fault.Expired.New("revision %d is too old; list again", revision)
	}
	return NewerEvents(m.events, revision), nil
}

// NewerEvents returns the events after a revision; events must be sorted by revision.
// The result's capacity is clipped, so appending to it does not overwrite events.
func NewerEvents(events []*wirepb.WatchEvent, revision uint64) []*wirepb.WatchEvent {
	first := sort.Search(len(events), func(i int) bool {
		return events[i].GetObject().GetRevision() > revision
	})
	return events[first:len(events):len(events)]
}

// Snapshot encodes the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	snapshot := &wirepb.StateSnapshot{
		Revision:       m.revision,
		ClockUnixMs:    m.clock,
		Objects:        m.List(""),
		Claims:         m.claims.list(),
		RequestRecords: m.requests.list(),
		Declaration:    m.declaration,
		Holders:        m.listHolders(),
		Level:          uint32(m.level),
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	if err != nil {
		return nil, fault.Internal.Wrap(err, "encoding the state")
	}
	return data, nil
}

// Restore replaces the whole state by a snapshot. It discards the events, so watchers
// have to list again.
func (m *Machine) Restore(data []byte) error {
	snapshot := &wirepb.StateSnapshot{}
	if err := proto.Unmarshal(data, snapshot); err != nil {
		return fault.Corrupt.Wrap(err, "decoding a state snapshot")
	}
	if needed := level.Level(snapshot.GetLevel()); needed > level.Supported {
		return unsupportedLevel(needed)
	}
	restored := New()
	restored.level = level.Level(snapshot.GetLevel())
	restored.revision = snapshot.GetRevision()
	restored.compacted = snapshot.GetRevision()
	restored.clock = snapshot.GetClockUnixMs()
	restored.declaration = snapshot.GetDeclaration()
	for _, object := range snapshot.GetObjects() {
		spec, err := v1.DecodeSpec(v1.Kind(object.GetKind()), object.GetSpec())
		if err != nil {
			return fault.Corrupt.Wrap(err, "decoding %s %s of a state snapshot", object.GetKind(), object.GetName())
		}
		restored.store(KeyOf(object), object, spec)
	}
	for _, entry := range snapshot.GetHolders() {
		restored.holders[entry.GetMachine()] = entry.GetHolder()
	}
	for _, claim := range snapshot.GetClaims() {
		restored.claims.records[claim.GetKey()] = claim
	}
	for _, record := range snapshot.GetRequestRecords() {
		restored.requests.add(record)
	}
	*m = *restored
	return nil
}

// OrderHolder returns the node that was last granted the right to send orders to a machine, or "".
func (m *Machine) OrderHolder(machine string) string {
	return m.holders[machine]
}

func (m *Machine) listHolders() []*wirepb.OrderHolder {
	listed := make([]*wirepb.OrderHolder, 0, len(m.holders))
	for machine, holder := range m.holders {
		listed = append(listed, &wirepb.OrderHolder{Machine: machine, Holder: holder})
	}
	sort.Slice(listed, func(i, j int) bool { return listed[i].GetMachine() < listed[j].GetMachine() })
	return listed
}

func sameSpec(left, right *wirepb.Object) bool {
	return bytes.Equal(left.GetSpec(), right.GetSpec())
}
