package nodeview

import v1 "github.com/weldline/weldline/api/v1"

// addTenant adds a tenant to the indexes. The keys of its previous version must have been removed.
func (v *View) addTenant(name string, tenant *v1.TenantSpec) {
	v.tenants[name] = tenant
	for _, text := range tenant.KeyHashes {
		if hash, ok := v1.ParseKeyHash(text); ok {
			v.tenantsByKey[hash] = name
		}
	}
}

// removeTenant removes a tenant from the indexes. Keys that have moved to another tenant are kept,
// since the change of that tenant may be applied first.
func (v *View) removeTenant(name string, tenant *v1.TenantSpec) {
	delete(v.tenants, name)
	for _, text := range tenant.KeyHashes {
		if hash, ok := v1.ParseKeyHash(text); ok && v.tenantsByKey[hash] == name {
			delete(v.tenantsByKey, hash)
		}
	}
}

// HasTenants reports whether any tenant is declared. Without tenants, requests need no key.
func (v *View) HasTenants() bool {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return len(v.tenants) > 0
}

// TenantOf returns the tenant with a key of the given hash. The spec is nil if there is none.
func (v *View) TenantOf(hash v1.KeyHash) (name string, spec *v1.TenantSpec) {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	name, held := v.tenantsByKey[hash]
	if !held {
		return "", nil
	}
	return name, v.tenants[name]
}
