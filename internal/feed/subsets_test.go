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

// fleetBackend serves machines that each run one replica of the same version.
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
	b.objects = append(slices.DeleteFunc(b.objects, func(existing *wirepb.WatchEvent) bool {
		return state.KeyOf(existing.GetObject()) == state.KeyOf(event.GetObject())
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

// recordingSink records the state that a client receives.
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
		if existing := s.objects[key]; existing != nil && existing.GetRevision() >= event.GetObject().GetRevision() {
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

// await waits until a condition that depends on the sink is reached.
func (s *recordingSink) await(t *testing.T, condition string, isReached func() bool) {
	t.Helper()
	for {
		changed := s.changed.Wait()
		if isReached() {
			return
		}
		select {
		case <-changed:
		case <-t.Context().Done():
			t.Fatalf("test ended before the condition was reached: %s; revision %d, %d replicas", condition, s.Revision(), s.count(v1.KindReplica))
		}
	}
}

// TestSubsetWatch checks that a watcher of a subset gets the whole configuration and some of the
// machines, follows changes of these and the revision, and gets more replicas when requests wait. A
// watcher without a subset gets everything.
func TestSubsetWatch(t *testing.T) {
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
	follow := func(name string, partial bool) (*recordingSink, *Client) {
		identity := identityOf(name)
		identity.Hello.Subset, identity.Hello.Zone = partial, "z"
		sink := &recordingSink{changed: signal.New()}
		client := NewClient([]string{listener.Addr().String()}, identity, sink, slog.New(slog.DiscardHandler))
		workers.Go(func() { client.Run(ctx) })
		return sink, client
	}
	full, _ := follow("whole", false)
	part, client := follow("part", true)
	for _, sink := range []*recordingSink{full, part} {
		sink.await(t, "the list", func() bool { return sink.Revision() == backend.revision && sink.count(v1.KindLimit) == 1 })
	}
	known := part.count(v1.KindReplica)
	if known == 0 || known >= machines/2 || part.count(v1.KindMachine) < known {
		t.Fatalf("subset has %d replicas on %d machines", known, part.count(v1.KindMachine))
	}
	if full.count(v1.KindReplica) != machines {
		t.Fatalf("full watcher has %d replicas", full.count(v1.KindReplica))
	}

	for number := range machines { // Drains half of the machines, inside and outside the subset.
		if number%2 == 0 {
			backend.machine(number, v1.MachineLeaving)
		}
	}
	usable := func() (count int) {
		part.mutex.Lock()
		defer part.mutex.Unlock()
		for key := range part.objects {
			machine := part.objects[state.Key{Kind: v1.KindMachine, Name: strings.Replace(key.Name, "r-", "m-", 1)}]
			if key.Kind == v1.KindReplica && strings.Contains(string(machine.GetStatus()), "Live") {
				count++
			}
		}
		return count
	}
	part.await(t, "replacements for machines that are leaving", func() bool { return part.Revision() == backend.revision && usable() == known })

	demand := []*wirepb.ModelDemand{{Version: "v", Waiting: 3}}
	if err := client.Send(&wirepb.Envelope{Body: &wirepb.Envelope_NodeReport{NodeReport: &wirepb.NodeReport{Demand: demand}}}); err != nil {
		t.Fatal(err)
	}
	part.await(t, "twice as many replicas for waiting requests", func() bool { return usable() == 2*known })
}

// TestSubsetListsAreSharedPerZone also checks that a list is never older than the revision a watcher
// has.
func TestSubsetListsAreSharedPerZone(t *testing.T) {
	backend := &listBackend{}
	backend.addObjects(100)
	source := newSubsetSource(backend, places.ZoneMap{})
	first, err := source.list("z", 0)
	if err != nil {
		t.Fatal(err)
	}
	backend.addObjects(3)
	if again, err := source.list("z", 100); err != nil || again != first {
		t.Errorf("a second list was created for the same zone: %v", err)
	}
	later, err := source.list("z", 102)
	if err != nil || later.revision != 103 {
		t.Errorf("list for a watcher at revision 102 has revision %d, %v", later.revision, err)
	}
	if none, err := source.list("z", 200); err != nil || none != nil {
		t.Errorf("got a list for a watcher ahead of the backend: %v, %v", none, err)
	}
}

// TestDigestFilter checks that machines keep their positions, that the roster is sent only when it or
// the subset has changed, and that the full digest is not modified.
func TestDigestFilter(t *testing.T) {
	index := subset.NewIndex(places.ZoneMap{})
	var events []*wirepb.WatchEvent
	backend := &fleetBackend{changed: signal.New()}
	for _, number := range []int{1, 3, 4} {
		backend.machine(number, v1.MachineLive)
		backend.replica(number)
	}
	events = append(events, backend.events...)
	index.Apply(events, backend.revision, true)
	selected := index.Subset(places.Location{Zone: "z"})
	selected.Update()
	full := &wirepb.ClusterDigest{
		Term: 1, Sequence: 7, RosterSequence: 5, Roster: &wirepb.Roster{Machines: []string{"m-0", "m-1", "m-2", "m-3", "m-4"}, Control: []string{"c"}},
		MachineLoads: []byte{9, 1, 9, 0, 4}, MachineWarming: []byte{9, 2}, MachineWork: []byte{9, 0, 9},
	}
	original := proto.CloneOf(full)
	filter, positions := digestFilter{selectRouters: allRouters}, &rosterIndex{}
	sender, receiver := &DigestSender{appendsMachines: true}, &DigestReceiver{}
	send := func(digest *wirepb.ClusterDigest, known *subset.Subset) (sent, received *wirepb.ClusterDigest) {
		filtered := filter.apply(digest, known, positions)
		sent = sender.Envelope(filtered).GetClusterDigest()
		received = receiver.Complete(sent)
		if !proto.Equal(received, filtered) {
			t.Errorf("digest %d was received as %v, want %v", digest.GetSequence(), received, filtered)
		}
		return sent, received
	}
	if _, empty := send(full, nil); len(empty.GetRoster().GetMachines()) != 0 || len(empty.GetMachineLoads()) != 0 || len(empty.GetRoster().GetControl()) != 1 {
		t.Errorf("digest of an empty subset: %v", empty)
	}
	next := func(sequence uint64, roster *wirepb.Roster) *wirepb.ClusterDigest {
		digest := proto.CloneOf(full)
		digest.Sequence, digest.Roster = sequence, roster
		if roster != full.GetRoster() {
			digest.RosterSequence = sequence
		}
		return digest
	}
	_, first := send(next(8, full.GetRoster()), selected)
	if !slices.Equal(first.GetRoster().GetMachines(), []string{"m-1", "m-3", "m-4"}) {
		t.Errorf("roster: %v", first.GetRoster().GetMachines())
	}
	if !slices.Equal(first.GetMachineLoads(), []byte{1, 0, 4}) || !slices.Equal(first.GetMachineWarming(), []byte{2}) || len(first.GetMachineWork()) != 0 {
		t.Errorf("loads %v, warming %v, work %v", first.GetMachineLoads(), first.GetMachineWarming(), first.GetMachineWork())
	}
	if !proto.Equal(full, original) {
		t.Error("the full digest was modified")
	}
	if sent, _ := send(next(9, full.GetRoster()), selected); sent.GetRoster() != nil || len(sent.GetAppendedMachines()) != 0 {
		t.Errorf("an unchanged roster was sent again: %v", sent)
	}
	// A new machine at the start of the full roster does not change positions in the filtered one.
	more := &wirepb.Roster{Machines: []string{"l-9", "m-0", "m-1", "m-2", "m-3", "m-4"}, Control: []string{"c"}}
	digest := next(10, more)
	digest.MachineLoads = []byte{7, 9, 1, 9, 0, 4}
	if sent, taken := send(digest, selected); sent.GetRoster() != nil || len(sent.GetAppendedMachines()) != 0 || !slices.Equal(taken.GetMachineLoads(), []byte{1, 0, 4}) {
		t.Errorf("message after a new machine outside the subset: %v", sent)
	}
	// A machine added to the subset is appended to the roster.
	backend.machine(2, v1.MachineLive)
	backend.replica(2)
	index.Apply(backend.events[6:], backend.revision, false)
	selected.Filter(backend.events[6:])
	selected.Update()
	digest = next(11, more)
	digest.MachineLoads = []byte{7, 9, 1, 9, 0, 4}
	sent, taken := send(digest, selected)
	if sent.GetRoster() != nil || !slices.Equal(sent.GetAppendedMachines(), []string{"m-2"}) || !slices.Equal(taken.GetMachineLoads(), []byte{1, 0, 4, 9}) {
		t.Errorf("message after a machine was added to the subset: %v", sent)
	}
	// A machine missing from the full roster may have just started and is treated as warming up.
	digest = next(12, &wirepb.Roster{Machines: []string{"m-1", "m-2", "m-4"}, Control: []string{"c"}})
	digest.MachineLoads, digest.MachineWarming = []byte{1, 2, 3}, nil
	if _, taken := send(digest, selected); !slices.Equal(taken.GetMachineLoads(), []byte{1, 0, 3, 2}) || !slices.Equal(taken.GetMachineWarming(), []byte{0, 255}) {
		t.Errorf("loads %v, warming %v", taken.GetMachineLoads(), taken.GetMachineWarming())
	}
	// Another control node requires sending the whole roster.
	if sent, _ := send(next(13, &wirepb.Roster{Machines: more.GetMachines(), Control: []string{"c", "d"}}), selected); len(sent.GetRoster().GetMachines()) != 4 {
		t.Errorf("message after another control node was added: %v", sent)
	}
	if (&DigestReceiver{}).Complete(&wirepb.ClusterDigest{Term: 1, AppendedMachines: []string{"m"}, RosterBase: 3}) != nil {
		t.Error("machines were appended to an unknown roster")
	}
}

// TestUnrelatedChangesSendFewMessages checks that changes outside a watcher's subset cause only
// occasional messages with the new revision.
func TestUnrelatedChangesSendFewMessages(t *testing.T) {
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
	known, revision := map[string]bool{}, uint64(0)
	decoder := &listDecoder{}
	for done := false; !done; {
		envelope, err := conn.Receive()
		if err != nil {
			t.Fatal(err)
		}
		var list Changes
		if list, done, err = decoder.add(envelope.GetWatchListPart()); err != nil {
			t.Fatal(err)
		}
		for _, event := range list.Events {
			known[event.GetObject().GetName()] = true
		}
		revision = list.Revision
	}
	unknownMachine := 0
	for known[fmt.Sprint("m-", unknownMachine)] {
		unknownMachine++
	}
	started := time.Now()
	workers.Go(func() {
		for number := range changes {
			backend.machine(unknownMachine, []v1.MachinePhase{v1.MachineLost, v1.MachineLive}[number%2])
			time.Sleep(time.Millisecond)
		}
	})
	messages, finalRevision := 0, revision+changes
	for revision < finalRevision {
		envelope, err := conn.Receive()
		if err != nil {
			t.Fatal(err)
		}
		messages++
		revision = envelope.GetWatchBatch().GetRevision()
		if events := envelope.GetWatchBatch().GetEvents(); len(events) > 0 {
			t.Fatalf("received events outside the subset: %v", events)
		}
	}
	if maxMessages := 2 + int(time.Since(started)/minRevisionInterval); messages > maxMessages {
		t.Errorf("%d changes outside the subset caused %d messages, want at most %d", changes, messages, maxMessages)
	}
	server.subsets.mutex.Lock()
	defer server.subsets.mutex.Unlock()
	if server.subsets.examinedEvents > changes {
		t.Errorf("%d changes were examined %d times for one watcher", changes, server.subsets.examinedEvents)
	}
}

// TestLaggingWatcherRelistsAlone checks that a watcher whose changes are no longer available does not
// make the others list again.
func TestLaggingWatcherRelistsAlone(t *testing.T) {
	backend := &listBackend{}
	backend.addObjects(10)
	source := newSubsetSource(backend, places.ZoneMap{})
	sessions := map[string]*subsetSession{}
	for _, name := range []string{"behind", "up to date"} {
		list, err := source.list("z", 0)
		if err != nil {
			t.Fatal(err)
		}
		sessions[name] = source.newSession(name, "z")
		sessions[name].start(list)
	}
	backend.addObjects(10)
	if _, _, isCurrent := sessions["up to date"].nextChanges(10); !isCurrent {
		t.Fatal("a watcher has to list again although all changes are available")
	}
	backend.compact()
	if _, _, isCurrent := sessions["behind"].nextChanges(10); isCurrent {
		t.Error("a watcher continues although changes are no longer available")
	}
	if _, _, isCurrent := sessions["up to date"].nextChanges(20); !isCurrent {
		t.Error("an up-to-date watcher has to list again because of another one")
	}
}

// TestDigestFilterFollowsNewSubset guards against keeping the roster of the previous subset if both
// have had the same number of machine changes.
func TestDigestFilterFollowsNewSubset(t *testing.T) {
	subsetOf := func(number int) *subset.Subset {
		backend := &fleetBackend{changed: signal.New()}
		backend.machine(number, v1.MachineLive)
		backend.replica(number)
		index := subset.NewIndex(places.ZoneMap{})
		index.Apply(backend.events, backend.revision, true)
		selected := index.Subset(places.Location{Zone: "z"})
		selected.Update()
		return selected
	}
	full := &wirepb.ClusterDigest{Term: 1, Sequence: 1, RosterSequence: 1, Roster: &wirepb.Roster{Machines: []string{"m-1", "m-2"}}}
	filter := digestFilter{selectRouters: allRouters}
	for _, number := range []int{1, 2} {
		filtered := filter.apply(full, subsetOf(number), &rosterIndex{})
		if name := fmt.Sprint("m-", number); !slices.Contains(filtered.GetRoster().GetMachines(), name) {
			t.Errorf("%s is in the subset but not in the roster %v", name, filtered.GetRoster().GetMachines())
		}
	}
}
