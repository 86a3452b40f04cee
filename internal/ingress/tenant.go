package ingress

import (
	"net/http"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/problem"
)

// tenantIdentity is the tenant that a request's key belongs to, if any. Keys are checked for each
// request, as a connection may outlive its key.
type tenantIdentity struct {
	name string
	spec *v1.TenantSpec
}

// authenticate finds the tenant of the request by its key. If tenants are declared, only
// anonymous routes accept requests without a valid key. It runs before the body is read.
//
// Revoking a key does not affect requests in flight.
func (j *job) authenticate() *problem.Document {
	view := j.ingress.options.View
	if !view.HasTenants() {
		return nil
	}
	hash := v1.HashKey(j.attributes.Key)
	j.tenant.name, j.tenant.spec = view.TenantOf(hash)
	if j.tenant.spec != nil || j.route.Spec.Anonymous {
		return nil
	}
	if j.attributes.Key == "" {
		j.log("unknown_key", "version", j.declaredVersion())
		return problem.New(problem.TypeUnauthorized, http.StatusUnauthorized, "the request shows no key")
	}
	j.log("unknown_key", "key", hash.Fingerprint(), "version", j.declaredVersion())
	return problem.New(problem.TypeUnauthorized, http.StatusUnauthorized, "no tenant has the key with fingerprint "+hash.Fingerprint())
}

// priority returns the tenant's priority, or else the route's.
func (j *job) priority() int32 {
	if j.tenant.spec != nil && j.tenant.spec.Priority != nil {
		return *j.tenant.spec.Priority
	}
	return j.route.Spec.Priority
}
