// Package storage keeps a control node's log and snapshot in its data folder.
package storage

import (
	"github.com/weldline/weldline/internal/datadir"
	"github.com/weldline/weldline/internal/member"
	"github.com/weldline/weldline/internal/snap"
	"github.com/weldline/weldline/internal/wal"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	logFolder    = "log"
	snapshotFile = "snapshot"
)

// Disk implements member.Storage on a data folder.
type Disk struct {
	dir *datadir.Dir
	log *wal.Log
}

// Open reads everything stored and opens the log for appending.
func Open(dir *datadir.Dir) (*Disk, member.Recovered, error) {
	var recovered member.Recovered
	snapshot, err := snap.Load(dir.Path(snapshotFile))
	if err != nil {
		return nil, recovered, err
	}
	recovered.Snapshot = snapshot
	log, err := wal.Open(dir.Path(logFolder), func(record *wirepb.WalRecord) error {
		recovered.Records = append(recovered.Records, record)
		return nil
	})
	if err != nil {
		return nil, recovered, err
	}
	return &Disk{dir: dir, log: log}, recovered, nil
}

// Append implements member.Storage.
func (d *Disk) Append(record *wirepb.WalRecord) error {
	return d.log.Append(record)
}

// SaveSnapshot implements member.Storage. A crash between the two steps
// leaves older records behind a newer snapshot, which replay skips.
func (d *Disk) SaveSnapshot(snapshot *wirepb.Snapshot, rest *wirepb.WalRecord) error {
	if err := snap.Save(d.dir.Path(snapshotFile), snapshot); err != nil {
		return err
	}
	return d.log.Restart(rest)
}

// Close closes the log.
func (d *Disk) Close() error {
	return d.log.Close()
}
