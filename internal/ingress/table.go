package ingress

import (
	"math/rand/v2"
	"net"
	"sort"
	"strings"

	v1 "github.com/weldline/weldline/api/v1"
)

// Route is a declared route with its target selection state.
type Route struct {
	Name string
	Spec *v1.RouteSpec

	selector *targetSelector
}

// Table finds the route of a request. It is immutable.
type Table struct {
	// byHost lists the routes of a host, longest prefix first.
	byHost map[string][]*Route
}

// NewTable builds a table. Routes whose spec is the same as before keep their
// target selection state.
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
			route = &Route{Name: name, Spec: spec, selector: newTargetSelector(rand.Float64())}
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

// NextPool chooses the pool of the next request by the weights of the targets.
func (r *Route) NextPool() string {
	return r.Spec.Targets[r.selector.next(r.Spec.Targets)].Pool
}
