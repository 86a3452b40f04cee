package faultsim

import (
	"google.golang.org/protobuf/proto"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/member"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// disk implements member.Storage. What was synced survives a crash. A sync
// that fails may or may not have kept its record.
type disk struct {
	world    *world
	durable  member.Recovered
	cached   []*wirepb.WalRecord
	failNext bool
}

// unsyncedRecords is how many records a disk holds back that lies about
// syncing (MutationNoSync).
const unsyncedRecords = 8

// Append implements member.Storage.
func (d *disk) Append(record *wirepb.WalRecord) error {
	kept := stored(record)
	if d.failNext {
		d.failNext = false
		if d.world.random.IntN(2) == 0 {
			d.durable.Records = append(d.durable.Records, kept)
		}
		return fault.Storage.New("the disk failed to sync")
	}
	if d.world.mutation == MutationNoSync {
		d.cached = append(d.cached, kept)
		if len(d.cached) > unsyncedRecords {
			d.durable.Records = append(d.durable.Records, d.cached...)
			d.cached = nil
		}
		return nil
	}
	d.durable.Records = append(d.durable.Records, kept)
	return nil
}

// stored copies a record as it would be read again: entries are shared in
// memory, and a disk must not follow later changes of them.
func stored(record *wirepb.WalRecord) *wirepb.WalRecord {
	return &wirepb.WalRecord{
		HardState: record.GetHardState(), Entries: append([]*wirepb.Entry(nil), record.GetEntries()...),
	}
}

// SaveSnapshot implements member.Storage.
func (d *disk) SaveSnapshot(snapshot *wirepb.Snapshot, rest *wirepb.WalRecord) error {
	if d.failNext {
		d.failNext = false
		return fault.Storage.New("the disk failed to sync")
	}
	copied, _ := proto.Clone(snapshot).(*wirepb.Snapshot)
	d.durable = member.Recovered{Snapshot: copied, Records: []*wirepb.WalRecord{stored(rest)}}
	d.cached = nil
	return nil
}

// crash loses what was not synced.
func (d *disk) crash() {
	d.cached = nil
}

// recover returns what a restarted process reads.
func (d *disk) recover() member.Recovered {
	return member.Recovered{
		Snapshot: d.durable.Snapshot, Records: append([]*wirepb.WalRecord(nil), d.durable.Records...),
	}
}
