package nodeview

import (
	"encoding/json"
	"flag"
	"maps"
	"os"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// TestMain sets a fixed seed for reproducible results.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var testPosition = places.Location{Zone: "za", Zones: places.NewZoneMap(map[string]string{"za": "a", "zb": "b"})}

// The counts by region must match the machines after random changes.
func TestHasMachineInAfterRandomChanges(t *testing.T) {
	phases := []v1.MachinePhase{v1.MachineLive, v1.MachineLost, v1.MachineGone}
	rapid.Check(t, func(t *rapid.T) {
		view := NewAt(testPosition)
		present := map[string]v1.MachineSpec{}
		for revision := range uint64(rapid.IntRange(1, 20).Draw(t, "events")) {
			name := "m" + strconv.Itoa(rapid.IntRange(0, 3).Draw(t, "machine"))
			spec := v1.MachineSpec{
				Endpoint: "http://10.0.0.1:80", Slots: 1, Pool: rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool"),
				Zone: rapid.SampledFrom([]string{"za", "zb", "nowhere"}).Draw(t, "zone"),
			}
			status := v1.MachineStatus{Phase: rapid.SampledFrom(phases).Draw(t, "phase")}
			deleted := rapid.Bool().Draw(t, "deleted")
			delete(present, name)
			if !deleted && status.Phase != v1.MachineGone {
				present[name] = spec
			}
			encodedSpec, _ := json.Marshal(spec)
			encodedStatus, _ := json.Marshal(status)
			object := &wirepb.Object{Kind: string(v1.KindMachine), Name: name, Revision: revision + 1, Spec: encodedSpec, Status: encodedStatus}
			view.Apply(feed.Changes{Revision: revision + 1, Events: []*wirepb.WatchEvent{{Object: object, Deleted: deleted}}})
			for _, pool := range []string{"p", "q"} {
				for _, allowed := range []places.Constraint{{}, places.RestrictTo("a"), places.RestrictTo("b"), places.RestrictTo("a", "b")} {
					want := false
					for machine := range maps.Values(present) {
						want = want || machine.Pool == pool && allowed.Allows(testPosition.Zones.Region(machine.Zone))
					}
					if view.HasMachineIn(pool, allowed) != want {
						t.Fatalf("HasMachineIn(%s, %q) = %t", pool, allowed.Key(), !want)
					}
				}
			}
		}
	})
}

// After random changes, MayServe must match the regions of the machine and of all live machines at its
// endpoint.
func TestMayServeAfterRandomChanges(t *testing.T) {
	phases := []v1.MachinePhase{v1.MachineLive, v1.MachineLost}
	endpoints := []string{"http://10.0.0.1:80", "http://10.0.0.2:80"}
	rapid.Check(t, func(t *rapid.T) {
		view := NewAt(testPosition)
		present := map[string]v1.MachineSpec{}
		live := map[string]bool{}
		for revision := range uint64(rapid.IntRange(1, 20).Draw(t, "events")) {
			changed := "m" + strconv.Itoa(rapid.IntRange(0, 3).Draw(t, "machine"))
			spec := v1.MachineSpec{
				Endpoint: rapid.SampledFrom(endpoints).Draw(t, "endpoint"), Slots: 1, Pool: "p",
				Zone: rapid.SampledFrom([]string{"za", "zb", "nowhere"}).Draw(t, "zone"),
			}
			status := v1.MachineStatus{Phase: rapid.SampledFrom(phases).Draw(t, "phase")}
			deleted := rapid.Bool().Draw(t, "deleted")
			delete(present, changed)
			if !deleted {
				present[changed], live[changed] = spec, status.Phase == v1.MachineLive
			}
			encodedSpec, _ := json.Marshal(spec)
			encodedStatus, _ := json.Marshal(status)
			object := &wirepb.Object{Kind: string(v1.KindMachine), Name: changed, Revision: revision + 1, Spec: encodedSpec, Status: encodedStatus}
			view.Apply(feed.Changes{Revision: revision + 1, Events: []*wirepb.WatchEvent{{Object: object, Deleted: deleted}}})
			allowed := places.RestrictTo("a")
			for name, own := range present {
				for _, endpoint := range endpoints {
					want := allowed.Allows(testPosition.Zones.Region(own.Zone))
					for other, machine := range present {
						shared := other != name && live[other] && machine.Endpoint == endpoint
						want = want && (!shared || allowed.Allows(testPosition.Zones.Region(machine.Zone)))
					}
					if view.MayServe(name, endpoint, allowed) != want {
						t.Fatalf("MayServe(%s, %s) = %t", name, endpoint, !want)
					}
				}
			}
		}
	})
}
