package nodeview

import (
	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/places"
)

// regionCounts counts the machines in use of each pool by their region, so that a request that
// is bound to regions learns at once whether any machine may ever serve it.
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

// countMachine adds a machine to the count of its pool's regions, or takes it out.
func (v *View) countMachine(machine Machine, change int) {
	if machine.Status.Phase.IsInUse() {
		v.regions.add(machine.Spec.Pool, v.position.Zones.Region(machine.Spec.Zone), change)
	}
}

// HasMachineIn reports whether a pool has a machine in use in a region that a constraint allows.
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

// MayServe reports whether a constraint allows what stands at a machine's endpoint, as far as is
// known now. Addresses are used again: where another live machine has it too, both must be allowed.
func (v *View) MayServe(name, endpoint string, allowed places.Constraint) bool {
	if !allowed.IsRestrictive() {
		return true
	}
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	machine, known := v.machines[name]
	if !known || !allowed.Allows(v.position.Zones.Region(machine.Spec.Zone)) {
		return false
	}
	for other, candidate := range v.atEndpoint[endpoint] {
		if other == name || candidate.Status.Phase != v1.MachineLive {
			continue
		}
		if !allowed.Allows(v.position.Zones.Region(candidate.Spec.Zone)) {
			return false
		}
	}
	return true
}

// Route returns a declared route as it is now, or nil.
func (v *View) Route(name string) *v1.RouteSpec {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.routes[name]
}

// Tenant returns a declared tenant as it is now, or nil.
func (v *View) Tenant(name string) *v1.TenantSpec {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.tenants[name]
}
