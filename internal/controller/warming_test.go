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

// put applies a write of an object.
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

// warmingFleet is a fleet whose pool's machines warm up.
func warmingFleet(t *testing.T) *state.Machine {
	t.Helper()
	stored := fleetState(t)
	put(t, stored, v1.KindPool, "pool", &v1.PoolSpec{
		Engine:  &v1.EngineSpec{Slots: 4, MemoryBytes: 100, AdapterSlots: 2},
		Warming: &v1.WarmingSpec{RequestsPerSecond: 5},
	})
	return stored
}

// TestDigestTellsOfWarmingMachines: what a machine said of itself goes out with the next digest,
// soon after it has changed; until it has said anything, and from the end of its zone's drain to
// its next report, nobody vouches for it.
func TestDigestTellsOfWarmingMachines(t *testing.T) {
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
		{"nothing said", time.Second, func(time.Duration) {}, []byte{warming.UnitsUnknown}},
		{"warm, told soon", 1100 * time.Millisecond, func(now time.Duration) { report(now, 0) }, nil},
		{"warms up, told soon", 1200 * time.Millisecond, func(now time.Duration) { report(now, 950) }, []byte{10}},
		{"lowered by time", 1700 * time.Millisecond, func(time.Duration) {}, []byte{5}},
		{"drained", 1800 * time.Millisecond, func(time.Duration) {
			put(t, stored, v1.KindZoneDrain, "z", &v1.ZoneDrainSpec{Drained: true})
		}, []byte{warming.UnitsUnknown}},
		{"drained and heard", 2300 * time.Millisecond, func(now time.Duration) { report(now, 0) }, []byte{warming.UnitsUnknown}},
		{"the drain has ended", 2900 * time.Millisecond, func(time.Duration) {
			put(t, stored, v1.KindZoneDrain, "z", &v1.ZoneDrainSpec{})
		}, []byte{warming.UnitsUnknown}},
		{"heard since", 3 * time.Second, func(now time.Duration) { report(now, 0) }, nil},
	} {
		step.change(step.at)
		leader.Observe(stored)
		leader.ObserveWarming(step.at, func() map[string]instances.Entry { return entries })
		digest := leader.Digest(step.at, stored.Revision())
		if digest == nil || !bytes.Equal(digest.GetMachineWarming(), step.units) {
			t.Errorf("%s: %v, wanted %v", step.name, digest.GetMachineWarming(), step.units)
		}
	}
}

// TestPlacementHearsOfWarmingMachines: of those that told that they warm up, and of their pool's rate.
func TestPlacementHearsOfWarmingMachines(t *testing.T) {
	const now = time.Minute
	stored := warmingFleet(t)
	leader := New(0, Config{}, NewReportTable())
	leader.Observe(stored)
	entries := map[string]instances.Entry{"m": {Received: now, Report: &wirepb.InstanceReport{Machine: "m", WarmingMs: 3000}}}
	leader.ObserveWarming(now, func() map[string]instances.Entry { return entries })
	input := leader.placementInput(leader.view(now+time.Second), time.Unix(60, 0))
	if machine := input.Machines["m"]; machine.ReducedFor != 2*time.Second || machine.ReducedRate != 5 {
		t.Errorf("placement is told %s at %.1f a second", machine.ReducedFor, machine.ReducedRate)
	}
}

// TestNoMachineIsLookedAtWhereNoneWarmsUp: a fleet whose pools declare no warming costs its leader nothing
// for that in a pass.
func TestNoMachineIsLookedAtWhereNoneWarmsUp(t *testing.T) {
	leader := New(0, Config{}, NewReportTable())
	leader.Observe(fleetState(t))
	leader.ObserveWarming(time.Second, func() map[string]instances.Entry {
		t.Error("the machines' reports are gathered")
		return nil
	})
}
