package subset

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// twoRegions has the zones a1 and a2 in region a, and b1 in region b.
var twoRegions = places.NewZoneMap(map[string]string{"a1": "a", "a2": "a", "b1": "b"})

// eventSource creates change events with increasing revisions.
type eventSource struct {
	revision uint64
}

func (f *eventSource) event(kind v1.Kind, name, spec, status string, deleted bool) *wirepb.WatchEvent {
	f.revision++
	return &wirepb.WatchEvent{Deleted: deleted, Object: &wirepb.Object{
		Kind: string(kind), Name: name, Revision: f.revision, Spec: []byte(spec), Status: []byte(status),
	}}
}

func endpointOf(number int) string {
	return fmt.Sprintf("http://10.0.%d.%d:80", number/250, number%250)
}

func (f *eventSource) machine(name, zone, pool, endpoint string, accelerators int, phase v1.MachinePhase) *wirepb.WatchEvent {
	spec := fmt.Sprintf(`{"endpoint":%q,"zone":%q,"pool":%q,"accelerators":%d,"acceleratorBytes":100}`, endpoint, zone, pool, accelerators)
	return f.event(v1.KindMachine, name, spec, fmt.Sprintf(`{"phase":%q}`, phase), false)
}

func (f *eventSource) replica(name, version, machine string, phase v1.ReplicaPhase, adapters ...string) *wirepb.WatchEvent {
	spec := fmt.Sprintf(`{"model":"m","version":%q,"checkpoint":"c","machine":%q,"incarnation":1,"accelerators":[0],`+
		`"bytesPerAccelerator":1,"weightBytes":1,"cacheBytes":1,"maxConcurrent":8,"phase":%q}`, version, machine, phase)
	status := ""
	if len(adapters) > 0 {
		status = `{"adapters":["` + strings.Join(adapters, `","`) + `"]}`
	}
	return f.event(v1.KindReplica, name, spec, status, false)
}

func (f *eventSource) delete(kind v1.Kind, name string) *wirepb.WatchEvent {
	return f.event(kind, name, "", "", true)
}

// testNode is a node with a subset and the objects that it was sent.
type testNode struct {
	subset  *Subset
	objects map[state.Key]*wirepb.Object
}

func newTestNode(index *Index, zone string) *testNode {
	return &testNode{subset: index.Subset(places.Location{Zones: index.places, Zone: zone}), objects: map[state.Key]*wirepb.Object{}}
}

func (w *testNode) take(events []*wirepb.WatchEvent) {
	for _, event := range slices.Concat(w.subset.Filter(events), w.subset.Update()) {
		if key := state.KeyOf(event.GetObject()); event.GetDeleted() {
			delete(w.objects, key)
		} else {
			w.objects[key] = event.GetObject()
		}
	}
}

func (w *testNode) names() []string {
	var names []string
	for key := range w.objects {
		names = append(names, key.Name)
	}
	slices.Sort(names)
	return names
}

// TestSubset runs the scripts in testdata:
//
//	machines from=N to=N zone=Z pool=P [fixed] [phase=P] [endpoint=E]: adds machines m-N
//	replicas from=N to=N version=V [phase=P] [adapter=A]: adds replicas V-N on m-N
//	delete kind=K name=N
//	drain zone=Z | undrain zone=Z
//	watch zone=Z: creates a node and prints the objects it knows
//	raise version=V [adapter=A]: raises the node's limits
//	take: sends the changes to the node and prints the objects it knows
func TestSubset(t *testing.T) {
	datadriven.Walk(t, "testdata/subset", func(t *testing.T, path string) {
		index, source := NewIndex(twoRegions), &eventSource{}
		var node *testNode
		var pending []*wirepb.WatchEvent
		apply := func(events ...*wirepb.WatchEvent) string {
			index.Apply(events, source.revision, false)
			pending = append(pending, events...)
			return ""
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			argument := func(name, otherwise string) string {
				value := otherwise
				d.MaybeScanArgs(t, name, &value)
				return value
			}
			var from, to int
			d.MaybeScanArgs(t, "from", &from)
			d.MaybeScanArgs(t, "to", &to)
			switch d.Cmd {
			case "machines":
				accelerators := 1
				if d.HasArg("fixed") {
					accelerators = 0
				}
				for number := from; number <= to; number++ {
					name := fmt.Sprint("m-", number)
					apply(source.machine(name, argument("zone", ""), argument("pool", "p"), argument("endpoint", endpointOf(number)), accelerators, v1.MachinePhase(argument("phase", "Live"))))
				}
				return ""
			case "replicas":
				for number := from; number <= to; number++ {
					var adapters []string
					if d.HasArg("adapter") {
						adapters = []string{argument("adapter", "")}
					}
					version := argument("version", "")
					apply(source.replica(fmt.Sprint(version, "-", number), version, fmt.Sprint("m-", number), v1.ReplicaPhase(argument("phase", "Ready")), adapters...))
				}
				return ""
			case "delete":
				return apply(source.delete(v1.Kind(argument("kind", "")), argument("name", "")))
			case "drain", "undrain":
				return apply(source.event(v1.KindZoneDrain, argument("zone", ""), fmt.Sprintf(`{"drained":%t}`, d.Cmd == "drain"), "", false))
			case "watch":
				node, pending = newTestNode(index, argument("zone", "")), nil
				node.take(nil)
				return strings.Join(node.names(), " ")
			case "raise":
				return fmt.Sprint(node.subset.RaiseLimits(argument("version", ""), argument("adapter", "")))
			case "take":
				before := len(node.objects)
				sent := pending
				pending = nil
				node.take(sent)
				return fmt.Sprintf("%d objects, %d before: %s", len(node.objects), before, strings.Join(node.names(), " "))
			}
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		})
	})
}

