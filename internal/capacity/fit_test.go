package capacity

import (
	"math"
	"testing"

	"github.com/weldline/weldline/internal/fault"
)

// TestFitFindsThePlane fits values that lie on a known plane.
func TestFitFindsThePlane(t *testing.T) {
	sizes := []Size{
		{Nodes: 10, Workers: 30, Models: 20, Adapters: 40},
		{Nodes: 100, Workers: 30, Models: 20, Adapters: 40},
		{Nodes: 10, Workers: 300, Models: 20, Adapters: 40},
		{Nodes: 10, Workers: 30, Models: 500, Adapters: 40},
		Target,
	}
	var results []Result
	for _, size := range sizes {
		cores := 0.01 + 0.0002*float64(size.Nodes) + 0.00003*float64(size.Workers) + 0.000001*size.objects()
		results = append(results, Result{Size: size, Phases: []Phase{{Name: "idle", Roles: []RoleCost{{Role: "relay", Cores: cores}}}}})
	}
	slopes, err := Fit(results)
	if err != nil {
		t.Fatal(err)
	}
	for _, slope := range slopes {
		if slope.Quantity != "processor" {
			continue
		}
		if math.Abs(slope.PerNode-0.02) > 1e-9 || math.Abs(slope.PerWorker-0.003) > 1e-9 || slope.WorstError > 1e-6 {
			t.Errorf("%+v", slope)
		}
		if math.Abs(slope.AtTarget-slope.Measured) > 1e-6 {
			t.Errorf("at the target %f, measured %f", slope.AtTarget, slope.Measured)
		}
	}
	if _, err := Fit(results[:3]); !fault.Is(err, fault.Invalid) || fault.FieldOf(err) != "results" {
		t.Errorf("too few runs: %v", err)
	}
}

// TestCostsAreByRole checks that the leader stands apart and that traffic of
// shared processes is left out.
func TestCostsAreByRole(t *testing.T) {
	fleet := &Fleet{Processes: []Process{
		{Name: "a", Role: "control", Nodes: 1}, {Name: "b", Role: "control", Nodes: 1}, {Name: "c", Role: "hollow", Nodes: 10},
	}}
	before, after := map[string]sample{}, map[string]sample{}
	for _, process := range fleet.Processes {
		before[process.Name] = sample{cpuSeconds: 1}
		after[process.Name] = sample{
			cpuSeconds: 3, residentBytes: 100,
			bytes:    map[string]map[string]float64{"sent": {"raft": 50}, "received": {}},
			messages: map[string]map[string]float64{"sent": {"raft": 5}, "received": {}},
		}
	}
	listed := costs(fleet, "a", before, after, 10e9)
	if len(listed) != 3 || listed[0].Role != "control-follower" || listed[1].Role != "control-leader" {
		t.Fatalf("%+v", listed)
	}
	if leader := listed[1]; leader.Cores != 0.2 || leader.SentBytes != 5 || leader.Kinds[0].SentMessages != 0.5 {
		t.Errorf("%+v", leader)
	}
	if hollow := listed[2]; hollow.Processes != 10 || hollow.Cores != 0.02 || hollow.SentBytes != 0 {
		t.Errorf("%+v", hollow)
	}
}
