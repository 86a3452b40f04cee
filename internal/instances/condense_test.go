package instances

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// heartbeatOf is what a machine says that holds a number of models.
func heartbeatOf(sequence uint64, models int) *wirepb.InstanceReport {
	report := &wirepb.InstanceReport{
		Machine: "m", Pool: "p", Endpoint: "http://10.0.0.1:80", Zone: "z", Slots: 12, Sequence: sequence, StartedMs: 1_700_000_000_000,
		AgeMs: uint32(sequence), WarmingMs: uint32(sequence) * 100,
	}
	for number := range models {
		report.Models = append(report.Models, &wirepb.LoadedModel{Model: fmt.Sprintf("model-%d", number), Adapters: []string{"a"}})
		report.Checkpoints = append(report.Checkpoints, &wirepb.CachedCheckpoint{Checkpoint: fmt.Sprintf("model-%d", number), Tier: "disk"})
	}
	return report
}

// TestUnchangedReportsAreShort and mean the same.
func TestUnchangedReportsAreShort(t *testing.T) {
	sender, table := NewDeduplicator(), NewTable()
	for sequence := uint64(1); sequence <= 10; sequence++ {
		report := WithContentHash(heartbeatOf(sequence, 5))
		sent := sender.Encode(report)
		if sequence > 1 && proto.Size(sent) > 50 {
			t.Errorf("report %d, without news, takes %d bytes of %d", sequence, proto.Size(sent), proto.Size(report))
		}
		completed, whole := table.Restore("m", sent)
		if !whole || !proto.Equal(completed, report) {
			t.Fatalf("report %d came as %v", sequence, completed)
		}
		table.Add(time.Duration(sequence), "m", completed)
	}
	if other := WithContentHash(heartbeatOf(11, 4)); sender.Encode(other) != other {
		t.Error("a report with news is not whole")
	}
	leaving := heartbeatOf(12, 4)
	leaving.Leaving = true
	if leaving = WithContentHash(leaving); sender.Encode(leaving) != leaving {
		t.Error("a machine that leaves is no news")
	}
}

// TestNoOtherContentStandsIn: the table may hold what came by way of another control node, or
// nothing.
func TestNoOtherContentStandsIn(t *testing.T) {
	sender, table := NewDeduplicator(), NewTable()
	sender.Encode(WithContentHash(heartbeatOf(1, 2)))
	short := sender.Encode(WithContentHash(heartbeatOf(2, 2)))
	if completed, whole := table.Restore("m", short); whole {
		t.Errorf("completed from nothing: %v", completed)
	}
	table.Add(0, "m", WithContentHash(heartbeatOf(1, 3)))
	if completed, whole := table.Restore("m", short); whole {
		t.Errorf("completed from another content: %v", completed)
	}
	whole := sender.Full("m")
	if whole.GetSequence() != 2 || len(whole.GetModels()) != 2 {
		t.Errorf("the whole report is %v", whole)
	}
	table.Add(0, "m", whole)
	if _, held := table.Restore("m", sender.Encode(WithContentHash(heartbeatOf(3, 2)))); !held {
		t.Error("still lacking after the whole report")
	}
}

// TestLeaderLearnsTheNewestContent: a machine turns to one control node after the other while
// what it holds changes to and fro; connections break, and the leader forgets. Each report that
// arrives after the answer to it is the newest that the leader holds, with what it said.
func TestLeaderLearnsTheNewestContent(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 3))
		table, models := NewTable(), 1
		senders := []*Deduplicator{NewDeduplicator(), NewDeduplicator(), NewDeduplicator()}
		for sequence := uint64(1); sequence <= 200; sequence++ {
			if random.IntN(5) == 0 {
				models = 1 + random.IntN(3)
			}
			way := random.IntN(len(senders))
			switch random.IntN(20) {
			case 0:
				senders[way] = NewDeduplicator()
			case 1:
				table = NewTable()
			}
			report := WithContentHash(heartbeatOf(sequence, models))
			sent := senders[way].Encode(report)
			completed, whole := table.Restore("m", sent)
			if !whole {
				completed, whole = table.Restore("m", senders[way].Full("m"))
			}
			if !whole {
				t.Fatalf("seed %d: report %d is not whole when asked for", seed, sequence)
			}
			table.Add(time.Duration(sequence), "m", completed)
			if held := table.Entries()["m"].Report; !proto.Equal(held, report) {
				t.Fatalf("seed %d: the leader holds %v, the machine said %v", seed, held, report)
			}
		}
	}
}

// TestCondenserIsBounded where machines come and go.
func TestCondenserIsBounded(t *testing.T) {
	sender := NewDeduplicator()
	for number := range 3 * maxCondensed {
		report := heartbeatOf(1, 0)
		report.Machine = fmt.Sprint("m", number)
		sender.Encode(report)
		if len(sender.sent) > maxCondensed {
			t.Fatalf("%d machines are remembered", len(sender.sent))
		}
	}
}

// TestNothingIsLostOnTheWay: what a report gets in later releases is completed as well.
func TestNothingIsLostOnTheWay(t *testing.T) {
	report := heartbeatOf(1, 1)
	report.Leaving = true
	fields := report.ProtoReflect().Descriptor().Fields()
	for position := range fields.Len() {
		field := fields.Get(position)
		if name := field.Name(); name != "content" && name != "unchanged" && !report.ProtoReflect().Has(field) {
			t.Errorf("the report has no %s; fill it in here", name)
		}
	}
	sender, table := NewDeduplicator(), NewTable()
	report = WithContentHash(report)
	table.Add(0, "m", sender.Encode(report))
	completed, whole := table.Restore("m", sender.Encode(report))
	if !whole || !proto.Equal(completed, report) {
		t.Errorf("%v came as %v", report, completed)
	}
}
