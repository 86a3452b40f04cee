package nodeview

import (
	"encoding/json"
	"testing"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// A reset of the view lists objects in any order. Machines in a drained zone must not become targets in
// between.
func TestDrainAppliesThroughReset(t *testing.T) {
	encode := func(value any) []byte {
		encoded, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		return encoded
	}
	machine := &wirepb.WatchEvent{Object: &wirepb.Object{
		Kind: string(v1.KindMachine), Name: "m", Revision: 1, Status: encode(&v1.MachineStatus{Phase: v1.MachineLive}),
		Spec: encode(&v1.MachineSpec{Endpoint: "http://10.0.0.1:80", Zone: "z", Pool: "pool", Slots: 4}),
	}}
	drain := &wirepb.WatchEvent{Object: &wirepb.Object{
		Kind: string(v1.KindZoneDrain), Name: "z", Revision: 2, Spec: encode(&v1.ZoneDrainSpec{Drained: true}),
	}}
	view := New()
	for revision, events := range [][]*wirepb.WatchEvent{{machine, drain}, {drain, machine}} {
		view.Apply(feed.Changes{Reset: true, Events: events, Revision: uint64(revision + 2)})
		if targets := view.RegisteredTargets(); len(targets) != 0 || !view.ZoneDrained("z") {
			t.Errorf("list %d: targets %v", revision, targets)
		}
	}
}
