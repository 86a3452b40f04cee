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

// TestMain fixes the seed, so that the verdict is the same on every run.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// referenceSwap looks at every machine of the fleet, and works everything out for each anew. It is
// what cheapestSwap is held against.
func referenceSwap(p *pass, entry want) *swap {
	var best *swap
	for _, name := range p.acceptingMachines() {
		candidate := p.machines[name]
		if !candidate.serves(entry.version) || candidate.hasReplica(entry.version.Name) || candidate.isPromisedToOthers(entry.version) {
			continue
		}
		option := referenceSwapOn(p, entry, candidate)
		if option != nil && (best == nil || option.cost < best.cost) {
			best = option
		}
	}
	return best
}

func referenceSwapOn(p *pass, entry want, candidate *room) *swap {
	spec := entry.version.Spec
	option := &swap{room: candidate, tier: candidate.machine.tierOf(spec.Checkpoint)}
	if option.tier == TierRemote && entry.isReserve() && referenceIsAtHand(p, entry.version) {
		return nil
	}
	option.readyIn = referenceOrdersTake(p, entry, candidate) + p.loadTime(entry.version, option.tier)
	if option.tier == TierRemote {
		option.readyIn += p.planner.store.delay(p.storeQueue, p.storeLoads, p.loadTime(entry.version, TierRemote))
	}
	if fit(candidate.free, candidate.holds, spec.Accelerators, spec.BytesPerAccelerator()) == nil {
		if entry.isReserve() {
			return nil
		}
		victims, lost := p.victimsOn(entry, candidate)
		if victims == nil || !p.paysToEvict(entry, victims) {
			return nil
		}
		option.victims = victims
		option.readyIn += evictionTakes
		option.cost += lost
	}
	option.cost += option.readyIn.Seconds() * entry.version.ColdStartWeight * max(1, entry.gain)
	if pool := spec.Pool; p.spread.total[pool] != 0 {
		option.cost += candidate.work / p.spread.evenShare(pool) * p.loadTime(entry.version, TierDisk).Seconds() * entry.version.ColdStartWeight
	}
	option.cost += referenceDetour(p, entry, candidate) * entry.version.ColdStartWeight * max(1, entry.gain)
	return option
}

// referenceDetour is by how much a replica on a machine is as if it were ready later.
func referenceDetour(p *pass, entry want, candidate *room) float64 {
	demand := p.input.Demand[entry.version.Name]
	if demand == nil {
		return 0
	}
	unserved := func(region string) float64 {
		served := 1.0
		for _, replica := range p.byVersion[entry.version.Name] {
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
	return regionDetour.Seconds() * (1 - unserved(candidate.machine.Region)/total)
}

func referenceIsAtHand(p *pass, version *Version) bool {
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

func referenceOrdersTake(p *pass, entry want, candidate *room) time.Duration {
	total := p.queued(candidate)
	for _, replica := range candidate.replicas {
		if (replica.Spec.Phase == v1.ReplicaUnloading || p.changed[replica]) && replica.Spec.Phase != v1.ReplicaLoading {
			total += evictionTakes
		}
	}
	planned := candidate.expected
	for _, promised := range candidate.promised {
		if promised == entry.version.Name {
			planned--
			break
		}
	}
	return total + time.Duration(planned)*p.loadTime(entry.version, TierDisk)
}

// drawFleet draws a fleet of two pools with models on disks and in memory, some loading, some
// unloading, and demand.
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
		for place := range rapid.IntRange(0, int(machine.AcceleratorBytes/weights)).Draw(t, "loaded") {
			model := name((first + place) % models)
			phase := rapid.SampledFrom(phases).Draw(t, "phase")
			input.Replicas = append(input.Replicas, &Replica{
				Name: fmt.Sprintf("%s.%s.%d", model, machine.Name, place), Observed: true, EnginePhase: EngineReady,
				Spec: &v1.ReplicaSpec{
					Model: model, Version: model, Checkpoint: model, Machine: machine.Name, Incarnation: 1, Accelerators: []int{0},
					BytesPerAccelerator: weights, WeightBytes: weights, Phase: phase, Tier: string(TierDisk),
				},
			})
		}
	}
	return input
}

// drawRegions draws where requests come from; regions that no machine is in are among them.
func drawRegions(t *rapid.T) map[string]float64 {
	regions := map[string]float64{}
	for _, region := range []string{"region-0", "region-1", "region-2"} {
		if requests := rapid.IntRange(-2, 4).Draw(t, "from"); requests >= 0 {
			regions[region] = float64(requests)
		}
	}
	return regions
}

// TestCheapestSwapIsTheReference: what is worked out once and left early changes no choice.
func TestCheapestSwapIsTheReference(t *testing.T) {
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
		current.open()
		current.reconcile()
		current.observeUse()
		current.openSpread()
		current.retire()
		current.expect()
		for _, entry := range current.wants() {
			if best, reference := current.bestLoadTime(entry.version), referenceBestLoadTime(current, entry.version); best != reference {
				t.Fatalf("%s is loaded in %s at best, not in %s", entry.version.Name, reference, best)
			}
			chosen, reference := current.cheapestSwap(entry), referenceSwap(current, entry)
			if (chosen == nil) != (reference == nil) {
				t.Fatalf("%s: chosen %+v, reference %+v", entry.version.Name, chosen, reference)
			}
			if chosen != nil && math.Abs(chosen.cost-reference.cost) > tolerance*math.Max(1, reference.cost) {
				t.Fatalf("%s: on %s at %v, reference on %s at %v", entry.version.Name,
					chosen.room.machine.Name, chosen.cost, reference.room.machine.Name, reference.cost)
			}
			current.placeOnRegistered(entry)
		}
	})
}
