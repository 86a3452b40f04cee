package raft

import "github.com/weldline/weldline/internal/wire/wirepb"

// entryLog holds the log entries after the latest snapshot.
//
// Invariant: entries[i] has index offset+1+i; applied <= committed <= lastIndex; entries up to
// stable are durable.
type entryLog struct {
	offset     uint64
	offsetTerm uint64
	entries    []*wirepb.Entry
	stable     uint64
	committed  uint64
	applied    uint64
}

func newEntryLog(snapshot *wirepb.SnapshotMeta, entries []*wirepb.Entry) entryLog {
	log := entryLog{offset: snapshot.GetIndex(), offsetTerm: snapshot.GetTerm(), entries: entries}
	log.committed = log.offset
	log.applied = log.offset
	log.stable = log.lastIndex()
	return log
}

func (l *entryLog) lastIndex() uint64 {
	return l.offset + uint64(len(l.entries))
}

func (l *entryLog) lastTerm() uint64 {
	return l.term(l.lastIndex())
}

// term returns the term of the entry at index, or 0 if it is not known.
func (l *entryLog) term(index uint64) uint64 {
	switch {
	case index == l.offset:
		return l.offsetTerm
	case index < l.offset || index > l.lastIndex():
		return 0
	}
	return l.entries[index-l.offset-1].GetTerm()
}

// matches reports whether the log contains an entry with the index and term.
func (l *entryLog) matches(index, term uint64) bool {
	if index < l.offset {
		return true // Covered by the snapshot, hence committed.
	}
	return index <= l.lastIndex() && l.term(index) == term
}

func (l *entryLog) isUpToDate(index, term uint64) bool {
	return term > l.lastTerm() || (term == l.lastTerm() && index >= l.lastIndex())
}

// slice returns up to limit entries starting at from.
func (l *entryLog) slice(from uint64, limit int) []*wirepb.Entry {
	if from <= l.offset || from > l.lastIndex() {
		return nil
	}
	available := l.entries[from-l.offset-1:]
	if len(available) > limit {
		available = available[:limit]
	}
	return available
}

// merge adds entries from a leader. It skips entries that are already present and replaces the log
// from the first that conflicts. Committed entries never conflict.
func (l *entryLog) merge(entries []*wirepb.Entry) {
	for position, entry := range entries {
		index := entry.GetIndex()
		if index <= l.offset || l.matches(index, entry.GetTerm()) {
			continue
		}
		kept := l.entries[:index-l.offset-1]
		// The full slice expression forces a copy: the old tail may be in a Ready that the driver
		// is writing.
		l.entries = append(kept[:len(kept):len(kept)], entries[position:]...)
		if l.stable >= index {
			l.stable = index - 1
		}
		return
	}
}

func (l *entryLog) appendNew(entries ...*wirepb.Entry) {
	l.entries = append(l.entries, entries...)
}

func (l *entryLog) unstable() []*wirepb.Entry {
	if l.stable < l.offset {
		return l.entries
	}
	return l.entries[l.stable-l.offset:]
}

// stableTo marks entries up to index as durable unless they have been replaced since.
func (l *entryLog) stableTo(index, term uint64) {
	if index > l.stable && l.term(index) == term {
		l.stable = index
	}
}

// unapplied returns the committed entries that have not been applied.
func (l *entryLog) unapplied() []*wirepb.Entry {
	upTo := min(l.committed, l.lastIndex())
	if upTo <= l.applied {
		return nil
	}
	return l.entries[l.applied-l.offset : upTo-l.offset]
}

func (l *entryLog) commitTo(index uint64) {
	if index > l.committed {
		l.committed = min(index, l.lastIndex())
	}
}

func (l *entryLog) compact(index uint64) {
	if index <= l.offset || index > l.applied {
		return
	}
	term := l.term(index)
	// Copied so that the discarded entries can be garbage-collected.
	l.entries = append([]*wirepb.Entry(nil), l.entries[index-l.offset:]...)
	l.offset = index
	l.offsetTerm = term
}

func (l *entryLog) restore(meta *wirepb.SnapshotMeta) {
	l.entries = nil
	l.offset = meta.GetIndex()
	l.offsetTerm = meta.GetTerm()
	l.committed = l.offset
	l.applied = l.offset
	l.stable = l.offset
}
