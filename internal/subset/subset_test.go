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

// twoRegions has the zones a1 and a2 in one region and b1 in another.
var twoRegions = places.NewZoneMap(map[string]string{"a1": "a", "a2": "a", "b1": "b"})

// fleet makes the changes of machines and replicas.
type fleet struct {
	revision uint64
}

func (f *fleet) event(kind v1.Kind, name, spec, status string, deleted bool) *wirepb.WatchEvent {
	f.revision++
	return &wirepb.WatchEvent{Deleted: deleted, Object: &wirepb.Object{
		Kind: string(kind), Name: name, Revision: f.revision, Spec: []byte(spec), Status: []byte(status),
	}}
}

// endpointOf is where a machine listens.
func endpointOf(number int) string {
	return fmt.Sprintf("http://10.0.%d.%d:80", number/250, number%250)
}

func (f *fleet) machine(name, zone, pool, endpoint string, accelerators int, phase v1.MachinePhase) *wirepb.WatchEvent {
	spec := fmt.Sprintf(`{"endpoint":%q,"zone":%q,"pool":%q,"accelerators":%d,"acceleratorBytes":100}`, endpoint, zone, pool, accelerators)
	return f.event(v1.KindMachine, name, spec, fmt.Sprintf(`{"phase":%q}`, phase), false)
}

func (f *fleet) replica(name, version, machine string, phase v1.ReplicaPhase, adapters ...string) *wirepb.WatchEvent {
	spec := fmt.Sprintf(`{"model":"m","version":%q,"checkpoint":"c","machine":%q,"incarnation":1,"accelerators":[0],`+
		`"bytesPerAccelerator":1,"weightBytes":1,"cacheBytes":1,"maxConcurrent":8,"phase":%q}`, version, machine, phase)
	status := ""
	if len(adapters) > 0 {
		status = `{"adapters":["` + strings.Join(adapters, `","`) + `"]}`
	}
	return f.event(v1.KindReplica, name, spec, status, false)
}

func (f *fleet) delete(kind v1.Kind, name string) *wirepb.WatchEvent {
	return f.event(kind, name, "", "", true)
}

// watcher is a node with a subset: it holds what it was sent.
type watcher struct {
	subset  *Subset
	objects map[state.Key]*wirepb.Object
}

func newWatcher(index *Index, zone string) *watcher {
	return &watcher{subset: index.Subset(places.Location{Zones: index.places, Zone: zone}), objects: map[state.Key]*wirepb.Object{}}
}

func (w *watcher) take(events []*wirepb.WatchEvent) {
	for _, event := range slices.Concat(w.subset.Filter(events), w.subset.Update()) {
		if key := state.KeyOf(event.GetObject()); event.GetDeleted() {
			delete(w.objects, key)
		} else {
			w.objects[key] = event.GetObject()
		}
	}
}

func (w *watcher) names() []string {
	var names []string
	for key := range w.objects {
		names = append(names, key.Name)
	}
	slices.Sort(names)
	return names
}

