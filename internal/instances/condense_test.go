package instances

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// newHeartbeat returns the report of a machine with a number of loaded models.
func newHeartbeat(sequence uint64, models int) *wirepb.InstanceReport {
	report := &wirepb.InstanceReport{
		Machine: "m", Pool: "p", Endpoint: "http://10.0.0.1:80", Zone: "z", Slots: 12, Sequence: sequence, StartedMs: 1_700_000_000_000, Software: "v1",
		AgeMs: uint32(sequence), WarmingMs: uint32(sequence) * 100,
	}
	for number := range models {
		report.Models = append(report.Models, &wirepb.LoadedModel{Model: fmt.Sprintf("model-%d", number), Adapters: []string{"a"}})
		report.Checkpoints = append(report.Checkpoints, &wirepb.CachedCheckpoint{Checkpoint: fmt.Sprintf("model-%d", number), Tier: "disk"})
	}
	return report
}

// A report without changes must be small and restore to the original.
func TestUnchangedReportsOmitContent(t *testing.T) {
	encoder, table := NewDeduplicator(), NewTable()
	for sequence := uint64(1); sequence <= 10; sequence++ {
		report := WithContentHash(newHeartbeat(sequence, 5))
		sent := encoder.Encode(report)
		if sequence > 1 && proto.Size(sent) > 50 {
			t.Errorf("report %d without changes takes %d of %d bytes", sequence, proto.Size(sent), proto.Size(report))
		}
		restored, complete := table.Restore("m", sent)
		if !complete || !proto.Equal(restored, report) {
			t.Fatalf("report %d restored as %v", sequence, restored)
		}
		table.Add(time.Duration(sequence), "m", restored)
	}
	if other := WithContentHash(newHeartbeat(11, 4)); encoder.Encode(other) != other {
		t.Error("a changed report is not sent in full")
	}
	leaving := newHeartbeat(12, 4)
	leaving.Leaving = true
	if leaving = WithContentHash(leaving); encoder.Encode(leaving) != leaving {
		t.Error("a leaving machine's report is not sent in full")
	}
}

// A report must not be restored from missing or different content, such as a report sent through
// another control node.
func TestRestoreRequiresMatchingContent(t *testing.T) {
	encoder, table := NewDeduplicator(), NewTable()
	encoder.Encode(WithContentHash(newHeartbeat(1, 2)))
	short := encoder.Encode(WithContentHash(newHeartbeat(2, 2)))
	if restored, complete := table.Restore("m", short); complete {
		t.Errorf("restored without a stored report: %v", restored)
	}
	table.Add(0, "m", WithContentHash(newHeartbeat(1, 3)))
	if restored, complete := table.Restore("m", short); complete {
		t.Errorf("restored from different content: %v", restored)
	}
	complete := encoder.Full("m")
	if complete.GetSequence() != 2 || len(complete.GetModels()) != 2 {
		t.Errorf("full report is %v", complete)
	}
	table.Add(0, "m", complete)
	if _, isRestored := table.Restore("m", encoder.Encode(WithContentHash(newHeartbeat(3, 2)))); !isRestored {
		t.Error("not restored after the full report")
	}
}

// Across changes of control node, connection and leader, the leader must hold the newest report with
// its content after each heartbeat.
func TestNewestContentIsRestored(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 3))
		table, models := NewTable(), 1
		encoders := []*Deduplicator{NewDeduplicator(), NewDeduplicator(), NewDeduplicator()}
		for sequence := uint64(1); sequence <= 200; sequence++ {
			if random.IntN(5) == 0 {
				models = 1 + random.IntN(3)
			}
			connection := random.IntN(len(encoders))
			switch random.IntN(20) {
			case 0:
				encoders[connection] = NewDeduplicator()
			case 1:
				table = NewTable()
			}
			report := WithContentHash(newHeartbeat(sequence, models))
			sent := encoders[connection].Encode(report)
			restored, complete := table.Restore("m", sent)
			if !complete {
				restored, complete = table.Restore("m", encoders[connection].Full("m"))
			}
			if !complete {
				t.Fatalf("seed %d: report %d is not restored from the full report", seed, sequence)
			}
			table.Add(time.Duration(sequence), "m", restored)
			if stored := table.Entries()["m"].Report; !proto.Equal(stored, report) {
				t.Fatalf("seed %d: stored report %v, want %v", seed, stored, report)
			}
		}
	}
}

// Deduplicator must not grow with the machines that come and go.
func TestDeduplicatorIsBounded(t *testing.T) {
	encoder := NewDeduplicator()
	for number := range 3 * maxRemembered {
		report := newHeartbeat(1, 0)
		report.Machine = fmt.Sprint("m", number)
		encoder.Encode(report)
		if len(encoder.sent) > maxRemembered {
			t.Fatalf("%d machines are remembered", len(encoder.sent))
		}
	}
}

// Fields added to reports in later releases must be restored as well.
func TestRestoreCopiesEveryField(t *testing.T) {
	report := newHeartbeat(1, 1)
	report.Leaving = true
	fields := report.ProtoReflect().Descriptor().Fields()
	for position := range fields.Len() {
		field := fields.Get(position)
		if name := field.Name(); name != "content" && name != "unchanged" && !report.ProtoReflect().Has(field) {
			t.Errorf("the test report lacks field %s", name)
		}
	}
	encoder, table := NewDeduplicator(), NewTable()
	report = WithContentHash(report)
	table.Add(0, "m", encoder.Encode(report))
	restored, complete := table.Restore("m", encoder.Encode(report))
	if !complete || !proto.Equal(restored, report) {
		t.Errorf("%v restored as %v", report, restored)
	}
}
