package feed

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/signal"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/subset"
	"github.com/weldline/weldline/internal/wire"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// fleetBackend serves machines with one replica each of one version.
type fleetBackend struct {
	listBackend
	mutex   sync.Mutex
	changed *signal.Broadcast
}

func (b *fleetBackend) ChangesAfter(revision uint64) Changes {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.listBackend.ChangesAfter(revision)
}

func (b *fleetBackend) Changed() <-chan struct{} { return b.changed.Wait() }

func (b *fleetBackend) write(kind v1.Kind, name, spec, status string) {
	b.mutex.Lock()
	b.revision++
	event := &wirepb.WatchEvent{Object: &wirepb.Object{
		Kind: string(kind), Name: name, Revision: b.revision, Spec: []byte(spec), Status: []byte(status),
	}}
	b.objects = append(slices.DeleteFunc(b.objects, func(held *wirepb.WatchEvent) bool {
		return state.KeyOf(held.GetObject()) == state.KeyOf(event.GetObject())
	}), event)
	b.events = append(b.events, event)
	b.mutex.Unlock()
	b.changed.Notify()
}

func (b *fleetBackend) machine(number int, phase v1.MachinePhase) {
	b.write(v1.KindMachine, fmt.Sprint("m-", number), fmt.Sprintf(
		`{"endpoint":"http://10.0.0.%d:80","zone":"z","pool":"p","accelerators":1,"acceleratorBytes":100}`, number), fmt.Sprintf(`{"phase":%q}`, phase))
}

func (b *fleetBackend) replica(number int) {
	b.write(v1.KindReplica, fmt.Sprint("r-", number), fmt.Sprintf(`{"model":"m","version":"v","checkpoint":"c","machine":"m-%d","incarnation":1,`+
		`"accelerators":[0],"bytesPerAccelerator":1,"weightBytes":1,"cacheBytes":1,"maxConcurrent":8,"phase":"Ready"}`, number), "")
}

// recordingSink holds what a client was sent.
type recordingSink struct {
	mutex    sync.Mutex
	revision uint64
	objects  map[state.Key]*wirepb.Object
	changed  *signal.Broadcast
}

func (s *recordingSink) Revision() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.revision
}

func (s *recordingSink) Apply(changes Changes) {
	s.mutex.Lock()
	defer s.changed.Notify()
	defer s.mutex.Unlock()
	if changes.Reset {
		s.objects = map[state.Key]*wirepb.Object{}
	}
	for _, event := range changes.Events {
		key := state.KeyOf(event.GetObject())
		if held := s.objects[key]; held != nil && held.GetRevision() >= event.GetObject().GetRevision() {
			continue
		}
		s.objects[key] = event.GetObject()
		if event.GetDeleted() {
			delete(s.objects, key)
		}
	}
	s.revision = changes.Revision
}

func (s *recordingSink) ApplyDigest(*wirepb.ClusterDigest) {}

func (s *recordingSink) count(kind v1.Kind) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for key := range s.objects {
		if key.Kind == kind {
			count++
		}
	}
	return count
}

// await waits until the sink is as wanted.
func (s *recordingSink) await(t *testing.T, what string, reached func() bool) {
	t.Helper()
	for {
		changed := s.changed.Wait()
		if reached() {
			return
		}
		select {
		case <-changed:
		case <-t.Context().Done():
			t.Fatalf("the test ended before: %s; revision %d, %d replicas", what, s.Revision(), s.count(v1.KindReplica))
		}
	}
}

