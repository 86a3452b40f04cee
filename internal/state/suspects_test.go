package state

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/level"
	"github.com/weldline/weldline/internal/quarantine"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

func identityFor(number int) quarantine.Identity {
	return quarantine.Identify(quarantine.Content{Target: fmt.Sprintf("/x/%d", number)})
}

func crash(machine string, numbers ...int) *wirepb.Command {
	command := &wirepb.RecordCrashCommand{Machine: machine}
	for _, number := range numbers {
		identity := identityFor(number)
		command.Requests = append(command.Requests, &wirepb.SuspectRequest{Identity: identity[:], Route: "r", Tenant: "t"})
	}
	return &wirepb.Command{ProposedUnixMs: 1_000, Body: &wirepb.Command_RecordCrash{RecordCrash: command}}
}

func applied(t *testing.T, machine *Machine, command *wirepb.Command) *wirepb.CommandResult {
	t.Helper()
	encoded, err := proto.Marshal(command)
	if err != nil {
		t.Fatal(err)
	}
	return machine.Apply(encoded)
}

func suspectOf(machine *Machine, number int) *v1.SuspectSpec {
	spec, _ := machine.Spec(v1.KindSuspect, identityFor(number).String()).(*v1.SuspectSpec)
	return spec
}

func TestCrashesQuarantineARequest(t *testing.T) {
	machine := New()
	applied(t, machine, crash("i-1", 1, 2, 3))
	revision := machine.Revision()
	applied(t, machine, crash("i-1", 1, 2, 3)) // Reported by another router, or retried.
	if machine.Revision() != revision {
		t.Error("a known crash created a revision")
	}
	if suspect := suspectOf(machine, 1); suspect == nil || suspect.Quarantined {
		t.Fatalf("after one crash: %+v", suspect)
	}
	result := applied(t, machine, crash("i-2", 1, 4))
	if result.GetCode() != wirepb.ResultCode_RESULT_CODE_OK || result.GetWrite().GetRevision() != machine.Revision() {
		t.Errorf("the result is %v at revision %d", result, machine.Revision())
	}
	suspect := suspectOf(machine, 1)
	if suspect == nil || !suspect.Quarantined || fmt.Sprint(suspect.Machines) != "[i-1 i-2]" || !suspect.LastCrash.Equal(time.UnixMilli(1_000)) {
		t.Errorf("after two crashes: %+v", suspect)
	}
	for _, companion := range []int{2, 3, 4} {
		if suspect := suspectOf(machine, companion); suspect == nil || suspect.Quarantined {
			t.Errorf("companion %d: %+v", companion, suspect)
		}
	}
}

// crashWithParts records a crash under a request with the given prompt parts.
func crashWithParts(machine string, number int, parts ...string) *wirepb.Command {
	command := crash(machine, number)
	for _, part := range parts {
		record := command.GetRecordCrash()
		record.Parts = append(record.Parts, &wirepb.SuspectPart{Part: part, Route: "r", Tenant: "t"})
	}
	return command
}

func partSuspect(machine *Machine, part string) *v1.SuspectSpec {
	spec, _ := machine.Spec(v1.KindSuspect, quarantine.PartIdentity(part).String()).(*v1.SuspectSpec)
	return spec
}

// TestCrashesQuarantineAPromptPart guards against counting the crashes of each request by itself, although all of
// them share a prompt part.
func TestCrashesQuarantineAPromptPart(t *testing.T) {
	machine := New()
	raise(t, machine, level.PromptParts)
	for number := range quarantine.PartThreshold {
		if suspect := partSuspect(machine, "harmful"); suspect != nil && suspect.Quarantined {
			t.Errorf("quarantined after %d crashes", number)
		}
		name := fmt.Sprintf("i-%d", number)
		for range 2 { // Two routers had requests there.
			applied(t, machine, crashWithParts(name, number, "harmful", fmt.Sprintf("other-%d", number)))
		}
	}
	suspect := partSuspect(machine, "harmful")
	if suspect == nil || !suspect.Quarantined || suspect.PromptPart != "harmful" || len(suspect.Machines) != quarantine.PartThreshold || suspect.Route != "r" {
		t.Errorf("after %d crashes: %+v", quarantine.PartThreshold, suspect)
	}
	if other := partSuspect(machine, "other-0"); other == nil || other.Quarantined {
		t.Errorf("a part that was on one machine: %+v", other)
	}
	data, err := machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(data); err != nil || partSuspect(restored, "harmful") == nil || !partSuspect(restored, "harmful").Quarantined {
		t.Errorf("restored as %+v (%v)", partSuspect(restored, "harmful"), err)
	}
}

// TestPromptPartsBelowLevel guards against records that members of an earlier release can't decode.
func TestPromptPartsBelowLevel(t *testing.T) {
	machine := New()
	raise(t, machine, level.PromptParts-1)
	applied(t, machine, crashWithParts("i-1", 1, "harmful"))
	if suspectOf(machine, 1) == nil || partSuspect(machine, "harmful") != nil {
		t.Errorf("the request is recorded as %+v, the part as %+v", suspectOf(machine, 1), partSuspect(machine, "harmful"))
	}
}

