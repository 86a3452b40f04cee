package forwarding

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// doubtPeriod is for how long a router that lacked a path for a request is tried after those that may not.
	doubtPeriod = time.Second
	// unservablePeriod is how long a version is not forwarded after connected routers of all known zones had no
	// path to a machine for it.
	unservablePeriod = 300 * time.Millisecond
	// minUnservableEvidence is how many connected routers must lack a path, unless fewer are known.
	minUnservableEvidence = 3
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

// Entries returns the wire form of routers.
func Entries(routers []Router) []*wirepb.RouterEntry {
	entries := make([]*wirepb.RouterEntry, 0, len(routers))
	for _, router := range routers {
		entries = append(entries, &wirepb.RouterEntry{Node: router.Node, Zone: router.Zone, Address: router.Address})
	}
	return entries
}

// Result is what became of a forwarded request.
type Result int

const (
	// ResultServed: the router responded, whatever the response was.
	ResultServed Result = iota
	// ResultUnreachable: the router has no path to a machine that could serve the request, but to others.
	ResultUnreachable
	// ResultIsolated: the router has no path to any machine.
	ResultIsolated
	// ResultFailed: the router could not be connected to, the connection broke, or the router serves nothing.
	ResultFailed
	// ResultCanceled: the client or this router ended the exchange.
	ResultCanceled
)

// Attempt is a router that a request was sent to, with the result.
type Attempt struct {
	Router Router
	Result Result
}

// routerState is a router with what is known of it.
type routerState struct {
	Router
	inFlight int
	// status was observed last, and holds until expiresAt. The next check is due at checkAt.
	status             Status
	expiresAt, checkAt time.Time
	checking           bool
	// failures counts the consecutive observations that the router does not work.
	failures int
	// doubtedUntil is set when the router lacked a path to a machine for a request.
	doubtedUntil time.Time
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
func (s *Selector) CanChoose(now time.Time, version string, allowed places.Constraint, tried []Attempt) bool {
	for range s.usable(now, version, allowed, tried) {
		return true
	}
	return false
}

// usable yields the routers that may get a request.
func (s *Selector) usable(now time.Time, version string, allowed places.Constraint, tried []Attempt) iter.Seq[*routerState] {
	return func(yield func(*routerState) bool) {
		if now.Before(s.unservable[version]) || s.IsUnservable(allowed, tried) {
			return
		}
		for node, router := range s.routers {
			if !router.isAvoided(now) && allowed.Allows(router.Region) && !wasTried(tried, node) && !yield(router) {
				return
			}
		}
	}
}

func wasTried(tried []Attempt, node string) bool {
	return slices.ContainsFunc(tried, func(attempt Attempt) bool { return attempt.Router.Node == node })
}

// Choose returns a router for a request, or false if there is none. It prefers zones in which no attempt of the
// request found a lack of paths, routers that are known to be connected, and the nearest ones, and takes the less busy
// of two random ones among the best.
func (s *Selector) Choose(now time.Time, version string, allowed places.Constraint, tried []Attempt) (Router, bool) {
	return s.best(now, slices.Collect(s.usable(now, version, allowed, tried)), tried)
}

// ChooseConnected returns a router that is known to have paths to some machines, or false if there is none.
func (s *Selector) ChooseConnected(now time.Time, allowed places.Constraint) (Router, bool) {
	var connected []*routerState
	for _, router := range s.routers {
		isConnected := router.statusAt(now) == StatusConnected || now.Before(router.doubtedUntil)
		if isConnected && !router.isAvoided(now) && allowed.Allows(router.Region) {
			connected = append(connected, router)
		}
	}
	return s.best(now, connected, nil)
}

// best returns one of the best of some routers, or false if there are none.
func (s *Selector) best(now time.Time, usable []*routerState, tried []Attempt) (Router, bool) {
	if len(usable) == 0 {
		return Router{}, false
	}
	preferences := make(map[string]preference, len(usable))
	for _, router := range usable {
		preferences[router.Node] = router.preference(now, tried)
	}
	slices.SortFunc(usable, func(left, right *routerState) int {
		return cmp.Or(preferences[left.Node].compare(preferences[right.Node]), cmp.Compare(left.Node, right.Node))
	})
	candidates := usable[:bestCount(usable, preferences)]
	first, second := candidates[s.random(len(candidates))], candidates[s.random(len(candidates))]
	if second.inFlight < first.inFlight {
		first = second
	}
	return first.Router, true
}

// IsUnservable reports whether the attempts of a request show that its machines are down: connected routers of all
// known zones have no path to one. Isolated routers and those that failed say nothing about machines.
func (s *Selector) IsUnservable(allowed places.Constraint, tried []Attempt) bool {
	evidence, covered := 0, map[string]bool{}
	for _, attempt := range tried {
		if attempt.Result == ResultUnreachable {
			evidence++
			covered[attempt.Router.Zone] = true
		}
	}
	if evidence == 0 {
		return false
	}
	routers := 0
	for _, router := range s.routers {
		if allowed.Allows(router.Region) {
			if !covered[router.Zone] {
				return false
			}
			routers++
		}
	}
	return evidence >= min(minUnservableEvidence, routers)
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
		router.doubtedUntil = time.Time{}
		router.observe(now, StatusConnected)
	case ResultUnreachable:
		router.doubtedUntil = now.Add(doubtPeriod)
	case ResultIsolated:
		router.observe(now, StatusIsolated)
	case ResultFailed:
		router.observe(now, StatusFailed)
	case ResultCanceled:
	}
}

// MarkUnservable records that the machines of a version are down, so that its requests are not forwarded for a
// moment: each would only add load.
func (s *Selector) MarkUnservable(now time.Time, version string) {
	if len(s.unservable) >= maxUnservable {
		clear(s.unservable)
	}
	s.unservable[version] = now.Add(unservablePeriod)
}
