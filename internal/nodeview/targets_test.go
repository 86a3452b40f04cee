package nodeview

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strconv"
	"testing"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// targetSimulation applies random changes of machines, replicas and zone drains.
type targetSimulation struct {
	t        *testing.T
	random   *rand.Rand
	revision uint64
	view     *View
}

func (c *targetSimulation) encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		c.t.Fatal(err)
	}
	return encoded
}

// event returns a random change or deletion of a machine, replica or zone drain.
func (c *targetSimulation) event() *wirepb.WatchEvent {
	object := &wirepb.Object{Revision: c.revision}
	machine := "m" + strconv.Itoa(c.random.IntN(6))
	zone := "z" + strconv.Itoa(c.random.IntN(3))
	if c.random.IntN(8) == 0 {
		object.Kind, object.Name = string(v1.KindZoneDrain), zone
		object.Spec = c.encode(&v1.ZoneDrainSpec{Drained: c.random.IntN(2) == 0})
	} else if c.random.IntN(3) == 0 {
		phases := []v1.MachinePhase{v1.MachineLive, v1.MachineLive, v1.MachineLost, v1.MachineLeaving, v1.MachineGone}
		spec := &v1.MachineSpec{Endpoint: "http://10.0.0.1:80", Zone: zone, Pool: "pool", Slots: 4, AcceleratorBytes: 100}
		spec.Accelerators = c.random.IntN(2)
		object.Kind, object.Name, object.Spec = string(v1.KindMachine), machine, c.encode(spec)
		object.Status = c.encode(&v1.MachineStatus{Phase: phases[c.random.IntN(len(phases))]})
	} else {
		phases := []v1.ReplicaPhase{v1.ReplicaReady, v1.ReplicaReady, v1.ReplicaLoading, v1.ReplicaUnloading}
		number := c.random.IntN(12)
		object.Kind, object.Name = string(v1.KindReplica), "r"+strconv.Itoa(number)
		object.Spec = c.encode(&v1.ReplicaSpec{
			Model: "m", Version: "v" + strconv.Itoa(number%4), Machine: "m" + strconv.Itoa(number%6), Phase: phases[c.random.IntN(len(phases))],
		})
		object.Status = c.encode(&v1.ReplicaStatus{Adapters: []string{"a" + strconv.Itoa(c.random.IntN(3))}})
	}
	return &wirepb.WatchEvent{Object: object, Deleted: c.random.IntN(6) == 0}
}

func (c *targetSimulation) step() {
	c.revision++
	changes := feed.Changes{Revision: c.revision, Reset: c.random.IntN(40) == 0}
	for range 1 + c.random.IntN(4) {
		changes.Events = append(changes.Events, c.event())
	}
	c.view.Apply(changes)
}

// drained returns the targets excluded by zone drains, and checks that no other target is in a drained
// zone.
func (c *targetSimulation) drained() map[string]bool {
	targets, drained := c.view.registeredTargets()
	for _, target := range targets {
		if c.view.ZoneDrained(target.Zone) {
			c.t.Errorf("%s is a target in the drained zone %s", target.Replica, target.Zone)
		}
	}
	names := map[string]bool{}
	for _, target := range drained {
		names[target.Replica] = true
	}
	return names
}

// The target changes, applied in order, must result in the list of all targets.
func TestTargetChangesMatchFullList(t *testing.T) {
	for seed := range uint64(30) {
		simulation := &targetSimulation{t: t, random: rand.New(rand.NewPCG(seed, 9)), view: New()}
		targets, drained := map[string]dispatch.Target{}, map[string]bool{}
		for number := range 400 {
			simulation.step()
			if simulation.random.IntN(3) == 0 {
				continue // Leave several changes for the next call.
			}
			changes := simulation.view.TakeTargetChanges()
			if changes.Full {
				clear(targets)
				clear(drained)
			}
			for _, target := range changes.Targets {
				targets[target.Replica] = target
				delete(drained, target.Replica)
			}
			for _, name := range changes.Removed {
				delete(targets, name)
				delete(drained, name)
			}
			for _, target := range changes.Drained {
				delete(targets, target.Replica)
				drained[target.Replica] = true
			}
			want := map[string]dispatch.Target{}
			for _, target := range simulation.view.RegisteredTargets() {
				want[target.Replica] = target
			}
			if !reflect.DeepEqual(targets, want) {
				t.Fatalf("seed %d, step %d: targets %v, want %v", seed, number, slices.Sorted(maps.Keys(targets)), slices.Sorted(maps.Keys(want)))
			}
			if excluded := simulation.drained(); !maps.Equal(drained, excluded) {
				t.Fatalf("seed %d, step %d: drained targets %v, want %v", seed, number, drained, excluded)
			}
		}
	}
}
