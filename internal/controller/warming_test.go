package controller

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/instances"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/warming"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

func put(t *testing.T, machine *state.Machine, kind v1.Kind, name string, spec any) {
	t.Helper()
	encoded, err := json.Marshal(spec)
	if err != nil {
		t.Fatal(err)
	}
	object := &wirepb.Object{Kind: string(kind), Name: name, Spec: encoded}
	data, err := proto.Marshal(&wirepb.Command{Body: &wirepb.Command_Write{Write: &wirepb.WriteCommand{Writes: []*wirepb.ObjectWrite{{Object: object}}}}})
	if err != nil {
		t.Fatal(err)
	}
	if result := machine.Apply(data); result.GetCode() != wirepb.ResultCode_RESULT_CODE_OK {
		t.Fatal(result.GetMessage())
	}
}

// warmingFleet returns a fleet in a pool whose machines warm up.
func warmingFleet(t *testing.T) *state.Machine {
	t.Helper()
	stored := fleetState(t)
	put(t, stored, v1.KindPool, "pool", &v1.PoolSpec{
		Engine:  &v1.EngineSpec{Slots: 4, MemoryBytes: 100, AdapterSlots: 2},
		Warming: &v1.WarmingSpec{RequestsPerSecond: 5},
	})
	return stored
}

// A machine's warm-up must be published soon after a change, and as unknown before its first report and
// between a drain of its zone and its next report.
func TestDigestHasWarmingMachines(t *testing.T) {
	stored := warmingFleet(t)
	leader := New(0, Config{}, NewReportTable())
	entries := map[string]instances.Entry{}
	report := func(now time.Duration, warmingMs uint32) {
		entries["m"] = instances.Entry{Received: now, Report: &wirepb.InstanceReport{Machine: "m", WarmingMs: warmingMs}}
	}
	for _, step := range []struct {
		name   string
		at     time.Duration
		change func(now time.Duration)
		units  []byte
	}{
		{"no report", time.Second, func(time.Duration) {}, []byte{warming.UnitsUnknown}},
		{"warm, published soon", 1100 * time.Millisecond, func(now time.Duration) { report(now, 0) }, nil},
		{"warming up, published soon", 1200 * time.Millisecond, func(now time.Duration) { report(now, 950) }, []byte{10}},
		{"remaining time decreases", 1700 * time.Millisecond, func(time.Duration) {}, []byte{5}},
		{"drained", 1800 * time.Millisecond, func(time.Duration) {
			put(t, stored, v1.KindZoneDrain, "z", &v1.ZoneDrainSpec{Drained: true})
		}, []byte{warming.UnitsUnknown}},
		{"report while drained", 2300 * time.Millisecond, func(now time.Duration) { report(now, 0) }, []byte{warming.UnitsUnknown}},
		{"drain ended", 2900 * time.Millisecond, func(time.Duration) {
			put(t, stored, v1.KindZoneDrain, "z", &v1.ZoneDrainSpec{})
		}, []byte{warming.UnitsUnknown}},
		{"report after the drain", 3 * time.Second, func(now time.Duration) { report(now, 0) }, nil},
	} {
		step.change(step.at)
		leader.Observe(stored)
		leader.ObserveWarming(step.at, func() map[string]instances.Entry { return entries })
		digest := leader.Digest(step.at, stored.Revision())
		if digest == nil || !bytes.Equal(digest.GetMachineWarming(), step.units) {
			t.Errorf("%s: warm-up units %v, want %v", step.name, digest.GetMachineWarming(), step.units)
		}
	}
}

// Placement gets the remaining warm-up time of a machine and the rate of its pool.
func TestPlacementReducesWarmingMachines(t *testing.T) {
	const now = time.Minute
	stored := warmingFleet(t)
	leader := New(0, Config{}, NewReportTable())
	leader.Observe(stored)
	entries := map[string]instances.Entry{"m": {Received: now, Report: &wirepb.InstanceReport{Machine: "m", WarmingMs: 3000}}}
	leader.ObserveWarming(now, func() map[string]instances.Entry { return entries })
	input := leader.placementInput(leader.view(now+time.Second), time.Unix(60, 0))
	if machine := input.Machines["m"]; machine.ReducedFor != 2*time.Second || machine.ReducedRate != 5 {
		t.Errorf("placement has a reduction for %s to %.1f requests per second", machine.ReducedFor, machine.ReducedRate)
	}
}

// The machines' reports must not be read if no pool declares a warm-up.
func TestReportsNotReadWithoutWarmingPools(t *testing.T) {
	leader := New(0, Config{}, NewReportTable())
	leader.Observe(fleetState(t))
	leader.ObserveWarming(time.Second, func() map[string]instances.Entry {
		t.Error("the machines' reports were read")
		return nil
	})
}
