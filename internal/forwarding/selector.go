package forwarding

import (
	"slices"
	"time"

	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/retrydelay"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// A router that can't be connected to, or broke a connection, is avoided for a time that doubles
	// with each failure.
	minFailureDelay = 250 * time.Millisecond
	maxFailureDelay = 4 * time.Second
	// unreachableDelay is how long a router is avoided that has no path itself.
	unreachableDelay = 300 * time.Millisecond
	// retention is how long a router stays known that is not listed any more. A new leader lists routers
	// only once they have reported to it.
	retention = 10 * time.Second
	// maxUnservable bounds the versions that are known to be unservable.
	maxUnservable = 1024
)

// Router is another router that accepts forwarded requests.
type Router struct {
	Node, Address, Zone string
	// Region is empty if unknown.
	Region    string
	Proximity places.Proximity
}

// OtherRouters returns the listed routers without the given one, as seen from a location.
func OtherRouters(entries []*wirepb.RouterEntry, node string, location places.Location) []Router {
	var routers []Router
	for _, entry := range entries {
		if entry.GetNode() != node {
			routers = append(routers, Router{
				Node: entry.GetNode(), Address: entry.GetAddress(), Zone: entry.GetZone(), Region: location.Zones.Region(entry.GetZone()), Proximity: location.ProximityOf(entry.GetZone()),
			})
		}
	}
	return routers
}

// Result is what became of a forwarded request.
type Result int

const (
	// ResultServed: the router responded, whatever the response was.
	ResultServed Result = iota
	// ResultUnreachable: the router has no path to a machine either.
	ResultUnreachable
	// ResultFailed: the router could not be connected to, or the connection broke.
	ResultFailed
	// ResultCanceled: the client or this router ended the exchange.
	ResultCanceled
)

// routerState is a router with what is known of it.
type routerState struct {
	Router
	inFlight     int
	failures     int
	avoidedUntil time.Time
	listedAt     time.Time
}

// Selector chooses routers. It is not safe for concurrent use.
type Selector struct {
	routers map[string]*routerState
	// random returns a number in [0, n).
	random func(n int) int
	// unservable maps versions that no router could serve to when they may be tried again.
	unservable map[string]time.Time
}

// NewSelector returns a selector without routers.
func NewSelector(random func(n int) int) *Selector {
	return &Selector{routers: map[string]*routerState{}, random: random, unservable: map[string]time.Time{}}
}

// SetRouters sets the listed routers. It keeps what is known of those at the same address, and for a while
// those that are no longer listed.
func (s *Selector) SetRouters(now time.Time, routers []Router) {
	updated := make(map[string]*routerState, len(routers))
	for node, state := range s.routers {
		if now.Sub(state.listedAt) < retention {
			updated[node] = state
		}
	}
	for _, router := range routers {
		state := s.routers[router.Node]
		if state == nil || state.Address != router.Address {
			state = &routerState{}
		}
		state.Router, state.listedAt = router, now
		updated[router.Node] = state
	}
	s.routers = updated
}

// Nodes returns the names of the routers.
func (s *Selector) Nodes() map[string]bool {
	nodes := make(map[string]bool, len(s.routers))
	for node := range s.routers {
		nodes[node] = true
	}
	return nodes
}

// CanChoose reports whether there is a router for a request.
func (s *Selector) CanChoose(now time.Time, version string, allowed places.Constraint, tried []string) bool {
	if now.Before(s.unservable[version]) {
		return false
	}
	for node, router := range s.routers {
		if router.isUsable(now, allowed) && !slices.Contains(tried, node) {
			return true
		}
	}
	return false
}

func (r *routerState) isUsable(now time.Time, allowed places.Constraint) bool {
	return !now.Before(r.avoidedUntil) && allowed.Allows(r.Region)
}

// Choose returns a router for a request, or false if there is none. It prefers the nearest routers, and
// the less busy of two random ones among them.
func (s *Selector) Choose(now time.Time, version string, allowed places.Constraint, tried []string) (Router, bool) {
	if now.Before(s.unservable[version]) {
		return Router{}, false
	}
	var usable []*routerState
	for node, router := range s.routers {
		if router.isUsable(now, allowed) && !slices.Contains(tried, node) {
			usable = append(usable, router)
		}
	}
	if len(usable) == 0 {
		return Router{}, false
	}
	slices.SortFunc(usable, func(left, right *routerState) int {
		if left.Proximity != right.Proximity {
			return int(left.Proximity - right.Proximity)
		}
		if left.Node < right.Node {
			return -1
		}
		return 1
	})
	candidates := usable[:nearestCount(usable)]
	first, second := candidates[s.random(len(candidates))], candidates[s.random(len(candidates))]
	if second.inFlight < first.inFlight {
		first = second
	}
	return first.Router, true
}

// nearestCount returns how many of the routers, sorted by proximity, to choose from: those at the least
// distance at which there are two, so that not all requests go to one.
func nearestCount(sorted []*routerState) int {
	const enough = 2
	count := 0
	for count < len(sorted) && (count < enough || sorted[count].Proximity == sorted[count-1].Proximity) {
		count++
	}
	return count
}

// Begin records that a request is forwarded to a router. It must be followed by End.
func (s *Selector) Begin(node string) {
	if router := s.routers[node]; router != nil {
		router.inFlight++
	}
}

// End records the result of a forwarded request.
func (s *Selector) End(now time.Time, node string, result Result) {
	router := s.routers[node]
	if router == nil {
		return
	}
	router.inFlight = max(0, router.inFlight-1)
	switch result {
	case ResultServed:
		router.failures, router.avoidedUntil = 0, time.Time{}
	case ResultUnreachable:
		router.avoidedUntil = now.Add(unreachableDelay)
	case ResultFailed:
		router.avoidedUntil = now.Add(retrydelay.Exponential(minFailureDelay, maxFailureDelay, router.failures))
		router.failures++
	case ResultCanceled:
	}
}

// MarkUnservable records that no router has a path to a machine for a version, so that its requests are
// not forwarded for a moment: the machines are down, and each forwarded request would only add load.
func (s *Selector) MarkUnservable(now time.Time, version string) {
	if len(s.unservable) >= maxUnservable {
		clear(s.unservable)
	}
	s.unservable[version] = now.Add(unreachableDelay)
}