// TestNodesLearnOfASubset: a node that asks for a part is sent the configuration whole and some
// machines, keeps up with the revision, is told what becomes of what it knows and of nothing else,
// and learns of more once its requests wait. Another that asks for everything gets that.
func TestNodesLearnOfASubset(t *testing.T) {
	const machines = 200
	backend := &fleetBackend{changed: signal.New()}
	for number := range machines {
		backend.machine(number, v1.MachineLive)
		backend.replica(number)
	}
	backend.write(v1.KindLimit, "limit", "{}", "")
	ctx, cancel := context.WithCancel(t.Context())
	var workers sync.WaitGroup
	defer workers.Wait()
	defer cancel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(backend, identityOf("server"), places.NewZoneMap(map[string]string{"z": "r"}), slog.New(slog.DiscardHandler), nil)
	workers.Go(func() { _ = server.Serve(ctx, listener) })
	follow := func(name string, part bool) (*recordingSink, *Client) {
		identity := identityOf(name)
		identity.Hello.Subset, identity.Hello.Zone = part, "z"
		sink := &recordingSink{changed: signal.New()}
		client := NewClient([]string{listener.Addr().String()}, identity, sink, slog.New(slog.DiscardHandler))
		workers.Go(func() { client.Run(ctx) })
		return sink, client
	}
	whole, _ := follow("whole", false)
	part, client := follow("part", true)
	for _, sink := range []*recordingSink{whole, part} {
		sink.await(t, "the list", func() bool { return sink.Revision() == backend.revision && sink.count(v1.KindLimit) == 1 })
	}
	known := part.count(v1.KindReplica)
	if known == 0 || known >= machines/2 || part.count(v1.KindMachine) < known {
		t.Fatalf("the node learnt of %d replicas on %d machines", known, part.count(v1.KindMachine))
	}
	if whole.count(v1.KindReplica) != machines {
		t.Fatalf("the node that asks for all got %d replicas", whole.count(v1.KindReplica))
	}

	for number := range machines { // Half of those that it knows, and of the others.
		if number%2 == 0 {
			backend.machine(number, v1.MachineLeaving)
		}
	}
	usable := func() (count int) {
		part.mutex.Lock()
		defer part.mutex.Unlock()
		for key := range part.objects {
			on := part.objects[state.Key{Kind: v1.KindMachine, Name: strings.Replace(key.Name, "r-", "m-", 1)}]
			if key.Kind == v1.KindReplica && strings.Contains(string(on.GetStatus()), "Live") {
				count++
			}
		}
		return count
	}
	part.await(t, "others in place of those that leave", func() bool { return part.Revision() == backend.revision && usable() == known })

	demand := []*wirepb.ModelDemand{{Version: "v", Waiting: 3}}
	if err := client.Send(&wirepb.Envelope{Body: &wirepb.Envelope_NodeReport{NodeReport: &wirepb.NodeReport{Demand: demand}}}); err != nil {
		t.Fatal(err)
	}
	part.await(t, "twice as many for requests that wait", func() bool { return usable() == 2*known })
}

// TestSubsetListsAreMadeOnceForAZone, and never from before what a node holds.
func TestSubsetListsAreMadeOnceForAZone(t *testing.T) {
	backend := &listBackend{}
	backend.put(100)
	lists := newSubsets(backend, places.ZoneMap{})
	first, err := lists.list("z", 0)
	if err != nil {
		t.Fatal(err)
	}
	backend.put(3)
	if again, err := lists.list("z", 100); err != nil || again != first {
		t.Errorf("another list was made for the same zone: %v", err)
	}
	later, err := lists.list("z", 102)
	if err != nil || later.revision != 103 {
		t.Errorf("a list for a node at 102 is of revision %d, %v", later.revision, err)
	}
	if none, err := lists.list("z", 200); err != nil || none != nil {
		t.Errorf("a list was made for a node that is ahead: %v, %v", none, err)
	}
}

