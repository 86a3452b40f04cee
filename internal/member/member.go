// Package member joins the agreement core and the replicated state into one
// member of the control plane.
//
// It is as pure as its parts: storage is an interface, time an argument. The
// same code runs in control nodes and, on simulated disks and networks, in
// the simulator.
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

// DefaultCompactEvery is how many applied entries are kept before they are
// replaced by a snapshot.
const DefaultCompactEvery = 4096

// compactTailShare is the share of entries kept behind a snapshot, so that a
// peer that is a little behind gets entries and not the whole state.
const compactTailShare = 4

const (
	// maxLogBytes bounds the entries held in memory and on disk between
	// snapshots: a declared document may be large.
	maxLogBytes = 4 << 20
	// bytesTail is how many entries are kept behind a snapshot that was taken
	// for their size.
	bytesTail = 8
	// replayShare is how many times as long as the snapshot the entries behind it
	// may be before a restart is slow for their replay; shortReplay, in bytes, is
	// always short.
	replayShare = 2
	shortReplay = 64 << 10
	// quietTail is how many entries are kept behind a snapshot that was taken
	// while there was time.
	quietTail = 64
)

// Storage makes things durable. A method that returns without an error has
// synced what it was given.
type Storage interface {
	// Append stores a record behind the earlier ones.
	Append(record *wirepb.WalRecord) error
	// SaveSnapshot replaces the snapshot, then all records by the given one.
	SaveSnapshot(snapshot *wirepb.Snapshot, rest *wirepb.WalRecord) error
}

// Recovered is what a storage held when it was opened.
type Recovered struct {
	Snapshot *wirepb.Snapshot
	Records  []*wirepb.WalRecord
}

// Output is what follows from processing, once storage holds it.
type Output struct {
	Messages []*wirepb.RaftMessage
	Applied  []Applied
	// Restored is set when a snapshot replaced the state.
	Restored bool
}

// Applied is the result of one committed entry.
type Applied struct {
	Index, Term uint64
	// Entry is the entry itself; Result is nil for one that is no command.
	Entry  *wirepb.Entry
	Result *wirepb.CommandResult
}

// Member is one node of the replicated log with its copy of the state. It is
// not safe for concurrent use.
type Member struct {
	Raft  *raft.Node
	State *state.Machine
	// StateLock is held while State changes. A driver with other readers
	// sets it; it may be nil.
	StateLock    sync.Locker
	storage      Storage
	snapshot     *wirepb.Snapshot
	compactEvery uint64
	// logBytes is the size of the entries applied since the last snapshot.
	logBytes int
}

// Open rebuilds a member from what its storage held.
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

// replay folds the records into the hard state and the entries after the
// snapshot.
func replay(recovered Recovered) (raft.Stored, error) {
	stored := raft.Stored{Snapshot: recovered.Snapshot.GetMeta()}
	offset := stored.Snapshot.GetIndex()
	for _, record := range recovered.Records {
		if record.GetHardState() != nil {
			stored.HardState = record.GetHardState()
		}
		for _, entry := range record.GetEntries() {
			if entry.GetIndex() <= offset {
				continue // A crash came between the snapshot and the log.
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

// Propose proposes a command and returns the index of its entry and the term.
func (m *Member) Propose(now time.Duration, command *wirepb.Command) (index, term uint64, err error) {
	data, err := proto.Marshal(command)
	if err != nil {
		return 0, 0, fault.Internal.Wrap(err, "encoding a command")
	}
	return m.Raft.Propose(now, data)
}

// Process carries out everything outstanding. An error means that storage failed, or that the log
// needs a later release; the member must not be used any more.
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

// mustSync leaves out changes of the commit index alone: a restarted node
// learns it from the leader. A committed membership is an exception: a node
// that restarts must know whose votes count, or members that were replaced
// could be needed for a quorum for ever.
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
	tail := m.compactEvery / compactTailShare
	held := status.Applied - (status.FirstIndex - 1)
	if m.logBytes >= maxLogBytes {
		tail = min(tail, bytesTail)
	} else if held < m.compactEvery+tail {
		return nil
	}
	if held <= tail {
		return nil
	}
	return m.compact(tail)
}

// ShouldCompact reports whether a restart would replay much more than it reads of
// the snapshot. A driver that has time then calls CompactNow.
func (m *Member) ShouldCompact() bool {
	return m.logBytes >= max(shortReplay, replayShare*len(m.snapshot.GetData()))
}

// CompactNow replaces what has been applied by a snapshot. An error means that
// storage failed.
func (m *Member) CompactNow() error {
	status := m.Raft.Status()
	return m.compact(min(quietTail, status.Applied-(status.FirstIndex-1)))
}

// compact takes a snapshot of what has been applied and keeps some entries behind
// it for peers that are a little behind.
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
