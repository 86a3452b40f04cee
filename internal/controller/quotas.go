package controller

import (
	"time"

	"github.com/weldline/weldline/internal/quota"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// BeginQuotas starts a new term's account of what tenants use.
func (t *ReportTable) BeginQuotas(ledger *quota.Ledger) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.quotas = ledger
}

// quotaReport is the part of a router's report that is about tenants.
func quotaReport(report *wirepb.NodeReport) quota.Report {
	taken := quota.Report{
		Node: report.GetNode(), Incarnation: report.GetIncarnation(),
		Uptime: time.Duration(report.GetUptimeMs()) * time.Millisecond, Full: report.GetTenantsFull(),
	}
	for _, use := range report.GetTenants() {
		recent := make([]float64, 0, len(use.GetRecent()))
		for _, admitted := range use.GetRecent() {
			recent = append(recent, float64(admitted))
		}
		taken.Uses = append(taken.Uses, quota.Use{
			Tenant: use.GetTenant(), Offered: float64(use.GetOffered()), Admitted: use.GetAdmitted(), Recent: recent,
		})
	}
	return taken
}

// UpdateQuotas brings the account up to date. It returns whether routers should hear of it
// at once.
func (t *ReportTable) UpdateQuotas(now time.Duration, limits map[string]quota.Limit) (urgent bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.quotas != nil && t.quotas.Update(now, limits)
}

// allowances are what routers are told of tenants near their limits.
func (t *ReportTable) allowances(now time.Duration, limits map[string]quota.Limit) (messages []*wirepb.TenantAllowance, known bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.quotas == nil {
		return nil, false
	}
	allowances, known := t.quotas.Allowances(now, limits)
	for _, allowance := range allowances {
		messages = append(messages, &wirepb.TenantAllowance{
			Tenant: allowance.Tenant, Offered: float32(allowance.Offered), Admit: float32(allowance.Admit),
		})
	}
	return messages, known
}

// tenantLimits are those of the declared tenants.
func (c *Controller) tenantLimits() map[string]quota.Limit {
	if c.stored == nil {
		return nil
	}
	return c.stored.limits
}