// TestDigestsAreCutToWhatANodeKnows: the numbers of its machines stay theirs, the roster travels
// when it or the subset has changed, and the whole digest is left alone.
func TestDigestsAreCutToWhatANodeKnows(t *testing.T) {
	index := subset.NewIndex(places.ZoneMap{})
	var events []*wirepb.WatchEvent
	backend := &fleetBackend{changed: signal.New()}
	for _, number := range []int{1, 3, 4} {
		backend.machine(number, v1.MachineLive)
		backend.replica(number)
	}
	events = append(events, backend.events...)
	index.Apply(events, backend.revision, true)
	chosen := index.Subset(places.Location{Zone: "z"})
	chosen.Update()
	whole := &wirepb.ClusterDigest{
		Term: 1, Sequence: 7, RosterSequence: 5, Roster: &wirepb.Roster{Machines: []string{"m-0", "m-1", "m-2", "m-3", "m-4"}, Control: []string{"c"}},
		MachineLoads: []byte{9, 1, 9, 0, 4}, MachineWarming: []byte{9, 2}, MachineWork: []byte{9, 0, 9},
	}
	untouched := proto.CloneOf(whole)
	cut, positions := digestSubset{}, &rosterIndex{}
	sender, receiver := &DigestSender{appends: true}, &DigestReceiver{}
	send := func(whole *wirepb.ClusterDigest, chosen *subset.Subset) (sent, taken *wirepb.ClusterDigest) {
		part := cut.of(whole, chosen, positions)
		sent = sender.Envelope(part).GetClusterDigest()
		taken = receiver.Complete(sent)
		if !proto.Equal(taken, part) {
			t.Errorf("digest %d came as %v instead of %v", whole.GetSequence(), taken, part)
		}
		return sent, taken
	}
	if _, nothing := send(whole, nil); len(nothing.GetRoster().GetMachines()) != 0 || len(nothing.GetMachineLoads()) != 0 || len(nothing.GetRoster().GetControl()) != 1 {
		t.Errorf("before anything is known the digest is %v", nothing)
	}
	next := func(sequence uint64, roster *wirepb.Roster) *wirepb.ClusterDigest {
		digest := proto.CloneOf(whole)
		digest.Sequence, digest.Roster = sequence, roster
		if roster != whole.GetRoster() {
			digest.RosterSequence = sequence
		}
		return digest
	}
	_, part := send(next(8, whole.GetRoster()), chosen)
	if !slices.Equal(part.GetRoster().GetMachines(), []string{"m-1", "m-3", "m-4"}) {
		t.Errorf("the roster is %v", part.GetRoster().GetMachines())
	}
	if !slices.Equal(part.GetMachineLoads(), []byte{1, 0, 4}) || !slices.Equal(part.GetMachineWarming(), []byte{2}) || len(part.GetMachineWork()) != 0 {
		t.Errorf("loads %v, warming %v, work %v", part.GetMachineLoads(), part.GetMachineWarming(), part.GetMachineWork())
	}
	if !proto.Equal(whole, untouched) {
		t.Error("the digest that all share was changed")
	}
	if sent, _ := send(next(9, whole.GetRoster()), chosen); sent.GetRoster() != nil || len(sent.GetAppendedMachines()) != 0 {
		t.Errorf("the same roster travels again: %v", sent)
	}
	// Another machine comes to the fleet before all others: the numbers stay with their machines.
	more := &wirepb.Roster{Machines: []string{"l-9", "m-0", "m-1", "m-2", "m-3", "m-4"}, Control: []string{"c"}}
	digest := next(10, more)
	digest.MachineLoads = []byte{7, 9, 1, 9, 0, 4}
	if sent, taken := send(digest, chosen); sent.GetRoster() != nil || len(sent.GetAppendedMachines()) != 0 || !slices.Equal(taken.GetMachineLoads(), []byte{1, 0, 4}) {
		t.Errorf("a machine that the node does not know brings %v", sent)
	}
	// The node learns of a machine, and its name alone travels.
	backend.machine(2, v1.MachineLive)
	backend.replica(2)
	index.Apply(backend.events[6:], backend.revision, false)
	chosen.Filter(backend.events[6:])
	chosen.Update()
	digest = next(11, more)
	digest.MachineLoads = []byte{7, 9, 1, 9, 0, 4}
	sent, taken := send(digest, chosen)
	if sent.GetRoster() != nil || !slices.Equal(sent.GetAppendedMachines(), []string{"m-2"}) || !slices.Equal(taken.GetMachineLoads(), []byte{1, 0, 4, 9}) {
		t.Errorf("after the node has learnt of a machine the digest is %v", sent)
	}
	// What the fleet's roster lists no more may have just started.
	digest = next(12, &wirepb.Roster{Machines: []string{"m-1", "m-2", "m-4"}, Control: []string{"c"}})
	digest.MachineLoads, digest.MachineWarming = []byte{1, 2, 3}, nil
	if _, taken := send(digest, chosen); !slices.Equal(taken.GetMachineLoads(), []byte{1, 0, 3, 2}) || !slices.Equal(taken.GetMachineWarming(), []byte{0, 255}) {
		t.Errorf("loads %v, warming %v", taken.GetMachineLoads(), taken.GetMachineWarming())
	}
	// Another control node: the roster travels whole.
	if sent, _ := send(next(13, &wirepb.Roster{Machines: more.GetMachines(), Control: []string{"c", "d"}}), chosen); len(sent.GetRoster().GetMachines()) != 4 {
		t.Errorf("with another control node the digest is %v", sent)
	}
	if (&DigestReceiver{}).Complete(&wirepb.ClusterDigest{Term: 1, AppendedMachines: []string{"m"}, RosterBase: 3}) != nil {
		t.Error("machines were appended to a roster that is not held")
	}
}

