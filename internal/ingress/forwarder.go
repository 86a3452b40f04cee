package ingress

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/weldline/weldline/internal/forwarding"
	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/upstream"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	forwardDialTimeout = 300 * time.Millisecond
	maxIdlePerRouter   = 8
)

// forwarder sends requests to other routers. It is safe for concurrent use.
type forwarder struct {
	node   string
	logger *slog.Logger
	// pool has the connections to all routers, also for messages of the originKeeper.
	pool *upstream.Pool

	mutex    sync.Mutex
	selector *forwarding.Selector
}

func newForwarder(options Options) *forwarder {
	return &forwarder{
		node: options.Node, logger: options.Logger, selector: forwarding.NewSelector(rand.IntN),
		pool: upstream.NewPool(upstream.Config{
			DialTimeout: forwardDialTimeout, MaxIdle: upstream.FixedMaxIdle(maxIdlePerRouter), IdleTimeout: idleTimeout, Dial: options.DialRouter,
		}),
	}
}

// followDigests applies the routers in leaders' digests until ctx is done.
func (f *forwarder) followDigests(ctx context.Context, view *nodeview.View) {
	view.FollowDigests(ctx, func(digest *wirepb.ClusterDigest) {
		f.setRouters(view.Location(), digest.GetRoster().GetRouters())
	})
}

func (f *forwarder) setRouters(location places.Location, entries []*wirepb.RouterEntry) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.selector.SetRouters(time.Now(), forwarding.OtherRouters(entries, f.node, location))
}

// canForward reports whether there is a router for a request.
func (f *forwarder) canForward(version string, allowed places.Constraint, tried []string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.selector.CanChoose(time.Now(), version, allowed, tried)
}

// hasRouters reports whether any other routers are known.
func (f *forwarder) hasRouters() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.selector.Nodes()) > 0
}

// begin chooses a router. It must be followed by end if it found one.
func (f *forwarder) begin(version string, allowed places.Constraint, tried []string) (forwarding.Router, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	router, found := f.selector.Choose(time.Now(), version, allowed, tried)
	if found {
		f.selector.Begin(router.Node)
	}
	return router, found
}

func (f *forwarder) end(node string, result forwarding.Result) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.selector.End(time.Now(), node, result)
}

func (f *forwarder) markUnservable(version string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.selector.MarkUnservable(time.Now(), version)
}

// nodes returns the names of the known routers.
func (f *forwarder) nodes() map[string]bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.selector.Nodes()
}
