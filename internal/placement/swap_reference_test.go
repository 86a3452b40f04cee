package placement

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/keepalive"
)

// TestMain fixes the random seed, so that results are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// referenceOption is a straightforward implementation of cheapestOption without caching or early
// exits.
func referenceOption(p *pass, pending pendingReplica) *placementOption {
	var best *placementOption
	for _, name := range p.schedulableMachines() {
		candidate := p.machines[name]
		if !candidate.canHost(pending.version) || candidate.hasReplica(pending.version.Name) || candidate.isReservedForOthers(pending.version) {
			continue
		}
		option := referenceOptionOn(p, pending, candidate)
		if option != nil && (best == nil || option.cost < best.cost) {
			best = option
		}
	}
	return best
}

func referenceOptionOn(p *pass, pending pendingReplica, candidate *machineState) *placementOption {
	spec := pending.version.Spec
	option := &placementOption{state: candidate, tier: candidate.machine.tierOf(spec.Checkpoint)}
	if option.tier == TierRemote && pending.isProactive() && referenceIsCached(p, pending.version) {
		return nil
	}
	option.readyIn = referenceOrderDelay(p, pending, candidate) + p.loadTime(pending.version, option.tier)
	if option.tier == TierRemote {
		option.readyIn += p.planner.store.queueDelay(p.storeQueue, p.storeLoads, p.loadTime(pending.version, TierRemote))
	}
	if fit(candidate.freeBytes, candidate.replicaCounts, spec.Accelerators, spec.BytesPerAccelerator()) == nil {
		if pending.isProactive() {
			return nil
		}
		victims, lost := p.victimsOn(pending, candidate)
		if victims == nil || !p.isEvictionWorthwhile(pending, victims) {
			return nil
		}
		option.victims = victims
		option.readyIn += evictionTime
		option.cost += lost
	}
	option.cost += option.readyIn.Seconds() * pending.version.ColdStartWeight * max(1, pending.value)
	if pool := spec.Pool; p.distribution.total[pool] != 0 {
		option.cost += candidate.workRate / p.distribution.fairShare(pool) * p.loadTime(pending.version, TierDisk).Seconds() * pending.version.ColdStartWeight
	}
	option.cost += referenceCrossRegionDelay(p, pending, candidate) * pending.version.ColdStartWeight * max(1, pending.value)
	return option
}

// referenceCrossRegionDelay returns the cross-region penalty of a machine in seconds.
func referenceCrossRegionDelay(p *pass, pending pendingReplica, candidate *machineState) float64 {
	demand := p.input.Demand[pending.version.Name]
	if demand == nil {
		return 0
	}
	unserved := func(region string) float64 {
		served := 1.0
		for _, replica := range p.byVersion[pending.version.Name] {
			if machine := p.input.Machines[replica.Spec.Machine]; machine.Schedulable && machine.Region == region {
				served++
			}
		}
		return demand.Regions[region] / served
	}
	total := 0.0
	for region := range demand.Regions {
		total += unserved(region)
	}
	if total == 0 {
		return 0
	}
	return crossRegionDelay.Seconds() * (1 - unserved(candidate.machine.Region)/total)
}

func referenceIsCached(p *pass, version *Version) bool {
	for _, machine := range p.input.Machines {
		if machine.Schedulable && machine.Pool == version.Spec.Pool && machine.tierOf(version.Spec.Checkpoint) != TierRemote {
			return true
		}
	}
	return false
}

func referenceBestLoadTime(p *pass, version *Version) time.Duration {
	best := p.loadTime(version, TierRemote)
	for _, machine := range p.input.Machines {
		if machine.Schedulable && machine.Pool == version.Spec.Pool {
			best = min(best, p.loadTime(version, machine.tierOf(version.Spec.Checkpoint)))
		}
	}
	return best
}

func referenceOrderDelay(p *pass, pending pendingReplica, candidate *machineState) time.Duration {
	total := p.queuedLoadTime(candidate)
	for _, replica := range candidate.replicas {
		if (replica.Spec.Phase == v1.ReplicaUnloading || p.changed[replica]) && replica.Spec.Phase != v1.ReplicaLoading {
			total += evictionTime
		}
	}
	planned := candidate.pendingLoads
	for _, promised := range candidate.reservedFor {
		if promised == pending.version.Name {
			planned--
			break
		}
	}
	return total + time.Duration(planned)*p.loadTime(pending.version, TierDisk)
}

