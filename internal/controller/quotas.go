package controller

import (
	"time"

	"github.com/weldline/weldline/internal/quota"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// BeginQuotas sets the quota ledger of a new term.
func (t *ReportTable) BeginQuotas(ledger *quota.Ledger) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.quotas = ledger
}

// quotaReport extracts the tenants' usage from a router's report.
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

// UpdateQuotas updates the ledger. It returns whether the allowances should be published at once.
func (t *ReportTable) UpdateQuotas(now time.Duration, limits map[string]quota.Limit) (urgent bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.quotas != nil && t.quotas.Update(now, limits)
}

// allowances returns the allowances of tenants near their limits, for the next digest.
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

func (c *Controller) tenantLimits() map[string]quota.Limit {
	if c.stored == nil {
		return nil
	}
	return c.stored.limits
}