// After random changes sent at random times, each node must hold the current objects, and enough usable
// members of each group with their machines.
func TestRandomChanges(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 11))
		index, source := NewIndex(twoRegions), &eventSource{}
		all := map[state.Key]*wirepb.Object{}
		zones := []string{"a1", "a2", "b1"}
		var nodes []*testNode
		var behind [][]*wirepb.WatchEvent
		for step := range 900 {
			event := randomChange(random, source, zones)
			if event.GetDeleted() {
				if all[state.KeyOf(event.GetObject())] == nil {
					continue
				}
				delete(all, state.KeyOf(event.GetObject()))
			} else {
				all[state.KeyOf(event.GetObject())] = event.GetObject()
			}
			index.Apply([]*wirepb.WatchEvent{event}, source.revision, false)
			for position := range behind {
				behind[position] = append(behind[position], event)
			}
			if step%300 == 0 {
				nodes, behind = append(nodes, newTestNode(index, zones[random.IntN(len(zones))])), append(behind, nil)
			}
			for position, node := range nodes {
				if random.IntN(8) > 0 {
					continue
				}
				if random.IntN(20) == 0 {
					node.subset.RaiseLimits(fmt.Sprint("v", random.IntN(4)), "a1")
				}
				node.take(behind[position])
				behind[position] = nil
				checkNode(t, seed, index, node, all)
			}
		}
	}
}

func randomChange(random *rand.Rand, source *eventSource, zones []string) *wirepb.WatchEvent {
	number := random.IntN(150)
	name := fmt.Sprint("m-", number)
	replica := fmt.Sprintf("r-%d-%d", number, random.IntN(2))
	phases := []v1.MachinePhase{v1.MachineLive, v1.MachineLive, v1.MachineLive, v1.MachineLost, v1.MachineLeaving, v1.MachineGone}
	switch draw := random.IntN(100); {
	case draw < 35:
		return source.machine(name, zones[number%len(zones)], "p", endpointOf(random.IntN(120)), number%2, phases[random.IntN(len(phases))])
	case draw < 80:
		version, adapters := fmt.Sprint("v", random.IntN(4)), []string{"a1", "a2"}[:random.IntN(3)]
		phase := []v1.ReplicaPhase{v1.ReplicaReady, v1.ReplicaReady, v1.ReplicaLoading}[random.IntN(3)]
		return source.replica(replica, version, name, phase, adapters...)
	case draw < 90:
		return source.delete(v1.KindReplica, replica)
	case draw < 97:
		return source.delete(v1.KindMachine, name)
	}
	return source.event(v1.KindZoneDrain, zones[random.IntN(len(zones))], fmt.Sprintf(`{"drained":%t}`, random.IntN(3) == 0), "", false)
}

func checkNode(t *testing.T, seed uint64, index *Index, node *testNode, all map[state.Key]*wirepb.Object) {
	t.Helper()
	for key, object := range node.objects {
		if all[key] != object {
			t.Fatalf("seed %d: node has %s %s at revision %d, which is not the current one", seed, key.Kind, key.Name, object.GetRevision())
		}
	}
	for key, g := range index.groups {
		known, usable := 0, 0
		for member, host := range g.members {
			if !index.isUsable(host) {
				continue
			}
			usable++
			if node.holds(index, g, member) {
				known++
			}
		}
		if want := min(usable, node.subset.limitOf(g)); known < want {
			t.Fatalf("seed %d: group %v: node knows %d of %d usable members, want %d", seed, key, known, usable, want)
		}
	}
}

