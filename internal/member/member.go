// Package member combines a raft node and a copy of the replicated state into one member of the
// control plane.
//
// It has no clock and no I/O of its own: storage is an interface and time an argument, so control
// nodes and the simulator run the same code. Invariant: nothing is sent or applied before storage
// has synced it.
package member

import (
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/raft"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// DefaultCompactEvery is the default number of applied entries between snapshots.
const DefaultCompactEvery = 4096

// compactTailDivisor divides compactEvery to give the number of applied entries that a snapshot
// leaves in the log, so that a peer slightly behind receives entries and not the whole state.
const compactTailDivisor = 4

const (
	// maxLogBytes bounds the entries in memory and on disk between snapshots: declared documents
	// may be large.
	maxLogBytes = 4 << 20
	// sizeCompactionTail is the number of applied entries that a snapshot taken for the size of the
	// log leaves in it.
	sizeCompactionTail = 8
	// A replay is long if the entries after the snapshot are longReplayFactor times its size and at
	// least minLongReplayBytes.
	longReplayFactor   = 2
	minLongReplayBytes = 64 << 10
	// idleCompactionTail is the number of applied entries that CompactNow leaves in the log.
	idleCompactionTail = 64
)

// Storage is the durable storage of a member. Each method syncs before it returns without an error.
type Storage interface {
	// Append appends a record to the log.
	Append(record *wirepb.WalRecord) error
	// SaveSnapshot replaces the snapshot, then replaces all records by the given one.
	SaveSnapshot(snapshot *wirepb.Snapshot, rest *wirepb.WalRecord) error
}

// Recovered is the content of a storage when it was opened.
type Recovered struct {
	Snapshot *wirepb.Snapshot
	Records  []*wirepb.WalRecord
}

// Output is the result of Process. Its contents are durable.
type Output struct {
	Messages []*wirepb.RaftMessage
	Applied  []Applied
	// Restored is set if a snapshot replaced the state.
	Restored bool
}

// Applied is a committed entry that has been applied.
type Applied struct {
	Index, Term uint64
	// Result is nil if Entry is not a command.
	Entry  *wirepb.Entry
	Result *wirepb.CommandResult
}

// Member is a node of the replicated log with its copy of the state. It is not safe for concurrent
// use.
type Member struct {
	Raft  *raft.Node
	State *state.Machine
	// StateLock is held while State is modified; it may be nil if there are no concurrent readers.
	StateLock    sync.Locker
	storage      Storage
	snapshot     *wirepb.Snapshot
	compactEvery uint64
	// logBytes is the size of the entries applied since the last snapshot.
	logBytes int
}

// Open recovers a member from its storage.
func Open(config raft.Config, bootstrap *wirepb.Membership, recovered Recovered, storage Storage, now time.Duration, compactEvery uint64) (*Member, error) {
	member := &Member{State: state.New(), storage: storage, snapshot: recovered.Snapshot, compactEvery: compactEvery}
	if recovered.Snapshot != nil {
		if err := member.State.Restore(recovered.Snapshot.GetData()); err != nil {
			return nil, err
		}
	}
	stored, err := replay(recovered)
	if err != nil {
		return nil, err
	}
	stored.Membership = bootstrap
	member.Raft, err = raft.New(config, stored, now, func() *wirepb.Snapshot { return member.snapshot })
	if err != nil {
		return nil, err
	}
	return member, nil
}

// replay returns the hard state and the entries after the snapshot.
func replay(recovered Recovered) (raft.Stored, error) {
	stored := raft.Stored{Snapshot: recovered.Snapshot.GetMeta()}
	offset := stored.Snapshot.GetIndex()
	for _, record := range recovered.Records {
		if record.GetHardState() != nil {
			stored.HardState = record.GetHardState()
		}
		for _, entry := range record.GetEntries() {
			if entry.GetIndex() <= offset {
				continue // Left by a crash between saving the snapshot and replacing the records.
			}
			position := entry.GetIndex() - offset - 1
			if position > uint64(len(stored.Entries)) {
				return raft.Stored{}, fault.Corrupt.New("entry %d is missing from the log", offset+uint64(len(stored.Entries))+1)
			}
			stored.Entries = append(stored.Entries[:position], entry)
		}
	}
	return stored, nil
}

// Propose proposes a command and returns the index and term of its entry.
func (m *Member) Propose(now time.Duration, command *wirepb.Command) (index, term uint64, err error) {
	data, err := proto.Marshal(command)
	if err != nil {
		return 0, 0, fault.Internal.Wrap(err, "encoding a command")
	}
	return m.Raft.Propose(now, data)
}

// Process does all outstanding work. After an error, which means that storage failed or the log
// requires a later release, the member must not be used.
func (m *Member) Process() (Output, error) {
	var output Output
	for {
		ready := m.Raft.Ready()
		if ready.Empty() {
			return output, m.maybeCompact()
		}
		if err := m.persist(ready); err != nil {
			return Output{}, err
		}
		if ready.Snapshot != nil {
			if err := m.restore(ready.Snapshot); err != nil {
				return Output{}, err
			}
			output.Restored = true
		}
		output.Messages = append(output.Messages, ready.Messages...)
		output.Applied = append(output.Applied, m.applyAll(ready.Committed)...)
		if err := m.State.Unsupported(); err != nil {
			return Output{}, err
		}
		m.Raft.Advance(ready)
	}
}

func (m *Member) persist(ready raft.Ready) error {
	if ready.Snapshot != nil {
		rest := &wirepb.WalRecord{HardState: m.Raft.HardState(), Entries: m.Raft.EntriesAfterSnapshot()}
		if err := m.storage.SaveSnapshot(ready.Snapshot, rest); err != nil {
			return err
		}
		m.snapshot = ready.Snapshot
		return nil
	}
	if !mustSync(ready) {
		return nil
	}
	return m.storage.Append(&wirepb.WalRecord{HardState: m.Raft.HardState(), Entries: ready.Entries})
}

// mustSync reports whether the Ready must be persisted. A change of the commit index alone need not
// be: a restarted node learns it from the leader. The exception is a committed membership, without
// which a restarted node might need the votes of members that were replaced.
func mustSync(ready raft.Ready) bool {
	if len(ready.Entries) > 0 || (ready.HardState != nil && ready.TermChanged) {
		return true
	}
	return slices.ContainsFunc(ready.Committed, func(entry *wirepb.Entry) bool {
		return entry.GetKind() == wirepb.EntryKind_ENTRY_KIND_MEMBERSHIP
	})
}

func (m *Member) lockState() func() {
	if m.StateLock == nil {
		return func() {}
	}
	m.StateLock.Lock()
	return m.StateLock.Unlock
}

func (m *Member) restore(snapshot *wirepb.Snapshot) error {
	defer m.lockState()()
	return m.State.Restore(snapshot.GetData())
}

func (m *Member) applyAll(entries []*wirepb.Entry) []Applied {
	if len(entries) == 0 {
		return nil
	}
	defer m.lockState()()
	applied := make([]Applied, 0, len(entries))
	for _, entry := range entries {
		m.logBytes += len(entry.GetData())
		applied = append(applied, m.apply(entry))
	}
	return applied
}

func (m *Member) apply(entry *wirepb.Entry) Applied {
	applied := Applied{Index: entry.GetIndex(), Term: entry.GetTerm(), Entry: entry}
	if entry.GetKind() == wirepb.EntryKind_ENTRY_KIND_COMMAND {
		applied.Result = m.State.Apply(entry.GetData())
	}
	return applied
}

func (m *Member) maybeCompact() error {
	status := m.Raft.Status()
	tail := m.compactEvery / compactTailDivisor
	count := status.Applied - (status.FirstIndex - 1)
	if m.logBytes >= maxLogBytes {
		tail = min(tail, sizeCompactionTail)
	} else if count < m.compactEvery+tail {
		return nil
	}
	if count <= tail {
		return nil
	}
	return m.compact(tail)
}

// ShouldCompact reports whether a replay after a restart would be long compared with loading the
// snapshot. The driver then calls CompactNow when it is idle.
func (m *Member) ShouldCompact() bool {
	return m.logBytes >= max(minLongReplayBytes, longReplayFactor*len(m.snapshot.GetData()))
}

// CompactNow replaces the applied entries by a snapshot. An error means that storage failed.
func (m *Member) CompactNow() error {
	status := m.Raft.Status()
	return m.compact(min(idleCompactionTail, status.Applied-(status.FirstIndex-1)))
}

// compact takes a snapshot of the applied state and keeps tail entries before its index for peers
// that are slightly behind.
func (m *Member) compact(tail uint64) error {
	status := m.Raft.Status()
	data, err := m.State.Snapshot()
	if err != nil {
		return err
	}
	snapshot := &wirepb.Snapshot{Meta: m.Raft.SnapshotMetaAt(status.Applied), Data: data}
	m.Raft.Compact(status.Applied - tail)
	rest := &wirepb.WalRecord{HardState: m.Raft.HardState(), Entries: m.Raft.EntriesAfterSnapshot()}
	if err := m.storage.SaveSnapshot(snapshot, rest); err != nil {
		return err
	}
	m.snapshot = snapshot
	m.logBytes = 0
	return nil
}
