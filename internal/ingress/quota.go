package ingress

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/nodeview"
	"github.com/weldline/weldline/internal/problem"
	"github.com/weldline/weldline/internal/quota"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// quotas enforces the limits of tenants at this node. It is safe for concurrent use.
type quotas struct {
	mutex    sync.Mutex
	started  time.Time
	enforcer *quota.Enforcer
}

func newQuotas(bound quota.Bound, sharing quota.Sharing) *quotas {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &quotas{started: time.Now(), enforcer: quota.NewEnforcer(0, bound, sharing, random)}
}

func (q *quotas) now() time.Duration {
	return time.Since(q.started)
}

// followDigests applies the allowances of leaders' digests until ctx is done. It requests an early
// report if a new leader needs one.
func (q *quotas) followDigests(ctx context.Context, view *nodeview.View, requestReport func()) {
	view.FollowDigests(ctx, func(digest *wirepb.ClusterDigest) {
		if q.applyDigest(digest) {
			requestReport()
		}
	})
}

func (q *quotas) applyDigest(digest *wirepb.ClusterDigest) (report bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.enforcer.ApplyDigest(q.now(), digest.GetTerm(), int(digest.GetRouters()), nodeview.AllowancesOf(digest), digest.GetTenantsKnown())
}

// admit charges a request or returns a refusal. report is set if the leader needs an early
// report.
func (q *quotas) admit(tenant string, spec *v1.TenantSpec, cost float64) (refusal *quota.Refusal, report bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.now()
	refusal = q.enforcer.Admit(now, tenant, nodeview.LimitOf(spec), cost)
	return refusal, q.enforcer.ReportDue(now, tenant)
}

func (q *quotas) refund(tenant string, cost float64) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.enforcer.Refund(q.now(), tenant, cost)
}

// TenantUses returns the use of tenants at this node, for reports, and whether the list is
// complete.
func (i *Ingress) TenantUses() (uses []*wirepb.TenantUse, full bool) {
	i.quotas.mutex.Lock()
	defer i.quotas.mutex.Unlock()
	listed, full := i.quotas.enforcer.Uses(i.quotas.now())
	return nodeview.TenantMessages(listed), full
}

// Uptime returns the time since the ingress was created.
func (i *Ingress) Uptime() time.Duration {
	return i.quotas.now()
}

// charge counts the request against its tenant's limit. It returns a problem and a
// Retry-After if the limit is exceeded.
func (j *job) charge() (*problem.Document, time.Duration) {
	if j.tenant.spec == nil || j.tenant.spec.Rate <= 0 {
		return nil, 0
	}
	cost := j.tenant.spec.Cost(j.attributes.PromptTokens + j.attributes.OutputTokens)
	refusal, report := j.ingress.quotas.admit(j.tenant.name, j.tenant.spec, cost)
	if report {
		j.ingress.options.RequestReport()
	}
	j.ingress.options.Metrics.observeTenant(j.tenant.name, refusal == nil)
	if refusal == nil {
		j.chargedCost = cost
		return nil, 0
	}
	j.log("over_limit", "cost", cost, "rate", j.tenant.spec.Rate, "version", j.declaredVersion(), "admit", refusal.Admit,
		"offered", refusal.Offered, "word_age_ms", refusal.Age.Milliseconds(), "retry_after_ms", refusal.RetryAfter.Milliseconds())
	detail := fmt.Sprintf("tenant %s asks for more than its limit of %g a second", j.tenant.name, j.tenant.spec.Rate)
	return problem.New(problem.TypeLimited, http.StatusTooManyRequests, detail), refusal.RetryAfter
}

// refundUnlessRun refunds the charge of a request that no machine can have run.
func (j *job) refundUnlessRun() {
	if j.chargedCost > 0 && !j.mayHaveRun {
		j.ingress.quotas.refund(j.tenant.name, j.chargedCost)
	}
}

func (j *job) declaredVersion() uint64 {
	if declared := j.ingress.options.View.Declaration(); declared != nil {
		return declared.Version
	}
	return 0
}
