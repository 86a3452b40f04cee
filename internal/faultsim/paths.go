package faultsim

import (
	"slices"
	"time"

	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/forwarding"
	"github.com/weldline/weldline/internal/paths"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	pathProbeInterval  = 100 * time.Millisecond
	routerCheckTimeout = 400 * time.Millisecond
	hangingDialTimeout = 400 * time.Millisecond
	maxForwards        = 8
	// pathContactTime is how long a router may take to notice that its paths are cut.
	pathContactTime = 2 * time.Second
	// maxPathFailures plus maxPathFailureShare of all requests may fail at a router without paths, unless it
	// serves at least minPathShare of the share that others serve.
	maxPathFailures     = 10
	maxPathFailureShare = 1.0 / 50
	minPathShare        = 2.0 / 3
	// unsettledTime is how long a disruptive fault may have effects after it has healed.
	unsettledTime = 6 * time.Second
)

// interval is a span of simulated time.
type interval struct{ start, end time.Duration }

func (i interval) overlaps(other interval) bool { return i.start <= other.end && other.start <= i.end }

// pathCutKind is what happens to the new connections of a router to engines.
type pathCutKind int

const (
	pathsWork pathCutKind = iota
	pathsRefuse
	// pathsHang: connections time out.
	pathsHang
)

// pathCut is a span in which some routers have no path to any engine.
type pathCut struct {
	interval
	routers []*routerNode
}

func (c pathCut) includes(router *routerNode) bool { return slices.Contains(c.routers, router) }

// cutPaths cuts routers off from all engines. Requests that are running continue. It does not apply to routers that
// are cut off already.
func (s *simulation) cutPaths(routers []*routerNode, fault Fault) func() {
	if len(routers) == 0 || slices.ContainsFunc(routers, func(router *routerNode) bool { return router.pathCut != pathsWork }) {
		return nil
	}
	kind := pathsRefuse
	if fault.Target/len(zones)%2 == 1 {
		kind = pathsHang
	}
	for _, router := range routers {
		router.pathCut = kind
	}
	s.checks.pathCuts = append(s.checks.pathCuts, pathCut{interval: interval{start: s.Now(), end: s.Now() + fault.For}, routers: routers})
	return func() {
		for _, router := range routers {
			router.pathCut = pathsWork
		}
	}
}

func (s *simulation) routersOfZone(zone string) []*routerNode {
	var routers []*routerNode
	for _, router := range s.routers {
		if router.zone == zone {
			routers = append(routers, router)
		}
	}
	return routers
}

// mostRouters returns all routers but every eighth one.
func (s *simulation) mostRouters(offset int) []*routerNode {
	const spared = 8
	var routers []*routerNode
	for position, router := range s.routers {
		if (position+offset)%spared != 0 {
			routers = append(routers, router)
		}
	}
	return routers
}

// pathState is what a router knows of its paths and of the routers that it may forward to.
type pathState struct {
	tracker  *paths.Tracker
	selector *forwarding.Selector
	probing  bool
}

func (r *routerNode) newPathState() pathState {
	return pathState{tracker: paths.NewTracker(), selector: forwarding.NewSelector(r.sim.random.IntN)}
}

// setRouters applies the routers of a leader's digest.
func (r *routerNode) setRouters(digest *wirepb.ClusterDigest) {
	location := places.Location{Zone: r.zone}
	routers := forwarding.OtherRouters(feed.SelectRouters(digest.GetRoster().GetRouters(), r.name, location), r.name, location)
	if r.sim.mutation == MutationOwnZoneOnly {
		routers = slices.DeleteFunc(routers, func(router forwarding.Router) bool { return router.Zone != r.zone })
	}
	r.paths.selector.SetRouters(r.wall(), routers)
}

// refuseConnection ends an attempt whose connection was refused.
func (r *routerNode) refuseConnection(entry *inference, grant dispatch.Grant) {
	took := 2 * baseDelay
	if r.pathCut == pathsHang {
		took = max(0, min(hangingDialTimeout, entry.request.Deadline.Sub(r.wall())))
	}
	r.after(took, func() {
		r.applyPathChange(r.paths.tracker.Failed(r.wall(), grant.Target.Machine, paths.FailureConnect))
		r.startProbing()
		r.applyOutcome(r.core.Release(r.wall(), grant, dispatch.ResultUnreachable))
		if entry.ended {
			return
		}
		entry.request.TriedMachines = append(entry.request.TriedMachines, grant.Target.Machine)
		entry.request.Forwardable = r.mayForward(entry)
		r.waiting[entry.request.ID] = entry
		r.applyOutcome(r.core.Resubmit(r.wall(), entry.request))
	})
}

