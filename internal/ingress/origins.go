package ingress

import (
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/problem"
	"github.com/weldline/weldline/internal/streamorigin"
	"github.com/weldline/weldline/internal/upstream"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// headerStreamOrigins marks a wirepb.StreamOriginsRequest from another router.
	headerStreamOrigins = "Weldline-Stream-Origins"
	// maxOriginsBytes bounds a message between routers, maxOriginsPerMessage its records.
	maxOriginsBytes      = 256 << 10
	maxOriginsPerMessage = 1024
	// maxPendingOrigins bounds the records that wait to be copied to one router.
	maxPendingOrigins = 4096
	originSendTimeout = time.Second
	// keeperRetention is how long a keeper stays known that is not listed any more. A new leader lists
	// routers only once they have reported to it.
	keeperRetention = 10 * time.Second
	// maxUniformAge is the age of a digest up to which it proves that a pool runs one version only. It
	// exceeds the time without a leader after a planned change.
	maxUniformAge = 2 * time.Second
)

// originKeeper remembers where streams began, and exchanges this with other routers. It is safe for
// concurrent use.
type originKeeper struct {
	options Options
	routers *upstream.Pool
	// software is what the newest digest says of the pools.
	software atomic.Pointer[poolSoftware]
	// wake tells run that records are pending.
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
	received time.Duration
	// isKnown is set if the cluster records the versions of software.
	isKnown bool
	pools   map[string]*wirepb.PoolSoftware
}

func newOriginKeeper(options Options) *originKeeper {
	keeper := &originKeeper{
		options: options, wake: make(chan struct{}, 1), store: streamorigin.NewStore(),
		keepers: map[string]listedKeeper{}, pending: map[string][]*wirepb.StreamOrigin{}, sending: map[string]bool{},
		routers: upstream.NewPool(upstream.Config{
			DialTimeout: forwardDialTimeout, MaxIdle: upstream.FixedMaxIdle(maxIdlePerRouter), IdleTimeout: idleTimeout, Dial: options.DialRouter,
		}),
	}
	keeper.software.Store(&poolSoftware{})
	return keeper
}

// followDigests applies the keepers and the software in leaders' digests until ctx is done.
func (k *originKeeper) followDigests(ctx context.Context) {
	k.options.View.FollowDigests(ctx, func(digest *wirepb.ClusterDigest) {
		described := &poolSoftware{received: k.options.Now(), isKnown: digest.GetSoftwareKnown(), pools: map[string]*wirepb.PoolSoftware{}}
		for _, pool := range digest.GetSoftware() {
			described.pools[pool.GetPool()] = pool
		}
		k.software.Store(described)
		k.setKeepers(time.Now(), digest.GetRoster().GetKeepers())
	})
}

func (k *originKeeper) setKeepers(now time.Time, listed []*wirepb.RouterEntry) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, entry := range listed {
		if entry.GetNode() != k.options.Node {
			k.keepers[entry.GetNode()] = listedKeeper{address: entry.GetAddress(), listedAt: now}
		}
	}
	maps.DeleteFunc(k.keepers, func(_ string, keeper listedKeeper) bool { return now.Sub(keeper.listedAt) > keeperRetention })
}

// onlyVersion returns the version that all machines of a pool have run for longer than streams live; empty
// if they state none. proven is false if there may have been others.
func (k *originKeeper) onlyVersion(pool string) (software string, proven bool) {
	described := k.software.Load()
	if k.options.Now()-described.received > maxUniformAge {
		return "", false
	}
	return described.pools[pool].GetOnly(), described.pools[pool].GetUniform()
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

// copyToKeepers queues a record for its keepers. The mutex must be held.
func (k *originKeeper) copyToKeepers(record streamorigin.Record) {
	for _, node := range streamorigin.Keepers(record.Key, slices.Collect(maps.Keys(k.keepers)), streamorigin.Copies) {
		waiting := append(k.pending[node], originMessage(time.Now(), record))
		if excess := len(waiting) - maxPendingOrigins; excess > 0 {
			k.options.Metrics.originsNotCopied.Add(float64(excess))
			waiting = waiting[excess:]
		}
		k.pending[node] = waiting
	}
	k.wakeUp()
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
	body, err := proto.Marshal(request)
	if err != nil {
		return nil, fault.Protocol.Wrap(err, "encoding origins of streams")
	}
	outgoing := &upstream.Request{
		Machine: node, Address: address, Method: http.MethodPost, Target: "/", Host: address, Body: body,
		Header: http.Header{headerStreamOrigins: {"1"}},
	}
	response, failure, err := k.routers.Do(ctx, outgoing)
	if failure == upstream.FailureStale && ctx.Err() == nil {
		outgoing.NewConnection = true
		response, failure, err = k.routers.Do(ctx, outgoing)
	}
	if failure != upstream.FailureNone {
		return nil, err
	}
	defer response.Close()
	content, err := io.ReadAll(io.LimitReader(response, maxOriginsBytes))
	if err != nil || response.Status != http.StatusOK {
		return nil, fault.Unavailable.New("router %s answered with status %d", node, response.Status)
	}
	reply := &wirepb.StreamOriginsReply{}
	if err := proto.Unmarshal(content, reply); err != nil {
		return nil, fault.Protocol.Wrap(err, "decoding the origin of a stream")
	}
	return reply, nil
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
	asked := streamorigin.Keepers(key, slices.Collect(maps.Keys(k.keepers)), streamorigin.Asked)
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
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxOriginsBytes))
	asked := &wirepb.StreamOriginsRequest{}
	if err == nil {
		err = proto.Unmarshal(body, asked)
	}
	if err != nil {
		k.options.Logger.Warn("origins_refused", "remote", request.RemoteAddr, "error", err.Error())
		problem.New(problem.TypeInvalid, http.StatusBadRequest, "the origins of streams can't be decoded").Write(writer)
		return
	}
	encoded, err := proto.Marshal(k.answer(time.Now(), asked))
	if err != nil {
		problem.New(problem.TypeUnavailable, http.StatusInternalServerError, "the origin of a stream can't be encoded").Write(writer)
		return
	}
	if _, err := writer.Write(encoded); err != nil {
		k.options.Logger.Debug("origins_not_answered", "remote", request.RemoteAddr, "error", err.Error())
	}
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
