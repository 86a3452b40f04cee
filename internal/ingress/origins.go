package ingress

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/signal"
	"github.com/weldline/weldline/internal/streamorigin"
	"github.com/weldline/weldline/internal/upstream"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// headerStreamOrigins marks a wirepb.StreamOriginsRequest from another router.
	headerStreamOrigins = "Weldline-Stream-Origins"
	// maxOriginsPerMessage keeps a message below maxRouterMessageBytes.
	maxOriginsPerMessage = 1024
	// maxPendingOrigins bounds the records that wait to be copied to one router.
	maxPendingOrigins = 4096
	originSendTimeout = time.Second
	// keeperRetention is how long a keeper stays known that is not listed any more. A new leader lists
	// routers only once they have reported to it.
	keeperRetention = 10 * time.Second
)

// originKeeper remembers where streams began, and exchanges this with other routers. It is safe for
// concurrent use.
type originKeeper struct {
	options Options
	routers *upstream.Pool
	// software is what the newest digest says of the pools; softwareChange is notified of each.
	software       atomic.Pointer[poolSoftware]
	softwareChange *signal.Broadcast
	// wake signals run that records are pending.
	wake chan struct{}

	mutex   sync.Mutex
	store   *streamorigin.Store
	keepers map[string]listedKeeper
	// pending are the records to be copied, by router; sending has the routers that are being sent some.
	pending map[string][]*wirepb.StreamOrigin
	sending map[string]bool
}

type listedKeeper struct {
	address  string
	listedAt time.Time
}

// poolSoftware is what a digest says of the software in each pool.
type poolSoftware struct {
	// revision is the leader's revision that it describes.
	revision uint64
	// isKnown is set if the cluster records the versions of software.
	isKnown bool
	pools   map[string]*wirepb.PoolSoftware
}

func newOriginKeeper(options Options, routers *upstream.Pool) *originKeeper {
	keeper := &originKeeper{
		options: options, routers: routers, wake: make(chan struct{}, 1), store: streamorigin.NewStore(),
		softwareChange: signal.New(), keepers: map[string]listedKeeper{}, pending: map[string][]*wirepb.StreamOrigin{}, sending: map[string]bool{},
	}
	keeper.software.Store(&poolSoftware{})
	return keeper
}

// followDigests applies the keepers and the software in leaders' digests until ctx is done.
func (k *originKeeper) followDigests(ctx context.Context) {
	k.options.View.FollowDigests(ctx, func(digest *wirepb.ClusterDigest) {
		described := &poolSoftware{revision: digest.GetRevision(), isKnown: digest.GetSoftwareKnown(), pools: map[string]*wirepb.PoolSoftware{}}
		for _, pool := range digest.GetSoftware() {
			described.pools[pool.GetPool()] = pool
		}
		k.software.Store(described)
		k.softwareChange.Notify()
		k.setKeepers(time.Now(), digest.GetRoster().GetKeepers())
	})
}

// setKeepers sets the listed keepers, and copies the records to those that are new.
func (k *originKeeper) setKeepers(now time.Time, listed []*wirepb.RouterEntry) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	before := k.keeperNames()
	defer func() { k.copyToNewKeepers(now, before) }()
	for _, entry := range listed {
		if entry.GetNode() != k.options.Node {
			k.keepers[entry.GetNode()] = listedKeeper{address: entry.GetAddress(), listedAt: now}
		}
	}
	maps.DeleteFunc(k.keepers, func(_ string, keeper listedKeeper) bool { return now.Sub(keeper.listedAt) > keeperRetention })
}

// uniformity is whether all machines of a pool have run one version for longer than streams live.
type uniformity int

const (
	// uniformityUnconfirmed: the leader could not be asked, or its digest did not come in time.
	uniformityUnconfirmed uniformity = iota
	uniformityMixed
	uniformityProven
)

// confirmOnlyVersion returns the only version in a pool if that is proven; empty if the machines state none.
//
// The newest digest proves nothing by itself: this router may have been out of touch or suspended since the leader sent it. So the
// leader is asked for a revision, which includes every machine that a stream may have begun at before the call, and only a digest
// of that revision or a later one counts.
func (k *originKeeper) confirmOnlyVersion(ctx context.Context, pool string) (software string, result uniformity) {
	if described := k.software.Load(); described.isKnown && !described.pools[pool].GetUniform() {
		return "", uniformityMixed // Versions that have gone count too, so that nothing newer is needed.
	}
	revision, err := k.options.Confirm(ctx)
	if err != nil {
		k.options.Logger.Info("software_not_confirmed", "pool", pool, "error", fault.Message(err))
		return "", uniformityUnconfirmed
	}
	described, isCurrent := k.awaitSoftware(ctx, revision)
	switch {
	case !isCurrent || !described.isKnown:
		k.options.Logger.Info("software_not_confirmed", "pool", pool, "revision", revision, "digest_revision", described.revision)
		return "", uniformityUnconfirmed
	case !described.pools[pool].GetUniform():
		return "", uniformityMixed
	}
	only, isMixed := described.pools[pool].GetOnly(), false
	k.options.View.EachMachine(func(_ string, machine nodeview.Machine) {
		isMixed = isMixed || machine.Spec.Pool == pool && machine.Spec.Software != only
	})
	if isMixed {
		return "", uniformityMixed
	}
	return only, uniformityProven
}