// TestChangesOfOthersBringFewMessages: what becomes of machines that a node does not know costs it
// nothing but the revision, told now and then.
func TestChangesOfOthersBringFewMessages(t *testing.T) {
	const machines, changes = 400, 300
	backend := &fleetBackend{changed: signal.New()}
	for number := range machines {
		backend.machine(number%250, v1.MachineLive)
		if number < 250 {
			backend.replica(number)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	var workers sync.WaitGroup
	defer workers.Wait()
	defer cancel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(backend, identityOf("server"), places.NewZoneMap(map[string]string{"z": "r"}), slog.New(slog.DiscardHandler), nil)
	workers.Go(func() { _ = server.Serve(ctx, listener) })
	identity := identityOf("part")
	identity.Hello.Subset, identity.Hello.Zone = true, "z"
	conn, err := wire.Dial(ctx, listener.Addr().String(), identity)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	request := &wirepb.WatchRequest{Lists: true}
	if err := conn.Send(&wirepb.Envelope{Body: &wirepb.Envelope_WatchRequest{WatchRequest: request}}); err != nil {
		t.Fatal(err)
	}
	known, held := map[string]bool{}, uint64(0)
	lists := &listReceiver{}
	for done := false; !done; {
		envelope, err := conn.Receive()
		if err != nil {
			t.Fatal(err)
		}
		var listed Changes
		if listed, done, err = lists.take(envelope.GetWatchListPart()); err != nil {
			t.Fatal(err)
		}
		for _, event := range listed.Events {
			known[event.GetObject().GetName()] = true
		}
		held = listed.Revision
	}
	other := 0
	for known[fmt.Sprint("m-", other)] {
		other++
	}
	started := time.Now()
	workers.Go(func() {
		for number := range changes {
			backend.machine(other, []v1.MachinePhase{v1.MachineLost, v1.MachineLive}[number%2])
			time.Sleep(time.Millisecond)
		}
	})
	messages, wanted := 0, held+changes
	for held < wanted {
		envelope, err := conn.Receive()
		if err != nil {
			t.Fatal(err)
		}
		messages++
		held = envelope.GetWatchBatch().GetRevision()
		if events := envelope.GetWatchBatch().GetEvents(); len(events) > 0 {
			t.Fatalf("the node is told of %v", events)
		}
	}
	if allowed := 2 + int(time.Since(started)/revisionGap); messages > allowed {
		t.Errorf("%d changes of a machine that the node does not know came in %d messages, in the time of %d", changes, messages, allowed)
	}
	server.subsets.mutex.Lock()
	defer server.subsets.mutex.Unlock()
	if server.subsets.examined > changes {
		t.Errorf("%d changes were looked at %d times for one node", changes, server.subsets.examined)
	}
}

// TestOneWatcherFarBehindListsAlone: the changes that it lacks are no longer kept. All others have
// taken them, and go on.
func TestOneWatcherFarBehindListsAlone(t *testing.T) {
	backend := &listBackend{}
	backend.put(10)
	lists := newSubsets(backend, places.ZoneMap{})
	sessions := map[string]*subsetSession{}
	for _, name := range []string{"behind", "in step"} {
		list, err := lists.list("z", 0)
		if err != nil {
			t.Fatal(err)
		}
		sessions[name] = lists.session("z")
		sessions[name].take(list)
	}
	backend.put(10)
	if _, _, current := sessions["in step"].next(10); !current {
		t.Fatal("a watcher must list anew though all changes are kept")
	}
	backend.forget()
	if _, _, current := sessions["behind"].next(10); current {
		t.Error("a watcher goes on without changes that are no longer kept")
	}
	if _, _, current := sessions["in step"].next(20); !current {
		t.Error("a watcher that has taken all changes must list anew because of another")
	}
}

// TestDigestsFollowANewSubset: a watcher that lists anew may know other machines, and as many changes.
func TestDigestsFollowANewSubset(t *testing.T) {
	subsetOf := func(number int) *subset.Subset {
		backend := &fleetBackend{changed: signal.New()}
		backend.machine(number, v1.MachineLive)
		backend.replica(number)
		index := subset.NewIndex(places.ZoneMap{})
		index.Apply(backend.events, backend.revision, true)
		chosen := index.Subset(places.Location{Zone: "z"})
		chosen.Update()
		return chosen
	}
	whole := &wirepb.ClusterDigest{Term: 1, Sequence: 1, RosterSequence: 1, Roster: &wirepb.Roster{Machines: []string{"m-1", "m-2"}}}
	cut := digestSubset{}
	for _, number := range []int{1, 2} {
		part := cut.of(whole, subsetOf(number), &rosterIndex{})
		if name := fmt.Sprint("m-", number); !slices.Contains(part.GetRoster().GetMachines(), name) {
			t.Errorf("%s is known and not in the roster %v", name, part.GetRoster().GetMachines())
		}
	}
}
