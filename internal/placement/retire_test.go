package placement

import (
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/keepalive"
)

// fixedIndices is a policy with fixed indices.
type fixedIndices map[string]float64

func (i fixedIndices) Name() string                                             { return "indexed" }
func (i fixedIndices) RecordUse(string, time.Time)                              {}
func (i fixedIndices) PrewarmIndex(keepalive.VersionProfile, time.Time) float64 { return 0 }
func (i fixedIndices) Index(subject keepalive.VersionProfile, _ time.Duration, _ time.Time) float64 {
	return i[subject.Version]
}

// TestAcceleratorIsKeptByCombinedIndex has two idle replicas on one accelerator and one on another.
func TestAcceleratorIsKeptByCombinedIndex(t *testing.T) {
	cases := []struct {
		name    string
		indices fixedIndices
		running string
		unloads []string
	}{
		{"worth one together", fixedIndices{"a": 0.6, "b": 0.5, "c": 0.9}, "", []string{"c"}},
		{"worth less together", fixedIndices{"a": 0.4, "b": 0.5, "c": 1.1}, "", []string{"a", "b"}},
		{"a neighbour in use pays", fixedIndices{"a": 0, "b": 0, "c": 0}, "a", []string{"c"}},
		{"what must go goes", fixedIndices{"a": keepalive.Always, "b": keepalive.Never, "c": keepalive.Always}, "", []string{"b"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			planner := NewPlanner(Config{Speeds: DefaultTierSpeeds, StoreLoadsPerSecond: 1, StoreConcurrentLoads: 1, KeepAlive: test.indices})
			input := &Input{
				Now: time.Unix(1000, 0), Versions: map[string]*Version{}, Demand: map[string]*Demand{},
				Machines: map[string]*Machine{"m": {
					Name: "m", Accelerators: 2, AcceleratorBytes: 80 * gibibyte, Incarnation: 1, Schedulable: true,
				}},
			}
			for position, name := range []string{"a", "b", "c"} {
				input.Versions[name] = &Version{Name: name, Spec: &v1.ModelVersionSpec{Model: name, Accelerators: 1, WeightBytes: gibibyte}, MaxReplicas: 1}
				replica := &Replica{
					Name: name, Observed: true, EnginePhase: EngineReady,
					Spec: &v1.ReplicaSpec{
						Model: name, Version: name, Machine: "m", Incarnation: 1, Accelerators: []int{position / 2},
						BytesPerAccelerator: 30 * gibibyte, Phase: v1.ReplicaReady,
					},
				}
				if name == test.running {
					replica.Running = 1
				}
				input.Replicas = append(input.Replicas, replica)
			}
			var unloads []string
			for _, action := range planner.Decide(input).Actions {
				if action.Kind == ActionUnload {
					unloads = append(unloads, action.Replica.Name)
				}
			}
			if len(unloads) != len(test.unloads) {
				t.Fatalf("unloads %v, expected %v", unloads, test.unloads)
			}
			for position := range unloads {
				if unloads[position] != test.unloads[position] {
					t.Errorf("unloads %v, expected %v", unloads, test.unloads)
				}
			}
		})
	}
}