// awaitSoftware waits for a digest of a revision or a later one. isCurrent is false if ctx ended first.
func (k *originKeeper) awaitSoftware(ctx context.Context, revision uint64) (described *poolSoftware, isCurrent bool) {
	for {
		changed := k.softwareChange.Wait()
		if described = k.software.Load(); described.revision >= revision {
			return described, true
		}
		select {
		case <-ctx.Done():
			return described, false
		case <-changed:
		}
	}
}

// isGone reports whether no machine of a pool runs a version any more.
func (k *originKeeper) isGone(pool, software string) bool {
	described := k.software.Load()
	return described.isKnown && !slices.Contains(described.pools[pool].GetInUse(), software)
}

// record remembers where a stream began, and copies it to the routers that are asked for it.
func (k *originKeeper) record(record streamorigin.Record) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.options.Metrics.originsEvicted.Add(float64(k.store.Add(time.Now(), record)))
	k.copyToKeepers(record)
}

// handOver copies all records to other routers, as this one stops.
func (k *originKeeper) handOver() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, record := range k.store.Records(time.Now()) {
		k.copyToKeepers(record)
	}
}

// addKeepers adds the keepers to a set of routers.
func (k *originKeeper) addKeepers(routers map[string]bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for node := range k.keepers {
		routers[node] = true
	}
}

// keeperNames returns the names of the keepers. The mutex must be held.
func (k *originKeeper) keeperNames() []string { return slices.Collect(maps.Keys(k.keepers)) }

// copyToKeepers queues a record for its keepers. The mutex must be held.
func (k *originKeeper) copyToKeepers(record streamorigin.Record) {
	for _, node := range streamorigin.Keepers(record.Key, k.keeperNames(), streamorigin.Copies) {
		k.queueCopy(node, record)
	}
	k.wakeUp()
}

// copyToNewKeepers queues the records for those of their keepers that they did not have before. The mutex must
// be held.
func (k *originKeeper) copyToNewKeepers(now time.Time, before []string) {
	names := k.keeperNames()
	if !slices.ContainsFunc(names, func(node string) bool { return !slices.Contains(before, node) }) {
		return
	}
	k.options.Logger.Info("origin_keepers", "keepers", len(names), "origins", k.store.Len())
	for _, record := range k.store.Records(now) {
		had := streamorigin.Keepers(record.Key, before, streamorigin.Copies)
		for _, node := range streamorigin.Keepers(record.Key, names, streamorigin.Copies) {
			if !slices.Contains(had, node) {
				k.queueCopy(node, record)
			}
		}
	}
	k.wakeUp()
}

// queueCopy queues a record for one router. The mutex must be held.
func (k *originKeeper) queueCopy(node string, record streamorigin.Record) {
	waiting := append(k.pending[node], originMessage(time.Now(), record))
	if excess := len(waiting) - maxPendingOrigins; excess > 0 {
		k.options.Metrics.originsNotCopied.Add(float64(excess))
		waiting = waiting[excess:]
	}
	k.pending[node] = waiting
}

func (k *originKeeper) wakeUp() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// run copies records to other routers until ctx is done.
func (k *originKeeper) run(ctx context.Context) {
	var sends sync.WaitGroup
	defer sends.Wait()
	for {
		for node, batch := range k.takePending() {
			sends.Go(func() { k.copyTo(ctx, node, batch) })
		}
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		}
	}
}

// takePending returns a batch for each router that none is being sent to. Records that arrive meanwhile are
// sent together in the next one.
func (k *originKeeper) takePending() map[string][]*wirepb.StreamOrigin {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	batches := map[string][]*wirepb.StreamOrigin{}
	for node, waiting := range k.pending {
		if k.sending[node] {
			continue
		}
		count := min(len(waiting), maxOriginsPerMessage)
		batches[node], k.pending[node] = waiting[:count:count], waiting[count:]
		if count == len(waiting) {
			delete(k.pending, node)
		}
		k.sending[node] = true
	}
	return batches
}

