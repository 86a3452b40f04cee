package storage

import (
	"path/filepath"
	"testing"

	"github.com/weldline/weldline/internal/datadir"
	"github.com/weldline/weldline/internal/member"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// withDisk opens a data directory, calls use, and closes it again.
func withDisk(t *testing.T, path string, use func(disk *Disk, recovered member.Recovered)) {
	t.Helper()
	dir, _, err := datadir.Open(path, "test", 1)
	if err != nil {
		t.Fatal(err)
	}
	disk, recovered, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	use(disk, recovered)
	if err := disk.Close(); err != nil {
		t.Fatal(err)
	}
	if err := dir.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestRecovery reopens a data directory: it must return all appended records, and after a
// snapshot only the snapshot and the rest.
func TestRecovery(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	if err := datadir.Init(path, datadir.Identity{Cluster: "test", ControlID: 1}); err != nil {
		t.Fatal(err)
	}
	withDisk(t, path, func(disk *Disk, recovered member.Recovered) {
		if len(recovered.Records) != 0 || recovered.Snapshot != nil {
			t.Errorf("a new data directory holds %+v", recovered)
		}
		for index := uint64(1); index <= 2; index++ {
			if err := disk.Append(&wirepb.WalRecord{Entries: []*wirepb.Entry{{Term: 1, Index: index}}}); err != nil {
				t.Fatal(err)
			}
		}
	})
	withDisk(t, path, func(disk *Disk, recovered member.Recovered) {
		if len(recovered.Records) != 2 || recovered.Records[1].GetEntries()[0].GetIndex() != 2 {
			t.Errorf("%+v", recovered)
		}
		snapshot := &wirepb.Snapshot{Meta: &wirepb.SnapshotMeta{Index: 2, Term: 1}, Data: []byte("state")}
		if err := disk.SaveSnapshot(snapshot, &wirepb.WalRecord{HardState: &wirepb.HardState{Term: 4}}); err != nil {
			t.Fatal(err)
		}
	})
	withDisk(t, path, func(_ *Disk, recovered member.Recovered) {
		if recovered.Snapshot.GetMeta().GetIndex() != 2 || string(recovered.Snapshot.GetData()) != "state" {
			t.Errorf("%+v", recovered.Snapshot)
		}
		if len(recovered.Records) != 1 || recovered.Records[0].GetHardState().GetTerm() != 4 {
			t.Errorf("%+v", recovered.Records)
		}
	})
}
