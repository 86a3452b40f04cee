package nodeview

import (
	"testing"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/warming"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// The pool's settings determine whether a machine may warm up, and the newest change of the machine or
// its zone's drain determines the revision.
func TestMayWarmUpRevisions(t *testing.T) {
	warmsUp := &v1.PoolSpec{Warming: &v1.WarmingSpec{RequestsPerSecond: 5}}
	machine := &v1.MachineSpec{Endpoint: "http://10.0.0.1:80", Zone: "z", Pool: "pool", Slots: 4}
	phase := func(phase v1.MachinePhase) *v1.MachineStatus { return &v1.MachineStatus{Phase: phase} }
	view := New()
	for number, step := range []struct {
		what    string
		kind    v1.Kind
		name    string
		spec    v1.Spec
		status  *v1.MachineStatus
		deleted bool
		changed uint64
		may     bool
	}{
		{"a machine", v1.KindMachine, "m", machine, phase(v1.MachineLive), false, 0, false},
		{"its pool warms up", v1.KindPool, "pool", warmsUp, nil, false, 1, true},
		{"another pool", v1.KindPool, "other", &v1.PoolSpec{}, nil, false, 1, true},
		{"it is lost", v1.KindMachine, "m", machine, phase(v1.MachineLost), false, warming.UncoveredRevision, true},
		{"it is back", v1.KindMachine, "m", machine, phase(v1.MachineLive), false, 5, true},
		{"its zone is drained", v1.KindZoneDrain, "z", &v1.ZoneDrainSpec{Drained: true}, nil, false, warming.UncoveredRevision, true},
		{"the drain ends", v1.KindZoneDrain, "z", &v1.ZoneDrainSpec{}, nil, false, 7, true},
		{"another zone is drained", v1.KindZoneDrain, "y", &v1.ZoneDrainSpec{Drained: true}, nil, false, 7, true},
		{"it changes after the drain", v1.KindMachine, "m", machine, phase(v1.MachineLive), false, 9, true},
		{"its pool warms up no more", v1.KindPool, "pool", &v1.PoolSpec{}, nil, false, 0, false},
		{"and does again", v1.KindPool, "pool", warmsUp, nil, false, 9, true},
		{"it is gone", v1.KindMachine, "m", machine, nil, true, warming.UncoveredRevision, true},
		{"its pool is gone", v1.KindPool, "pool", warmsUp, nil, true, 0, false},
	} {
		object := &wirepb.Object{Kind: string(step.kind), Name: step.name, Revision: uint64(number + 1), Spec: encoded(t, step.spec)}
		if step.status != nil {
			object.Status = encoded(t, step.status)
		}
		view.Apply(feed.Changes{Events: []*wirepb.WatchEvent{{Object: object, Deleted: step.deleted}}, Revision: object.GetRevision()})
		changed, may := view.MayWarmUp("pool", "m")
		if changed != step.changed || may != step.may {
			t.Errorf("%s: changed at %d, may warm up %t", step.what, changed, may)
		}
		visited := map[string]uint64{}
		view.EachWarmUpCandidate(func(name string, at uint64) { visited[name] = at })
		isListed := may && !(step.deleted && step.kind == v1.KindMachine)
		if at, listed := visited["m"]; listed != isListed || listed && at != changed {
			t.Errorf("%s: visited %v", step.what, visited)
		}
	}
}
