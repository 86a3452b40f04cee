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
	// retryAfterNoMachine is the Retry-After if the allowed regions have no machine.
	retryAfterNoMachine = time.Second
	// maxCachedConstraints bounds the cache: entries of changed routes and tenants stay in it.
	maxCachedConstraints = 4096
)

// constraintKey is the route and tenant that restrict a request to regions. A changed spec is a new
// pointer.
type constraintKey struct {
	route  *v1.RouteSpec
	tenant *v1.TenantSpec
}

// constraint returns the regions that both the route and the tenant allow.
func (k constraintKey) constraint() places.Constraint {
	allowed := places.RestrictTo(k.route.AllowedRegions...)
	if k.tenant == nil {
		return allowed
	}
	return allowed.Intersect(places.RestrictTo(k.tenant.AllowedRegions...))
}

// constraintCache caches the constraint of each pair of route and tenant, which is needed before each
// send.
type constraintCache struct {
	mutex   sync.Mutex
	entries map[constraintKey]places.Constraint
}

func newConstraintCache() *constraintCache {
	return &constraintCache{entries: map[constraintKey]places.Constraint{}}
}

func (c *constraintCache) get(key constraintKey) places.Constraint {
	if len(key.route.AllowedRegions) == 0 && (key.tenant == nil || len(key.tenant.AllowedRegions) == 0) {
		return places.Constraint{}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	allowed, cached := c.entries[key]
	if !cached {
		if len(c.entries) >= maxCachedConstraints {
			clear(c.entries)
		}
		allowed = key.constraint()
		c.entries[key] = allowed
	}
	return allowed
}

// allowedRegions returns the regions that may serve the request by the current specs of its route and
// tenant, so that a change also applies to queued requests. The last spec of a deleted route or
// tenant stays in force.
func (j *job) allowedRegions() places.Constraint {
	key := constraintKey{route: j.route.Spec, tenant: j.tenant.spec}
	if current := j.currentRoute(); current != nil {
		key.route = current
	}
	if current := j.ingress.options.View.Tenant(j.tenant.name); current != nil {
		key.tenant = current
	}
	return j.ingress.constraints.get(key)
}

// currentRoute returns the current spec of the request's route: the one of the same name or else
// the one that matches host and path. It returns nil if there is neither.
func (j *job) currentRoute() *v1.RouteSpec {
	if current := j.ingress.options.View.Route(j.route.Name); current != nil {
		return current
	}
	if found := j.ingress.table.Load().Find(j.request.Host, j.request.URL.EscapedPath()); found != nil {
		return found.Spec
	}
	return nil
}

// noRegionProblem returns a problem if no region may serve the request. The status is 503, as the
// declarations are at fault and not the request; there is no Retry-After, as only a change of the
// declarations can help.
func (j *job) noRegionProblem(allowed places.Constraint) *problem.Document {
	if !allowed.IsEmpty() {
		return nil
	}
	detail := fmt.Sprintf("route %s and tenant %s allow no region in common", j.route.Name, j.tenant.name)
	return problem.New(problem.TypeNoRegion, http.StatusServiceUnavailable, detail)
}

// noMachineProblem returns a problem if the allowed regions have no machine of the request's pool. Waiting
// would only use up the time in which its client may turn elsewhere.
func (j *job) noMachineProblem(allowed places.Constraint) *problem.Document {
	if !allowed.IsRestrictive() || j.ingress.options.View.HasMachineIn(j.pool, allowed) {
		return nil
	}
	detail := fmt.Sprintf("pool %s has no machine in the allowed regions %s", j.pool, strings.Join(allowed.Regions(), ", "))
	document := problem.New(problem.TypeNoRegion, http.StatusServiceUnavailable, detail)
	document.RetryAfter = retryAfterNoMachine
	return document
}

// unservableProblem returns a problem if no machine may serve the request.
func (j *job) unservableProblem(allowed places.Constraint) *problem.Document {
	if document := j.noRegionProblem(allowed); document != nil {
		return document
	}
	return j.noMachineProblem(allowed)
}
