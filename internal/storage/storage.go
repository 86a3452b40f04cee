// Package storage persists a control node's write-ahead log and snapshot in its data directory.
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
	logDirectory  = "log"
	snapshotFile  = "snapshot"
	retryInterval = 100 * time.Millisecond
)

// Disk implements member.Storage in a data directory.
type Disk struct {
	dir *datadir.Dir
	log *wal.Log
	// OnWriteFailure is called after each failed attempt to write; it may be nil.
	OnWriteFailure func(err error, attempt int)
	stopped        chan struct{}
}

// Open reads the snapshot and the log, and opens the log for appending.
func Open(dir *datadir.Dir) (*Disk, member.Recovered, error) {
	var recovered member.Recovered
	snapshot, err := snap.Load(dir.Path(snapshotFile))
	if err != nil {
		return nil, recovered, err
	}
	recovered.Snapshot = snapshot
	log, err := wal.Open(dir.Path(logDirectory), func(record *wirepb.WalRecord) error {
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

// persist retries a write until it succeeds or Stop is called, so that a node survives a
// disk that is temporarily full. The node sends nothing that depends on the write meanwhile.
func (d *Disk) persist(write func() error) error {
	err := write()
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
			err = write()
		}
	}
	return nil
}

// Stop ends the retries of Append and SaveSnapshot. It must be called at most once.
func (d *Disk) Stop() {
	close(d.stopped)
}

// SaveSnapshot implements member.Storage. A crash between its two steps leaves records in the
// log that the snapshot covers; replay skips them.
func (d *Disk) SaveSnapshot(snapshot *wirepb.Snapshot, rest *wirepb.WalRecord) error {
	return d.persist(func() error {
		if err := snap.Save(d.dir.Path(snapshotFile), snapshot); err != nil {
			return err
		}
		return d.log.Restart(rest)
	})
}

// Close closes the log but not the data directory. It must not be called during a write.
func (d *Disk) Close() error {
	return d.log.Close()
}
