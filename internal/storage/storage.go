// Package storage keeps a control node's log and snapshot in its data folder.
package storage

import (
	"time"

	"github.com/weldline/weldline/internal/datadir"
	"github.com/weldline/weldline/internal/member"
	"github.com/weldline/weldline/internal/snap"
	"github.com/weldline/weldline/internal/wal"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	logFolder    = "log"
	snapshotFile = "snapshot"
	// retryInterval is how long a failed append waits before it is repeated.
	retryInterval = 100 * time.Millisecond
)

// Disk implements member.Storage on a data folder.
type Disk struct {
	dir *datadir.Dir
	log *wal.Log
	// OnWriteFailure is told of each failed append; may be nil.
	OnWriteFailure func(err error, attempt int)
	stopped        chan struct{}
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
	return &Disk{dir: dir, log: log, stopped: make(chan struct{})}, recovered, nil
}

// Append implements member.Storage.
func (d *Disk) Append(record *wirepb.WalRecord) error {
	return d.persist(func() error { return d.log.Append(record) })
}

// persist stores something. While the disk takes nothing (it may be full for a
// time) it waits and tries again: until then nothing is promised, so for the
// others the node is as good as silent, and it need not start anew.
func (d *Disk) persist(store func() error) error {
	err := store()
	for attempt := 1; err != nil; attempt++ {
		if d.OnWriteFailure != nil {
			d.OnWriteFailure(err, attempt)
		}
		select {
		case <-d.stopped:
			return err
		case <-time.After(retryInterval):
		}
		if err = d.log.Repair(); err == nil {
			err = store()
		}
	}
	return nil
}

// Stop ends the waiting of Append; it may be called once.
func (d *Disk) Stop() {
	close(d.stopped)
}

// SaveSnapshot implements member.Storage. A crash between the two steps
// leaves older records behind a newer snapshot, which replay skips.
func (d *Disk) SaveSnapshot(snapshot *wirepb.Snapshot, rest *wirepb.WalRecord) error {
	return d.persist(func() error {
		if err := snap.Save(d.dir.Path(snapshotFile), snapshot); err != nil {
			return err
		}
		return d.log.Restart(rest)
	})
}

// Close closes the log.
func (d *Disk) Close() error {
	return d.log.Close()
}