func (r *routerNode) mayForward(entry *inference) bool {
	if entry.reply != nil || r.sim.mutation == MutationKeepRequests {
		return false
	}
	if _, found := r.paths.selector.Choose(r.wall(), entry.request.Version, places.Constraint{}, entry.triedRouters); found {
		return true
	}
	_, found := r.paths.selector.ChooseConnected(r.wall(), places.Constraint{})
	return found && r.paths.tracker.IsIsolated()
}

func (r *routerNode) applyPathChange(change paths.Change) {
	if change == (paths.Change{}) {
		return
	}
	r.applyOutcome(r.core.SetPaths(r.wall(), r.paths.tracker.Down(), r.paths.tracker.IsIsolated()))
}

// startProbing probes paths until none is down.
func (r *routerNode) startProbing() {
	if r.paths.probing {
		return
	}
	r.paths.probing = true
	r.after(pathProbeInterval, func() {
		r.paths.probing = false
		r.paths.tracker.SetMachines(r.core.Machines())
		for _, machine := range r.paths.tracker.StartProbes(r.wall()) {
			r.probePath(machine)
		}
		if r.paths.tracker.IsIsolated() {
			r.checkRouters()
		}
		if r.paths.tracker.AnyDown() || r.paths.tracker.IsIsolated() {
			r.startProbing()
		}
	})
}

func (r *routerNode) probePath(name string) {
	started, target := r.wall(), r.sim.machineNamed(name)
	r.after(2*baseDelay, func() {
		connected := r.pathCut == pathsWork && target.up && !target.removed && r.sim.canReach(&r.process, &target.process)
		r.applyPathChange(r.paths.tracker.EndProbe(r.wall(), name, started, connected))
	})
}

// forwardReply is another router's reply to a forwarded request.
type forwardReply struct {
	outcome callerOutcome
	// isolated is set if the router has no path to any engine; routers are some that have, as far as it knows.
	isolated bool
	routers  []forwarding.Router
}

// forward has another router serve a request.
func (r *routerNode) forward(entry *inference) {
	router, found := r.paths.selector.Choose(r.wall(), entry.request.Version, places.Constraint{}, entry.triedRouters)
	if !found || len(entry.triedRouters) >= maxForwards {
		r.forwardAsLastResort(entry)
		return
	}
	r.forwardTo(entry, router, false)
}

// forwardAsLastResort has a router that is not isolated serve a request as one of its own clients'.
func (r *routerNode) forwardAsLastResort(entry *inference) {
	router, found := r.paths.selector.ChooseConnected(r.wall(), places.Constraint{})
	if !found || entry.isLastResort || !r.paths.tracker.IsIsolated() {
		entry.end(outcomeNotRun)
		return
	}
	entry.isLastResort = true
	r.forwardTo(entry, router, true)
}

func (r *routerNode) forwardTo(entry *inference, router forwarding.Router, isLastResort bool) {
	r.paths.selector.Begin(router.Node)
	other, left := r.sim.routerNamed(router.Node), entry.request.Deadline.Sub(r.wall())
	call(&r.process, &other.process, max(left, 0), func(reply func(forwardReply)) {
		other.handleForwarded(entry, left, isLastResort, reply)
	}, func(reply forwardReply, answered bool) {
		result := forwardResult(reply, answered)
		entry.triedRouters = append(entry.triedRouters, forwarding.Attempt{Router: router, Result: result})
		r.paths.selector.End(r.wall(), router.Node, result)
		r.paths.selector.Refer(r.wall(), r.asSeenFromHere(reply.routers))
		switch {
		case !answered:
			entry.end(outcomeUnknown)
		case reply.outcome != outcomeNotRun:
			entry.end(reply.outcome)
		case isLastResort:
			entry.end(reply.outcome)
		case !entry.ended:
			r.forward(entry)
		}
	})
}

func forwardResult(reply forwardReply, answered bool) forwarding.Result {
	switch {
	case !answered:
		return forwarding.ResultFailed
	case reply.isolated:
		return forwarding.ResultIsolated
	case reply.outcome == outcomeNotRun:
		return forwarding.ResultUnreachable
	}
	return forwarding.ResultServed
}

// asSeenFromHere returns routers that another router named, with their distance from this one.
func (r *routerNode) asSeenFromHere(routers []forwarding.Router) []forwarding.Router {
	return forwarding.OtherRouters(forwarding.Entries(routers), r.name, places.Location{Zone: r.zone})
}