// TestSubset runs the tables of what nodes learn of.
//
//	machines from=N to=N zone=Z pool=P [fixed] [phase=P] [endpoint=E]: records m-N
//	replicas from=N to=N version=V [phase=P] [adapter=A]: records V-N on m-N
//	delete kind=K name=N
//	drain zone=Z | undrain zone=Z
//	watch zone=Z: a node lists; prints what it learns
//	raise version=V [adapter=A]: its requests wait
//	take: the node takes the changes since; prints how many it got and what it knows of
func TestSubset(t *testing.T) {
	datadriven.Walk(t, "testdata/subset", func(t *testing.T, path string) {
		index, made := NewIndex(twoRegions), &fleet{}
		var node *watcher
		var pending []*wirepb.WatchEvent
		apply := func(events ...*wirepb.WatchEvent) string {
			index.Apply(events, made.revision, false)
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
					apply(made.machine(name, argument("zone", ""), argument("pool", "p"), argument("endpoint", endpointOf(number)), accelerators, v1.MachinePhase(argument("phase", "Live"))))
				}
				return ""
			case "replicas":
				for number := from; number <= to; number++ {
					var adapters []string
					if d.HasArg("adapter") {
						adapters = []string{argument("adapter", "")}
					}
					version := argument("version", "")
					apply(made.replica(fmt.Sprint(version, "-", number), version, fmt.Sprint("m-", number), v1.ReplicaPhase(argument("phase", "Ready")), adapters...))
				}
				return ""
			case "delete":
				return apply(made.delete(v1.Kind(argument("kind", "")), argument("name", "")))
			case "drain", "undrain":
				return apply(made.event(v1.KindZoneDrain, argument("zone", ""), fmt.Sprintf(`{"drained":%t}`, d.Cmd == "drain"), "", false))
			case "watch":
				node, pending = newWatcher(index, argument("zone", "")), nil
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

// TestRandomCourses plays random changes to nodes that take them at random times. What a node
// holds is what the state holds, it holds enough of each group, and it holds both a replica and
// its machine.
func TestRandomCourses(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 11))
		index, made := NewIndex(twoRegions), &fleet{}
		all := map[state.Key]*wirepb.Object{}
		zones := []string{"a1", "a2", "b1"}
		var nodes []*watcher
		var behind [][]*wirepb.WatchEvent
		for step := range 900 {
			event := randomChange(random, made, zones)
			if event.GetDeleted() {
				if all[state.KeyOf(event.GetObject())] == nil {
					continue
				}
				delete(all, state.KeyOf(event.GetObject()))
			} else {
				all[state.KeyOf(event.GetObject())] = event.GetObject()
			}
			index.Apply([]*wirepb.WatchEvent{event}, made.revision, false)
			for position := range behind {
				behind[position] = append(behind[position], event)
			}
			if step%300 == 0 {
				nodes, behind = append(nodes, newWatcher(index, zones[random.IntN(len(zones))])), append(behind, nil)
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

func randomChange(random *rand.Rand, made *fleet, zones []string) *wirepb.WatchEvent {
	number := random.IntN(150)
	name := fmt.Sprint("m-", number)
	replica := fmt.Sprintf("r-%d-%d", number, random.IntN(2))
	phases := []v1.MachinePhase{v1.MachineLive, v1.MachineLive, v1.MachineLive, v1.MachineLost, v1.MachineLeaving, v1.MachineGone}
	switch draw := random.IntN(100); {
	case draw < 35:
		return made.machine(name, zones[number%len(zones)], "p", endpointOf(random.IntN(120)), number%2, phases[random.IntN(len(phases))])
	case draw < 80:
		version, adapters := fmt.Sprint("v", random.IntN(4)), []string{"a1", "a2"}[:random.IntN(3)]
		phase := []v1.ReplicaPhase{v1.ReplicaReady, v1.ReplicaReady, v1.ReplicaLoading}[random.IntN(3)]
		return made.replica(replica, version, name, phase, adapters...)
	case draw < 90:
		return made.delete(v1.KindReplica, replica)
	case draw < 97:
		return made.delete(v1.KindMachine, name)
	}
	return made.event(v1.KindZoneDrain, zones[random.IntN(len(zones))], fmt.Sprintf(`{"drained":%t}`, random.IntN(3) == 0), "", false)
}

func checkNode(t *testing.T, seed uint64, index *Index, node *watcher, all map[state.Key]*wirepb.Object) {
	t.Helper()
	for key, object := range node.objects {
		if all[key] != object {
			t.Fatalf("seed %d: the node holds %s %s of revision %d, which is not the state's", seed, key.Kind, key.Name, object.GetRevision())
		}
	}
	for key, of := range index.groups {
		known, usable := 0, 0
		for member, on := range of.members {
			if !index.isUsable(on) {
				continue
			}
			usable++
			if node.holds(index, of, member) {
				known++
			}
		}
		if wanted := min(usable, node.subset.limitOf(of)); known < wanted {
			t.Fatalf("seed %d: of %v the node can use %d of %d, wanted %d", seed, key, known, usable, wanted)
		}
	}
}

func (w *watcher) holds(index *Index, of *group, member string) bool {
	for _, object := range index.objectsOf(of, member) {
		if w.objects[state.KeyOf(object)] == nil {
			return false
		}
	}
	return true
}

// fleetOf has a busy version on every machine and rare ones on one each, as a large fleet has.
func fleetOf(machines, rare int) (*Index, *fleet) {
	index, made := NewIndex(twoRegions), &fleet{}
	var events []*wirepb.WatchEvent
	for number := range machines {
		name := fmt.Sprint("m-", number)
		events = append(events, made.machine(name, []string{"a1", "a2"}[number%2], "p", endpointOf(number), 1, v1.MachineLive))
		events = append(events, made.replica(fmt.Sprint("busy-", number), fmt.Sprint("busy-", number/2%10), name, v1.ReplicaReady))
		if number < rare {
			events = append(events, made.replica(fmt.Sprint("rare-", number), fmt.Sprint("rare-", number), name, v1.ReplicaReady))
		}
	}
	index.Apply(events, made.revision, true)
	return index, made
}

// TestWhatANodeKnowsDoesNotGrowWithTheFleet: routers' memory and links are sized for the requests
// that they carry, and twenty times as many machines bring none of them more.
func TestWhatANodeKnowsDoesNotGrowWithTheFleet(t *testing.T) {
	const busy, rare = 10, 100
	const most = 2*(busy*replicasPerVersion+rare) + enginesPerPool
	for _, machines := range []int{1000, 10_000, 20_000} {
		index, _ := fleetOf(machines, rare)
		node := newWatcher(index, "a1")
		node.take(nil)
		if len(node.objects) > most {
			t.Errorf("of %d machines a node holds %d objects, more than %d", machines, len(node.objects), most)
		}
		for number := range rare {
			if node.objects[state.Key{Kind: v1.KindReplica, Name: fmt.Sprint("rare-", number)}] == nil {
				t.Fatalf("of %d machines, the only replica of version rare-%d is not known", machines, number)
			}
		}
	}
}

// TestChangesCostWhatTheyConcern counts the members that are looked at when one machine is lost:
// the same in a fleet ten times as large, but for the one group that has to choose again.
func TestChangesCostWhatTheyConcern(t *testing.T) {
	examinedAfterLoss := func(machines int, known bool) int {
		index, made := fleetOf(machines, 100)
		node := newWatcher(index, "a1")
		node.take(nil)
		number := 100 // Those below have a rare version besides.
		for node.subset.KnowsMachine(fmt.Sprint("m-", number)) != known {
			number += 2 // Of the same zone.
		}
		before := examined(index)
		event := made.machine(fmt.Sprint("m-", number), "a1", "p", endpointOf(number), 1, v1.MachineLost)
		index.Apply([]*wirepb.WatchEvent{event}, made.revision, false)
		node.take([]*wirepb.WatchEvent{event})
		return examined(index) - before
	}
	small, large := examinedAfterLoss(1000, false), examinedAfterLoss(10_000, false)
	if large > small {
		t.Errorf("a machine that a node does not know costs it a look at %d members of 1,000 machines' and at %d of 10,000's", small, large)
	}
	if large := examinedAfterLoss(10_000, true); large > 2*10_000/10 {
		t.Errorf("a lost machine that a node knows costs a look at %d members", large)
	}
}

func examined(index *Index) int {
	total := 0
	for _, of := range index.groups {
		total += of.examined
	}
	return total
}

// TestSubsetsFarBehindLookAtAll: what an index no longer remembers changes of is looked at whole.
func TestSubsetsFarBehindLookAtAll(t *testing.T) {
	index, made := fleetOf(100, 10)
	node := newWatcher(index, "a1")
	node.take(nil)
	var events []*wirepb.WatchEvent
	for number := range maxRemembered {
		name := fmt.Sprint("m-", number%50)
		events = append(events, made.machine(name, "a1", "p", endpointOf(number), 1, []v1.MachinePhase{v1.MachineLost, v1.MachineGone}[number/50%2]))
	}
	index.Apply(events, made.revision, false)
	node.take(events)
	if len(index.changed) > maxRemembered {
		t.Errorf("%d changes are remembered", len(index.changed))
	}
	all := map[state.Key]*wirepb.Object{}
	for name, held := range index.machines {
		all[state.Key{Kind: v1.KindMachine, Name: name}] = held.object
	}
	for name, held := range index.replicas {
		all[state.Key{Kind: v1.KindReplica, Name: name}] = held.object
	}
	checkNode(t, 0, index, node, all)
	index.Apply(nil, made.revision, true)
	if !node.subset.Expired() {
		t.Error("a subset of what was replaced is not expired")
	}
}
