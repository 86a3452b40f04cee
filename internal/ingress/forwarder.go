package ingress

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
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
	node    string
	logger  *slog.Logger
	metrics *Metrics
	// pool has the connections to all routers, also for messages of the originKeeper.
	pool *upstream.Pool
	// isolated is set while this router has no path to any machine, and the statuses of others are checked.
	isolated atomic.Bool
	// wake ends the rest between checks.
	wake chan struct{}

	mutex    sync.Mutex
	selector *forwarding.Selector
	location places.Location
}

func newForwarder(options Options) *forwarder {
	return &forwarder{
		node: options.Node, logger: options.Logger, metrics: options.Metrics, selector: forwarding.NewSelector(rand.IntN), wake: make(chan struct{}, 1),
		pool: upstream.NewPool(upstream.Config{
			DialTimeout: forwardDialTimeout, MaxIdle: upstream.FixedMaxIdle(maxIdlePerRouter), IdleTimeout: idleTimeout, Dial: meteredDial(options.Link, options.DialRouter),
			OnDial: observeDials(options, toRouter), LinkDelay: linkDelay(options.Link),
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
	f.location = location
	f.selector.SetRouters(time.Now(), forwarding.OtherRouters(entries, f.node, location))
}

// refer records routers that another one named as connected.
func (f *forwarder) refer(entries []*wirepb.RouterEntry) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.selector.Refer(time.Now(), forwarding.OtherRouters(entries, f.node, f.location))
}

// referrals returns some routers that are known to be connected, for another router.
func (f *forwarder) referrals() []*wirepb.RouterEntry {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return forwarding.Entries(f.selector.Referrals(time.Now()))
}

// canForward reports whether there is a router for a request. isolated is set if this one has no path to any machine.
func (f *forwarder) canForward(version string, allowed places.Constraint, tried []forwarding.Attempt, isolated bool) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.selector.CanChoose(time.Now(), version, allowed, tried) {
		return true
	}
	if !isolated {
		return false
	}
	_, found := f.selector.ChooseConnected(time.Now(), allowed)
	return found
}

// beginLastResort chooses a router that is not isolated, whatever it has a path for. It must be followed by end if it
// found one.
func (f *forwarder) beginLastResort(allowed places.Constraint) (forwarding.Router, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	router, found := f.selector.ChooseConnected(time.Now(), allowed)
	if found {
		f.selector.Begin(router.Node)
	}
	return router, found
}

// any returns a router that requests may be forwarded to.
func (f *forwarder) any() (forwarding.Router, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.selector.Choose(time.Now(), "", places.Constraint{}, nil)
}

// hasRouters reports whether any other routers are known.
func (f *forwarder) hasRouters() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.selector.Nodes()) > 0
}

// begin chooses a router. It must be followed by end if it found one.
func (f *forwarder) begin(version string, allowed places.Constraint, tried []forwarding.Attempt) (forwarding.Router, bool) {
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

// markIfUnservable stops the forwarding of a version for a moment if the attempts of a request show that its
// machines are down, and reports whether they do.
func (f *forwarder) markIfUnservable(version string, allowed places.Constraint, tried []forwarding.Attempt) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	unservable := f.selector.IsUnservable(allowed, tried)
	if unservable {
		f.selector.MarkUnservable(time.Now(), version)
	}
	return unservable
}

// nodes returns the names of the known routers.
func (f *forwarder) nodes() map[string]bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.selector.Nodes()
}
