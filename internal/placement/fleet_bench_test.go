package placement

import (
	"fmt"
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/keepalive"
)

// registeredFleet is a pool of machines with memory for two models each, half of which hold one.
// The work of the 334 models follows a Zipf distribution, and requests wait for a third of them.
func registeredFleet(machines int) *Input {
	const (
		models        = 334
		cachedOnDisk  = 7
		waitingEvery  = 3
		busiestWork   = 40_000.0
		machineMemory = 200 * gibibyte
		weights       = 70 * gibibyte
	)
	input := &Input{
		Now: time.Unix(1_000_000, 0), Versions: map[string]*Version{}, Machines: map[string]*Machine{}, Demand: map[string]*Demand{},
		StoreLoadsPerSecond: 20, StoreConcurrentLoads: 30,
	}
	name := func(number int) string { return fmt.Sprintf("model-%04d.v1", number%models) }
	for number := range models {
		input.Versions[name(number)] = &Version{
			Name: name(number), MaxReplicas: machines, ColdStartWeight: 1,
			Spec: &v1.ModelVersionSpec{
				Model: name(number), Checkpoint: name(number), Accelerators: 1, WeightBytes: weights, MaxConcurrent: 32, Pool: "pool",
			},
		}
		demand := &Demand{Running: 4, Arrivals: 100, Work: uint64(busiestWork / float64(number+1)), FirstTokenTarget: 3 * time.Second}
		if number%waitingEvery == 0 {
			demand.Waiting, demand.OldestWait = 2, 300*time.Millisecond
		}
		input.Demand[name(number)] = demand
	}
	for number := range machines {
		machine := &Machine{
			Name: fmt.Sprintf("machine-%04d", number), Zone: fmt.Sprintf("zone-%d", number%4), Accelerators: 1, AcceleratorBytes: machineMemory,
			Incarnation: 1, Schedulable: true, Tiers: map[string]Tier{}, Pool: "pool",
		}
		for cached := range cachedOnDisk {
			machine.Tiers[name(number*cachedOnDisk+cached)] = TierDisk
		}
		input.Machines[machine.Name] = machine
		if number%2 == 0 {
			continue
		}
		input.Replicas = append(input.Replicas, &Replica{
			Name: name(number) + "." + machine.Name, Observed: true, EnginePhase: EngineReady,
			Spec: &v1.ReplicaSpec{
				Model: name(number), Version: name(number), Checkpoint: name(number), Machine: machine.Name, Incarnation: 1,
				Accelerators: []int{0}, BytesPerAccelerator: weights, WeightBytes: weights, Phase: v1.ReplicaReady,
			},
		})
	}
	return input
}

// decideTwice returns the decision of the second pass, which knows the rates of work.
func decideTwice(input *Input) Decision {
	planner := NewPlanner(Config{
		Speeds: DefaultTierSpeeds, StoreLoadsPerSecond: 100, StoreConcurrentLoads: 100, KeepAlive: keepalive.NewAdaptive(),
	})
	work := map[string]uint64{}
	for name, demand := range input.Demand {
		work[name] = demand.Work
		demand.Work = 0
	}
	planner.Decide(input)
	later := *input
	later.Now = input.Now.Add(time.Second)
	for name, demand := range input.Demand {
		demand.Work = work[name]
	}
	return planner.Decide(&later)
}

// BenchmarkDecideRegistered measures two passes over a fleet of registered machines.
func BenchmarkDecideRegistered(b *testing.B) {
	for _, machines := range []int{100, 300, 1000, 3000} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			input := registeredFleet(machines)
			b.ReportAllocs()
			for b.Loop() {
				decision := decideTwice(input)
				b.ReportMetric(float64(len(decision.Actions)), "actions")
			}
		})
	}
}
