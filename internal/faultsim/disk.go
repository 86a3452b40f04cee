package faultsim

import (
	"google.golang.org/protobuf/proto"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/member"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// disk implements member.Storage. Synced records survive a crash. A failed sync may or may not have
// persisted its record.
type disk struct {
	sim      *simulation
	durable  member.Recovered
	cached   []*wirepb.WalRecord
	failNext bool
}

// unsyncedRecords is how many records a disk buffers under MutationNoSync although it reports them as
// synced.
const unsyncedRecords = 8

// Append implements member.Storage.
func (d *disk) Append(record *wirepb.WalRecord) error {
	kept := stored(record)
	if d.failNext {
		d.failNext = false
		if d.sim.random.IntN(2) == 0 {
			d.durable.Records = append(d.durable.Records, kept)
		}
		return fault.Storage.New("disk sync failed")
	}
	if d.sim.mutation == MutationNoSync {
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

// stored copies a record: entries are shared in memory, and later changes must not reach the disk.
func stored(record *wirepb.WalRecord) *wirepb.WalRecord {
	return &wirepb.WalRecord{
		HardState: record.GetHardState(), Entries: append([]*wirepb.Entry(nil), record.GetEntries()...),
	}
}

// SaveSnapshot implements member.Storage.
func (d *disk) SaveSnapshot(snapshot *wirepb.Snapshot, records *wirepb.WalRecord) error {
	if d.failNext {
		d.failNext = false
		return fault.Storage.New("disk sync failed")
	}
	copied, _ := proto.Clone(snapshot).(*wirepb.Snapshot)
	d.durable = member.Recovered{Snapshot: copied, Records: []*wirepb.WalRecord{stored(records)}}
	d.cached = nil
	return nil
}

// crash discards unsynced records.
func (d *disk) crash() {
	d.cached = nil
}

// recover returns the records that a restarted process reads.
func (d *disk) recover() member.Recovered {
	return member.Recovered{
		Snapshot: d.durable.Snapshot, Records: append([]*wirepb.WalRecord(nil), d.durable.Records...),
	}
}