func (k *originKeeper) copyTo(ctx context.Context, node string, batch []*wirepb.StreamOrigin) {
	defer k.wakeUp()
	defer func() {
		k.mutex.Lock()
		defer k.mutex.Unlock()
		delete(k.sending, node)
	}()
	ctx, cancel := context.WithTimeout(ctx, originSendTimeout)
	defer cancel()
	if _, err := k.ask(ctx, node, &wirepb.StreamOriginsRequest{Origins: batch}); err != nil {
		k.options.Metrics.originsNotCopied.Add(float64(len(batch)))
		k.options.Logger.Info("origins_not_copied", "router", node, "origins", len(batch), "error", fault.Message(err))
	}
}

// ask sends a request to another router.
func (k *originKeeper) ask(ctx context.Context, node string, request *wirepb.StreamOriginsRequest) (*wirepb.StreamOriginsReply, error) {
	k.mutex.Lock()
	address := k.keepers[node].address
	k.mutex.Unlock()
	if address == "" {
		return nil, fault.Unavailable.New("router %s is not listed any more", node)
	}
	reply := &wirepb.StreamOriginsReply{}
	err := callRouter(ctx, k.routers, routerAddress{node: node, address: address}, headerStreamOrigins, request, reply)
	return reply, err
}

// originSource says how the origin of a stream was found.
type originSource string

const (
	originLocal  originSource = "local"
	originKept   originSource = "kept"
	originAbsent originSource = "absent"
	// originUnanswered: a router that may have the record did not reply.
	originUnanswered originSource = "unanswered"
)

// lookup returns where a stream began, by this router's records or else by those of its keepers.
func (k *originKeeper) lookup(ctx context.Context, key streamorigin.Key) (streamorigin.Origin, originSource) {
	k.mutex.Lock()
	stored, known := k.store.Lookup(time.Now(), key)
	asked := streamorigin.Keepers(key, k.keeperNames(), streamorigin.Asked)
	k.mutex.Unlock()
	if known {
		return stored.Origin, originLocal
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan originReply, len(asked))
	for _, node := range asked {
		go func() {
			reply, err := k.ask(ctx, node, &wirepb.StreamOriginsRequest{Lookup: key[:]})
			replies <- originReply{found: reply.GetFound(), failed: err != nil}
		}()
	}
	source := originAbsent
	for range asked {
		reply := <-replies
		if reply.found != nil {
			return streamorigin.Origin{Pool: reply.found.GetPool(), Software: reply.found.GetSoftware()}, originKept
		}
		if reply.failed {
			source = originUnanswered
		}
	}
	return streamorigin.Origin{}, source
}

type originReply struct {
	found  *wirepb.StreamOrigin
	failed bool
}

// serve answers another router.
func (k *originKeeper) serve(writer http.ResponseWriter, request *http.Request) {
	asked := &wirepb.StreamOriginsRequest{}
	answerRouter(writer, request, k.options.Logger, asked, func() proto.Message { return k.answer(time.Now(), asked) })
}

func (k *originKeeper) answer(now time.Time, asked *wirepb.StreamOriginsRequest) *wirepb.StreamOriginsReply {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, message := range asked.GetOrigins() {
		if record, isValid := originRecord(now, message); isValid {
			k.options.Metrics.originsEvicted.Add(float64(k.store.Add(now, record)))
		}
	}
	reply := &wirepb.StreamOriginsReply{}
	if len(asked.GetLookup()) == len(streamorigin.Key{}) {
		if stored, known := k.store.Lookup(now, streamorigin.Key(asked.GetLookup())); known {
			reply.Found = originMessage(now, stored)
		}
	}
	return reply
}

// maxOriginLifetime bounds how long another router may have a record kept.
const maxOriginLifetime = time.Hour

func originMessage(now time.Time, record streamorigin.Record) *wirepb.StreamOrigin {
	return &wirepb.StreamOrigin{
		Key: record.Key[:], Pool: record.Origin.Pool, Software: record.Origin.Software, Sends: record.Sends,
		TtlMs: uint32(max(0, min(maxOriginLifetime, record.Expires.Sub(now))).Milliseconds()),
	}
}

func originRecord(now time.Time, message *wirepb.StreamOrigin) (record streamorigin.Record, isValid bool) {
	lifetime := min(maxOriginLifetime, time.Duration(message.GetTtlMs())*time.Millisecond)
	if len(message.GetKey()) != len(record.Key) || message.GetSoftware() == "" || message.GetPool() == "" || lifetime <= 0 {
		return record, false
	}
	return streamorigin.Record{
		Key: streamorigin.Key(message.GetKey()), Origin: streamorigin.Origin{Pool: message.GetPool(), Software: message.GetSoftware()},
		Sends: message.GetSends(), Expires: now.Add(lifetime),
	}, true
}
