package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/forwarding"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// routerCheckTimeout bounds a check of another router's status. It exceeds the 100 ms for which a process that
	// has used up its CPU quota may be throttled, on either side.
	routerCheckTimeout = 400 * time.Millisecond
	// routerCheckTick is the interval at which due checks are started.
	routerCheckTick = 100 * time.Millisecond
	// maxCheckLateness is how late the end of a check may be noticed without this process counting as short of
	// processor time.
	maxCheckLateness = 25 * time.Millisecond
)

// setIsolated starts or ends the checks of other routers.
func (f *forwarder) setIsolated(isolated bool) {
	if f.isolated.Swap(isolated) != isolated {
		f.signal()
	}
}

func (f *forwarder) signal() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// run checks the statuses of other routers while this one is isolated, until ctx is done. Requests then need not
// find out which router can serve them.
func (f *forwarder) run(ctx context.Context) {
	var checks sync.WaitGroup
	defer checks.Wait()
	for {
		var next <-chan time.Time
		if f.isolated.Load() {
			for _, router := range f.startChecks() {
				checks.Go(func() { f.checkStatus(ctx, router) })
			}
			next = time.After(routerCheckTick)
		}
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		case <-next:
		}
	}
}

func (f *forwarder) startChecks() []forwarding.Router {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	f.metrics.setRouters(f.selector.Statuses(now))
	return f.selector.StartChecks(now)
}

// checkStatus asks a router for its status and records it.
func (f *forwarder) checkStatus(ctx context.Context, router forwarding.Router) {
	started := time.Now()
	reply, err := f.askRouter(ctx, router, routerCheckTimeout, &wirepb.PathCheckRequest{})
	late := fault.Is(err, fault.Late) || time.Since(started) > routerCheckTimeout+maxCheckLateness
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err != nil {
		// This node's own lateness says nothing about the other.
		f.selector.EndCheck(time.Now(), router.Node, forwarding.StatusFailed, ctx.Err() == nil && !late)
		f.logger.Info("router_check_failed", "router", router.Node, "late", late, "error", fault.Message(err))
		return
	}
	f.selector.EndCheck(time.Now(), router.Node, statusOf(reply), true)
	f.selector.Refer(time.Now(), forwarding.OtherRouters(reply.GetRouters(), f.node, f.location))
	if len(reply.GetRouters()) > 0 {
		f.signal()
	}
}

func statusOf(reply *wirepb.PathCheckReply) forwarding.Status {
	switch {
	case reply.GetNotServing():
		return forwarding.StatusFailed
	case reply.GetIsolated():
		return forwarding.StatusIsolated
	case reply.GetConnected():
		return forwarding.StatusConnected
	}
	return forwarding.StatusUnknown
}
