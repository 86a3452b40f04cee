package member_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/member"
	"github.com/weldline/weldline/internal/raft"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// memoryDisk is an in-memory storage that survives a restart.
type memoryDisk struct{ recovered member.Recovered }

func (d *memoryDisk) Append(record *wirepb.WalRecord) error {
	d.recovered.Records = append(d.recovered.Records, record)
	return nil
}

func (d *memoryDisk) SaveSnapshot(snapshot *wirepb.Snapshot, rest *wirepb.WalRecord) error {
	d.recovered = member.Recovered{Snapshot: snapshot, Records: []*wirepb.WalRecord{rest}}
	return nil
}

func open(t *testing.T, disk *memoryDisk) *member.Member {
	t.Helper()
	config := raft.Config{
		ID: 1, ElectionTimeout: time.Second, HeartbeatInterval: 100 * time.Millisecond, MaxEntriesPerMessage: 64, MaxInflightMessages: 4,
		Random: func(int64) int64 { return 0 },
	}
	opened, err := member.Open(config, &wirepb.Membership{Voters: []uint64{1}}, disk.recovered, disk, 0, member.DefaultCompactEvery)
	if err != nil {
		t.Fatal(err)
	}
	return opened
}

func process(t *testing.T, opened *member.Member) int {
	t.Helper()
	output, err := opened.Process()
	if err != nil {
		t.Fatal(err)
	}
	return len(output.Applied)
}

// TestRestartReplaysLittle checks that ShouldCompact and CompactNow bound the entries that a
// restart replays.
func TestRestartReplaysLittle(t *testing.T) {
	const documents = 60
	disk := &memoryDisk{}
	opened := open(t, disk)
	opened.Raft.Tick(2 * time.Second)
	process(t, opened)
	for version := range documents {
		command := &wirepb.Command{Body: &wirepb.Command_Declare{Declare: &wirepb.DeclareCommand{
			Version: uint64(version + 1), Document: make([]byte, 8<<10),
			Objects: []*wirepb.Object{{Kind: string(v1.KindPool), Name: "pool", Spec: []byte(fmt.Sprintf(`{"maxConnections":%d}`, version+1))}},
		}}}
		if _, _, err := opened.Propose(2*time.Second, command); err != nil {
			t.Fatal(err)
		}
		process(t, opened)
		if opened.ShouldCompact() {
			if err := opened.CompactNow(); err != nil {
				t.Fatal(err)
			}
		}
	}
	before, err := opened.State.Snapshot()
	if err != nil {
		t.Fatal(err)
	}

	restarted := open(t, disk)
	restarted.Raft.Tick(2 * time.Second)
	if replayed := process(t, restarted); replayed > documents/2 {
		t.Errorf("replayed %d entries", replayed)
	}
	after, err := restarted.State.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	left, right := &wirepb.StateSnapshot{}, &wirepb.StateSnapshot{}
	if proto.Unmarshal(before, left) != nil || proto.Unmarshal(after, right) != nil || !proto.Equal(left, right) {
		t.Error("the restored state differs")
	}
}
