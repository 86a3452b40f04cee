package nodeview

import (
	"math"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/quota"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// LimitOf converts a tenant's limit.
func LimitOf(tenant *v1.TenantSpec) quota.Limit {
	return quota.Limit{Rate: tenant.Rate, Burst: tenant.Burst}
}

// AllowancesOf returns the allowances in a digest. Only tenants near their limits have one.
func AllowancesOf(digest *wirepb.ClusterDigest) []quota.Allowance {
	allowances := make([]quota.Allowance, 0, len(digest.GetTenants()))
	for _, entry := range digest.GetTenants() {
		allowances = append(allowances, quota.Allowance{
			Tenant: entry.GetTenant(), Offered: float64(entry.GetOffered()), Admit: float64(entry.GetAdmit()),
		})
	}
	return allowances
}

// TenantMessages encodes the tenants' usage for a router's report.
func TenantMessages(uses []quota.Use) []*wirepb.TenantUse {
	messages := make([]*wirepb.TenantUse, 0, len(uses))
	for _, use := range uses {
		recent := make([]uint32, 0, len(use.Recent))
		for _, admitted := range use.Recent {
			recent = append(recent, uint32(min(math.Ceil(admitted), math.MaxUint32)))
		}
		messages = append(messages, &wirepb.TenantUse{
			Tenant: use.Tenant, Offered: float32(use.Offered), Admitted: use.Admitted, Recent: recent,
		})
	}
	return messages
}
