package nodeview

import (
	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/places"
)

// regionCounts counts the machines in use by pool and region.
type regionCounts map[string]map[string]int

func (c regionCounts) add(pool, region string, change int) {
	if c[pool] == nil {
		c[pool] = map[string]int{}
	}
	c[pool][region] += change
	if c[pool][region] == 0 {
		delete(c[pool], region)
	}
}

// countMachine adds change to the count for a machine's pool and region.
func (v *View) countMachine(machine Machine, change int) {
	if machine.Status.Phase.IsInUse() {
		v.regions.add(machine.Spec.Pool, v.location.Zones.Region(machine.Spec.Zone), change)
	}
}

// HasMachineIn reports whether a pool has a machine in use in an allowed region.
func (v *View) HasMachineIn(pool string, allowed places.Constraint) bool {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	for region := range v.regions[pool] {
		if allowed.Allows(region) {
			return true
		}
	}
	return false
}

// MayServe reports whether a constraint allows requests to a machine's endpoint. Endpoints are reused:
// the regions of all live machines at the endpoint must be allowed.
func (v *View) MayServe(name, endpoint string, allowed places.Constraint) bool {
	if !allowed.IsRestrictive() {
		return true
	}
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	machine, known := v.machines[name]
	if !known || !allowed.Allows(v.location.Zones.Region(machine.Spec.Zone)) {
		return false
	}
	for other, candidate := range v.byEndpoint[endpoint] {
		if other == name || candidate.Status.Phase != v1.MachineLive {
			continue
		}
		if !allowed.Allows(v.location.Zones.Region(candidate.Spec.Zone)) {
			return false
		}
	}
	return true
}

// Route returns a declared route, or nil.
func (v *View) Route(name string) *v1.RouteSpec {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.routes[name]
}

// Tenant returns a declared tenant, or nil.
func (v *View) Tenant(name string) *v1.TenantSpec {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.tenants[name]
}