// handleForwarded serves a request of another router's client. It is not forwarded again.
func (r *routerNode) handleForwarded(origin *inference, left time.Duration, isLastResort bool, reply func(forwardReply)) {
	respond := func(outcome callerOutcome) { reply(r.forwardReply(outcome)) }
	target, known := r.view.Resolve(origin.content.model)
	if !r.serving() || !known || r.isQuarantined(origin.content) {
		respond(outcomeNotRun)
		return
	}
	r.requests++
	entry := &inference{router: r, id: origin.id, content: origin.content, reply: respond}
	entry.request = &dispatch.Request{
		ID: r.requests, Version: target.Version, Arrived: r.wall(), Deadline: r.wall().Add(left), Priority: origin.request.Priority,
		Forwarded: !isLastResort || r.paths.tracker.IsIsolated(),
	}
	r.waiting[entry.request.ID] = entry
	r.applyOutcome(r.core.Submit(r.wall(), entry.request))
}

func (r *routerNode) forwardReply(outcome callerOutcome) forwardReply {
	if outcome != outcomeNotRun || !r.paths.tracker.IsIsolated() {
		return forwardReply{outcome: outcome}
	}
	return forwardReply{outcome: outcome, isolated: true, routers: r.paths.selector.Referrals(r.wall())}
}

// checkRouters checks the statuses of other routers while this one is isolated.
func (r *routerNode) checkRouters() {
	for _, router := range r.paths.selector.StartChecks(r.wall()) {
		other := r.sim.routerNamed(router.Node)
		call(&r.process, &other.process, routerCheckTimeout, func(reply func(statusReply)) {
			reply(other.statusReply())
		}, func(reply statusReply, answered bool) {
			if !answered {
				reply.status = forwarding.StatusFailed
			}
			r.paths.selector.EndCheck(r.wall(), router.Node, reply.status, true)
			r.paths.selector.Refer(r.wall(), r.asSeenFromHere(reply.routers))
		})
	}
}

// statusReply is a router's reply to a check of its status.
type statusReply struct {
	status  forwarding.Status
	routers []forwarding.Router
}

func (r *routerNode) statusReply() statusReply {
	switch {
	case r.paths.tracker.IsIsolated():
		return statusReply{status: forwarding.StatusIsolated, routers: r.paths.selector.Referrals(r.wall())}
	case r.paths.tracker.IsConnected(r.wall()):
		return statusReply{status: forwarding.StatusConnected}
	}
	return statusReply{status: forwarding.StatusUnknown}
}

func (s *simulation) routerNamed(name string) *routerNode {
	index := slices.IndexFunc(s.routers, func(candidate *routerNode) bool { return candidate.name == name })
	return s.routers[index]
}

// pathRequest is a request with its outcome, for checkPaths.
type pathRequest struct {
	router   *routerNode
	arrived  time.Duration
	answered bool
}

// recordPathRequest records the outcome of a client's request.
func (c *checks) recordPathRequest(entry *inference, result callerOutcome) {
	if entry.request != nil && len(c.pathCuts) > 0 {
		c.pathRequests = append(c.pathRequests, pathRequest{router: entry.router, arrived: entry.arrived, answered: result == outcomeAnswered})
	}
}

// checkPaths checks that routers without paths serve about as many requests as the others. Cuts that overlap
// with the effects of other faults are left out.
func (c *checks) checkPaths() {
	for _, cut := range c.pathCuts {
		if slices.ContainsFunc(c.disruptions, func(other interval) bool {
			return cut.overlaps(interval{start: other.start, end: other.end + unsettledTime})
		}) {
			continue
		}
		sent, answered, othersSent, othersAnswered := 0, 0, 0, 0
		for _, request := range c.pathRequests {
			switch {
			case request.arrived < cut.start+pathContactTime || request.arrived > cut.end:
			case cut.includes(request.router):
				sent++
				answered += count(request.answered)
			case !c.wasCut(request):
				othersSent++
				othersAnswered += count(request.answered)
			}
		}
		failed, allowed := sent-answered, maxPathFailures+maxPathFailureShare*float64(sent+othersSent)
		if float64(failed) > allowed && float64(answered*othersSent) < minPathShare*float64(othersAnswered*sent) {
			c.violate(CheckPaths, "%d routers answered %d of %d requests without a path to engines, the others %d of %d", len(cut.routers), answered, sent, othersAnswered, othersSent)
		}
	}
}

// wasCut reports whether a request arrived at a router without paths.
func (c *checks) wasCut(request pathRequest) bool {
	return slices.ContainsFunc(c.pathCuts, func(cut pathCut) bool {
		return cut.includes(request.router) && cut.start <= request.arrived && request.arrived <= cut.end
	})
}

func count(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
