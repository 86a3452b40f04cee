package placement

import (
	"fmt"
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/keepalive"
)

const gibibyte = 1 << 30

// largeFleet has 890 models on 1,100 machines with 8 accelerators each. Every third model is
// loaded.
func largeFleet() *Input {
	const models, machines = 890, 1100
	input := &Input{
		Now: time.Unix(1_000_000, 0), Versions: map[string]*Version{}, Machines: map[string]*Machine{}, Demand: map[string]*Demand{},
	}
	for number := range machines {
		name := fmt.Sprintf("machine-%04d", number)
		input.Machines[name] = &Machine{
			Name: name, Zone: fmt.Sprintf("zone-%02d", number%24), Accelerators: 8, AcceleratorBytes: 80 * gibibyte,
			Incarnation: 1, Schedulable: true, Tiers: map[string]Tier{},
		}
	}
	for number := range models {
		name := fmt.Sprintf("model-%04d.v1", number)
		input.Versions[name] = &Version{
			Name: name, MaxReplicas: 2, ColdStartWeight: 60,
			Spec: &v1.ModelVersionSpec{
				Model: name, Checkpoint: name, Accelerators: 1 + number%4, WeightBytes: 40 * gibibyte, CacheBytes: 10 * gibibyte, MaxConcurrent: 16,
			},
		}
		machine := fmt.Sprintf("machine-%04d", number)
		input.Machines[machine].Tiers[name] = TierDisk
		if number%3 != 0 {
			continue
		}
		input.Replicas = append(input.Replicas, &Replica{
			Name: name + ".1", Observed: true, EnginePhase: EngineReady,
			Spec: &v1.ReplicaSpec{
				Model: name, Version: name, Machine: machine, Incarnation: 1, Accelerators: []int{0},
				BytesPerAccelerator: 50 * gibibyte, Phase: v1.ReplicaReady,
			},
		})
	}
	return input
}

func benchmarkDecide(b *testing.B, waiting int) {
	input := largeFleet()
	for number := range waiting {
		input.Demand[fmt.Sprintf("model-%04d.v1", 3*number+1)] = &Demand{Waiting: 1, Arrivals: 1, OldestWait: time.Second}
	}
	planner := NewPlanner(Config{
		Speeds: DefaultTierSpeeds, StoreLoadsPerSecond: 100, StoreConcurrentLoads: 100, KeepAlive: keepalive.NewAdaptive(),
	})
	b.ReportAllocs()
	for b.Loop() {
		planner.Decide(input)
	}
}

// BenchmarkDecideRemembered measures a pass without waiting requests, with a history of use at this
// time of day for every version.
func BenchmarkDecideRemembered(b *testing.B) {
	input := largeFleet()
	policy := keepalive.NewAdaptive()
	for version := range input.Versions {
		policy.RecordUse(version, input.Now.Add(-24*time.Hour))
	}
	planner := NewPlanner(Config{
		Speeds: DefaultTierSpeeds, StoreLoadsPerSecond: 100, StoreConcurrentLoads: 100, KeepAlive: policy,
	})
	b.ReportAllocs()
	for b.Loop() {
		planner.Decide(input)
	}
}

// BenchmarkDecideIdle measures a pass without waiting requests.
func BenchmarkDecideIdle(b *testing.B) { benchmarkDecide(b, 0) }

// BenchmarkDecideOne measures a pass with one cold model.
func BenchmarkDecideOne(b *testing.B) { benchmarkDecide(b, 1) }

// BenchmarkDecideBurst measures a pass with a burst of requests for 60 cold models.
func BenchmarkDecideBurst(b *testing.B) { benchmarkDecide(b, 60) }
