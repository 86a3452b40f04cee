package ingress

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/problem"
)

const (
	// retryAfterNoMachine is when to come back where the allowed regions have no machine: one may
	// have registered by then, and coming sooner helps nobody.
	retryAfterNoMachine = time.Second
	// maxConstraints bounds the pairs of routes and tenants whose constraint is remembered; a
	// change of either leaves its old pairs behind.
	maxConstraints = 4096
)

// boundBy is what binds a request to regions. A changed route or tenant is another one.
type boundBy struct {
	route  *v1.RouteSpec
	tenant *v1.TenantSpec
}

// constraint returns the regions that both allow.
func (b boundBy) constraint() places.Constraint {
	allowed := places.RestrictTo(b.route.AllowedRegions...)
	if b.tenant == nil {
		return allowed
	}
	return allowed.Intersect(places.RestrictTo(b.tenant.AllowedRegions...))
}

// constraints remembers the constraint of each pair of route and tenant that bind requests: it is
// asked for before each send.
type constraints struct {
	mutex sync.Mutex
	known map[boundBy]places.Constraint
}

func newConstraints() *constraints {
	return &constraints{known: map[boundBy]places.Constraint{}}
}

func (c *constraints) of(by boundBy) places.Constraint {
	if len(by.route.AllowedRegions) == 0 && (by.tenant == nil || len(by.tenant.AllowedRegions) == 0) {
		return places.Constraint{}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	allowed, known := c.known[by]
	if !known {
		if len(c.known) >= maxConstraints {
			clear(c.known)
		}
		allowed = by.constraint()
		c.known[by] = allowed
	}
	return allowed
}

// allowed returns which regions may serve the request by the newest that this node knows of its
// route and tenant: a change binds requests that wait, too. Where one of them is not declared any
// more, what it said last still binds.
func (j *job) allowed() places.Constraint {
	by := boundBy{route: j.route.Spec, tenant: j.tenant.spec}
	if newest := j.newestRoute(); newest != nil {
		by.route = newest
	}
	if newest := j.ingress.options.View.Tenant(j.tenant.name); newest != nil {
		by.tenant = newest
	}
	return j.ingress.constraints.of(by)
}

// newestRoute returns the route as it is declared now: the one of that name or, after a change of
// names, the one that would be found; nil if there is neither.
func (j *job) newestRoute() *v1.RouteSpec {
	if newest := j.ingress.options.View.Route(j.route.Name); newest != nil {
		return newest
	}
	if found := j.ingress.table.Load().Find(j.request.Host, j.request.URL.EscapedPath()); found != nil {
		return found.Spec
	}
	return nil
}

// withoutRegion returns the answer to a request that no region may serve; nil for any other. It
// is the service that can't run the request at present, by its own declarations, and the caller
// did nothing wrong: hence 503. Only a change of the declarations helps, so no time to come back
// is told.
func (j *job) withoutRegion(allowed places.Constraint) *problem.Document {
	if !allowed.IsEmpty() {
		return nil
	}
	detail := fmt.Sprintf("route %s and tenant %s allow no region in common", j.route.Name, j.tenant.name)
	return problem.New(problem.TypeNoRegion, http.StatusServiceUnavailable, detail)
}

// withoutMachine returns the answer to a request whose allowed regions have no machine of its
// pool; nil for any other. To let it wait would only use up the time in which its caller may turn
// elsewhere.
func (j *job) withoutMachine(allowed places.Constraint) *problem.Document {
	if !allowed.IsRestrictive() || j.ingress.options.View.HasMachineIn(j.pool, allowed) {
		return nil
	}
	detail := fmt.Sprintf("pool %s has no machine in the allowed regions %s", j.pool, strings.Join(allowed.Regions(), ", "))
	document := problem.New(problem.TypeNoRegion, http.StatusServiceUnavailable, detail)
	document.RetryAfter = retryAfterNoMachine
	return document
}

// unservable returns the answer to a request that no machine may serve; nil for any other.
func (j *job) unservable(allowed places.Constraint) *problem.Document {
	if document := j.withoutRegion(allowed); document != nil {
		return document
	}
	return j.withoutMachine(allowed)
}