// drawFleet generates a fleet with two pools, cached checkpoints, replicas in all phases, and
// demand.
func drawFleet(t *rapid.T) *Input {
	const weights = 70 * gibibyte
	input := &Input{
		Now: time.Unix(1_000_000, 0), Versions: map[string]*Version{}, Machines: map[string]*Machine{}, Demand: map[string]*Demand{},
		StoreLoadsPerSecond: 4, StoreConcurrentLoads: 4,
	}
	machines, models := rapid.IntRange(1, 12).Draw(t, "machines"), rapid.IntRange(1, 10).Draw(t, "models")
	pool := func(number int) string { return []string{"pool-a", "pool-b"}[number%2] }
	name := func(number int) string { return fmt.Sprintf("model-%d", number) }
	for number := range models {
		input.Versions[name(number)] = &Version{
			Name: name(number), MaxReplicas: machines, MinReplicas: rapid.IntRange(0, 1).Draw(t, "least"),
			ColdStartWeight: float64(rapid.IntRange(1, 20).Draw(t, "weight")),
			Spec: &v1.ModelVersionSpec{
				Model: name(number), Checkpoint: name(number), Accelerators: 1, WeightBytes: weights, MaxConcurrent: 8, Pool: pool(number),
			},
		}
		if rapid.Bool().Draw(t, "asked") {
			input.Demand[name(number)] = &Demand{
				Waiting: rapid.IntRange(0, 4).Draw(t, "waiting"), Running: rapid.IntRange(0, 20).Draw(t, "running"), Arrivals: 5,
				Work: uint64(rapid.IntRange(0, 50_000).Draw(t, "work")), FirstTokenTarget: time.Second, OldestWait: time.Second / 4,
				Regions: drawRegions(t),
			}
		}
	}
	phases := []v1.ReplicaPhase{v1.ReplicaReady, v1.ReplicaReady, v1.ReplicaReady, v1.ReplicaLoading, v1.ReplicaUnloading}
	for number := range machines {
		machine := &Machine{
			Name: fmt.Sprintf("machine-%02d", number), Accelerators: 1, AcceleratorBytes: int64(rapid.IntRange(1, 3).Draw(t, "places")) * weights,
			Incarnation: 1, Schedulable: rapid.IntRange(0, 5).Draw(t, "accepts") > 0, Tiers: map[string]Tier{}, Pool: pool(number),
			Region: rapid.SampledFrom([]string{"", "region-0", "region-1"}).Draw(t, "region"),
		}
		input.Machines[machine.Name] = machine
		for model := range models {
			if tier := rapid.SampledFrom([]Tier{TierRemote, TierRemote, TierDisk, TierMemory}).Draw(t, "tier"); tier != TierRemote {
				machine.Tiers[name(model)] = tier
			}
		}
		first := rapid.IntRange(0, models-1).Draw(t, "model")
		for position := range rapid.IntRange(0, int(machine.AcceleratorBytes/weights)).Draw(t, "loaded") {
			model := name((first + position) % models)
			phase := rapid.SampledFrom(phases).Draw(t, "phase")
			input.Replicas = append(input.Replicas, &Replica{
				Name: fmt.Sprintf("%s.%s.%d", model, machine.Name, position), Observed: true, EnginePhase: EngineReady,
				Spec: &v1.ReplicaSpec{
					Model: model, Version: model, Checkpoint: model, Machine: machine.Name, Incarnation: 1, Accelerators: []int{0},
					BytesPerAccelerator: weights, WeightBytes: weights, Phase: phase, Tier: string(TierDisk),
				},
			})
		}
	}
	return input
}

// drawRegions generates the regions of the demand, including one without machines.
func drawRegions(t *rapid.T) map[string]float64 {
	regions := map[string]float64{}
	for _, region := range []string{"region-0", "region-1", "region-2"} {
		if requests := rapid.IntRange(-2, 4).Draw(t, "from"); requests >= 0 {
			regions[region] = float64(requests)
		}
	}
	return regions
}

// TestCheapestOptionMatchesReference checks that caching and early exits do not change the choice.
func TestCheapestOptionMatchesReference(t *testing.T) {
	const tolerance = 1e-9
	rapid.Check(t, func(t *rapid.T) {
		input := drawFleet(t)
		planner := NewPlanner(Config{
			Speeds: DefaultTierSpeeds, StoreLoadsPerSecond: 4, StoreConcurrentLoads: 4, KeepAlive: keepalive.New("resident"),
		})
		planner.Decide(input)
		later := *input
		later.Now = input.Now.Add(time.Second)
		for _, demand := range input.Demand {
			demand.Work *= 2
		}
		current := planner.newPass(&later)
		current.buildMachineStates()
		current.reconcile()
		current.observeUse()
		current.computeDistribution()
		current.retire()
		current.trackReservations()
		for _, pending := range current.pendingReplicas() {
			if best, reference := current.bestLoadTime(pending.version), referenceBestLoadTime(current, pending.version); best != reference {
				t.Fatalf("%s is loaded in %s at best, not in %s", pending.version.Name, reference, best)
			}
			chosen, reference := current.cheapestOption(pending), referenceOption(current, pending)
			if (chosen == nil) != (reference == nil) {
				t.Fatalf("%s: chosen %+v, reference %+v", pending.version.Name, chosen, reference)
			}
			if chosen != nil && math.Abs(chosen.cost-reference.cost) > tolerance*math.Max(1, reference.cost) {
				t.Fatalf("%s: on %s at %v, reference on %s at %v", pending.version.Name,
					chosen.state.machine.Name, chosen.cost, reference.state.machine.Name, reference.cost)
			}
			current.placeOnRegistered(pending)
		}
	})
}