func (w *testNode) holds(index *Index, g *group, member string) bool {
	for _, object := range index.objectsOf(g, member) {
		if w.objects[state.KeyOf(object)] == nil {
			return false
		}
	}
	return true
}

// newFleet returns a fleet with one of ten busy versions on each machine, and a number of versions with
// a single replica.
func newFleet(machines, rare int) (*Index, *eventSource) {
	index, source := NewIndex(twoRegions), &eventSource{}
	var events []*wirepb.WatchEvent
	for number := range machines {
		name := fmt.Sprint("m-", number)
		events = append(events, source.machine(name, []string{"a1", "a2"}[number%2], "p", endpointOf(number), 1, v1.MachineLive))
		events = append(events, source.replica(fmt.Sprint("busy-", number), fmt.Sprint("busy-", number/2%10), name, v1.ReplicaReady))
		if number < rare {
			events = append(events, source.replica(fmt.Sprint("rare-", number), fmt.Sprint("rare-", number), name, v1.ReplicaReady))
		}
	}
	index.Apply(events, source.revision, true)
	return index, source
}

// The objects known to a node must not grow with the number of machines.
func TestSubsetDoesNotGrowWithFleet(t *testing.T) {
	const busy, rare = 10, 100
	const most = 2*(busy*replicasPerVersion+rare) + enginesPerPool
	for _, machines := range []int{1000, 10_000, 20_000} {
		index, _ := newFleet(machines, rare)
		node := newTestNode(index, "a1")
		node.take(nil)
		if len(node.objects) > most {
			t.Errorf("with %d machines, a node has %d objects, more than %d", machines, len(node.objects), most)
		}
		for number := range rare {
			if node.objects[state.Key{Kind: v1.KindReplica, Name: fmt.Sprint("rare-", number)}] == nil {
				t.Fatalf("with %d machines, the only replica of version rare-%d is not known", machines, number)
			}
		}
	}
}

// The members examined after the loss of a machine must not grow with the fleet, except for one group
// that needs a new selection.
func TestUpdateCostDoesNotGrowWithFleet(t *testing.T) {
	examinedAfterLoss := func(machines int, known bool) int {
		index, source := newFleet(machines, 100)
		node := newTestNode(index, "a1")
		node.take(nil)
		number := 100 // Machines below have an additional version.
		for node.subset.KnowsMachine(fmt.Sprint("m-", number)) != known {
			number += 2 // Next machine of the same zone.
		}
		before := examined(index)
		event := source.machine(fmt.Sprint("m-", number), "a1", "p", endpointOf(number), 1, v1.MachineLost)
		index.Apply([]*wirepb.WatchEvent{event}, source.revision, false)
		node.take([]*wirepb.WatchEvent{event})
		return examined(index) - before
	}
	small, large := examinedAfterLoss(1000, false), examinedAfterLoss(10_000, false)
	if large > small {
		t.Errorf("a change of an unknown machine examines %d members with 1,000 machines, %d with 10,000", small, large)
	}
	if large := examinedAfterLoss(10_000, true); large > 2*10_000/10 {
		t.Errorf("the loss of a known machine examines %d members", large)
	}
}

func examined(index *Index) int {
	total := 0
	for _, g := range index.groups {
		total += g.examined
	}
	return total
}

// A subset that missed changes no longer remembered must examine all groups.
func TestSubsetWithMissedChangesExaminesAllGroups(t *testing.T) {
	index, source := newFleet(100, 10)
	node := newTestNode(index, "a1")
	node.take(nil)
	var events []*wirepb.WatchEvent
	for number := range maxRememberedChanges {
		name := fmt.Sprint("m-", number%50)
		events = append(events, source.machine(name, "a1", "p", endpointOf(number), 1, []v1.MachinePhase{v1.MachineLost, v1.MachineGone}[number/50%2]))
	}
	index.Apply(events, source.revision, false)
	node.take(events)
	if len(index.changed) > maxRememberedChanges {
		t.Errorf("%d changes are remembered", len(index.changed))
	}
	all := map[state.Key]*wirepb.Object{}
	for name, entry := range index.machines {
		all[state.Key{Kind: v1.KindMachine, Name: name}] = entry.object
	}
	for name, entry := range index.replicas {
		all[state.Key{Kind: v1.KindReplica, Name: name}] = entry.object
	}
	checkNode(t, 0, index, node, all)
	index.Apply(nil, source.revision, true)
	if !node.subset.Expired() {
		t.Error("subset is not expired after a reset")
	}
}
