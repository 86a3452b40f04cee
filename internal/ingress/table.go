package ingress

import (
	"net"
	"sort"
	"strings"
	"sync"

	v1 "github.com/weldline/weldline/api/v1"
)

// Route is a declared route, ready for requests.
type Route struct {
	Name string
	Spec *v1.RouteSpec

	mutex sync.Mutex
	// credits of the targets, for smooth weighted turns.
	credits []int
}

// Table finds the route of a request. It is built once for each change.
type Table struct {
	// byHost lists the routes of a host, longest prefix first.
	byHost map[string][]*Route
}

// NewTable builds a table; routes that are as in the table before keep their
// turns.
func NewTable(specs map[string]*v1.RouteSpec, before *Table) *Table {
	known := map[string]*Route{}
	if before != nil {
		for _, routes := range before.byHost {
			for _, route := range routes {
				known[route.Name] = route
			}
		}
	}
	table := &Table{byHost: map[string][]*Route{}}
	for name, spec := range specs {
		route := known[name]
		if route == nil || route.Spec != spec {
			route = &Route{Name: name, Spec: spec, credits: make([]int, len(spec.Targets))}
		}
		host := strings.ToLower(spec.Host)
		table.byHost[host] = append(table.byHost[host], route)
	}
	for _, routes := range table.byHost {
		sort.Slice(routes, func(i, j int) bool {
			left, right := routes[i].Spec.PathPrefix, routes[j].Spec.PathPrefix
			if len(left) != len(right) {
				return len(left) > len(right)
			}
			return left < right
		})
	}
	return table
}

// Find returns the route of a host and path, or nil.
func (t *Table) Find(host, path string) *Route {
	if t == nil {
		return nil
	}
	for _, route := range t.byHost[hostName(host)] {
		if strings.HasPrefix(path, route.Spec.PathPrefix) {
			return route
		}
	}
	return nil
}

func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// NextPool returns the pool of the next request: in any run of requests each
// target gets its share, spread as evenly as the weights allow.
func (r *Route) NextPool() string {
	if len(r.Spec.Targets) == 1 {
		return r.Spec.Targets[0].Pool
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	total, best := 0, -1
	for position, target := range r.Spec.Targets {
		r.credits[position] += target.Weight
		total += target.Weight
		if target.Weight > 0 && (best < 0 || r.credits[position] > r.credits[best]) {
			best = position
		}
	}
	r.credits[best] -= total
	return r.Spec.Targets[best].Pool
}