func TestCompletionDeletesTheRecord(t *testing.T) {
	machine := New()
	applied(t, machine, crash("i-1", 1))
	applied(t, machine, crash("i-2", 1))
	identity := identityFor(1)
	clearing := &wirepb.Command{Body: &wirepb.Command_ClearSuspects{ClearSuspects: &wirepb.ClearSuspectsCommand{
		Identities: [][]byte{identity[:], identity[:]},
	}}}
	for range 2 {
		if result := applied(t, machine, clearing); result.GetCode() != wirepb.ResultCode_RESULT_CODE_OK {
			t.Errorf("%v", result)
		}
		if suspect := suspectOf(machine, 1); suspect != nil {
			t.Errorf("record still exists: %+v", suspect)
		}
	}
}

func TestInvalidIdentitiesAreRejected(t *testing.T) {
	machine := New()
	short := [][]byte{{1, 2, 3}}
	commands := []*wirepb.Command{
		{Body: &wirepb.Command_RecordCrash{RecordCrash: &wirepb.RecordCrashCommand{Machine: "i-1", Requests: []*wirepb.SuspectRequest{{Identity: short[0]}}}}},
		{Body: &wirepb.Command_ClearSuspects{ClearSuspects: &wirepb.ClearSuspectsCommand{Identities: short}}},
	}
	for _, command := range commands {
		result := applied(t, machine, command)
		if result.GetCode() != wirepb.ResultCode_RESULT_CODE_INVALID || result.GetWrite().GetField() != "identity" || machine.Revision() != 0 {
			t.Errorf("%v at revision %d", result, machine.Revision())
		}
	}
}

// TestSuspectsDoNotEvictQuarantined checks that a caller that varies its request does not evict
// quarantined ones.
func TestSuspectsDoNotEvictQuarantined(t *testing.T) {
	machine := New()
	applied(t, machine, crash("i-1", 1))
	applied(t, machine, crash("i-2", 1))
	for number := 2; number < 2+2*MaxSuspects; number++ {
		applied(t, machine, crash(fmt.Sprintf("j-%d", number), number))
	}
	if suspect := suspectOf(machine, 1); suspect == nil || !suspect.Quarantined {
		t.Errorf("the quarantined record was evicted: %+v", suspect)
	}
	if held := len(machine.List(v1.KindSuspect)); held != MaxSuspects+1 {
		t.Errorf("%d records, want %d", held, MaxSuspects+1)
	}
	if suspectOf(machine, 2) != nil || suspectOf(machine, 1+2*MaxSuspects) == nil {
		t.Error("the oldest record was not the one evicted")
	}
}

func TestSnapshotKeepsQuarantine(t *testing.T) {
	machine := New()
	applied(t, machine, crash("i-1", 1, 2))
	applied(t, machine, crash("i-2", 1))
	encoded, err := machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(encoded); err != nil {
		t.Fatal(err)
	}
	if suspect := suspectOf(restored, 1); suspect == nil || !suspect.Quarantined {
		t.Errorf("restored as %+v", suspect)
	}
	again, err := restored.Snapshot()
	if err != nil || !bytes.Equal(encoded, again) {
		t.Errorf("the restored state differs (%v)", err)
	}
}

// TestDeclarationKeepsQuarantine checks that a document replaces only objects of documents.
func TestDeclarationKeepsQuarantine(t *testing.T) {
	machine := New()
	applied(t, machine, crash("i-1", 1))
	applied(t, machine, crash("i-2", 1))
	applied(t, machine, &wirepb.Command{Body: &wirepb.Command_Declare{Declare: &wirepb.DeclareCommand{Version: 1, Document: []byte("{}")}}})
	if suspect := suspectOf(machine, 1); suspect == nil || !suspect.Quarantined {
		t.Errorf("after a declaration: %+v", suspect)
	}
}

// BenchmarkSuspectMemory measures the memory of the maximum number of records on a control node:
// objects and decoded specs.
func BenchmarkSuspectMemory(b *testing.B) {
	for b.Loop() {
		before := heapInUse()
		machine := New()
		for first := 0; first < MaxSuspects+MaxQuarantined; first += 64 {
			numbers := make([]int, 64)
			for position := range numbers {
				numbers[position] = first + position
			}
			applyForBenchmark(b, machine, crash(fmt.Sprintf("i-%010d", first), numbers...))
			if first < MaxQuarantined {
				applyForBenchmark(b, machine, crash(fmt.Sprintf("j-%010d", first), numbers...))
			}
		}
		machine.events = nil
		b.ReportMetric(float64(heapInUse()-before), "bytes-held")
		runtime.KeepAlive(machine)
	}
}

func applyForBenchmark(b *testing.B, machine *Machine, command *wirepb.Command) {
	encoded, err := proto.Marshal(command)
	if err != nil {
		b.Fatal(err)
	}
	machine.Apply(encoded)
}

func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
