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

// quotas holds tenants to their limits at this node.
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

// follow heeds what leaders say of tenants until ctx ends. It asks for a report where a new
// leader waits for one.
func (q *quotas) follow(ctx context.Context, view *nodeview.View, nudge func()) {
	view.FollowDigests(ctx, func(digest *wirepb.ClusterDigest) {
		if q.learn(digest) {
			nudge()
		}
	})
}

func (q *quotas) learn(digest *wirepb.ClusterDigest) (report bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.enforcer.ApplyDigest(q.now(), digest.GetTerm(), int(digest.GetRouters()), nodeview.AllowancesOf(digest), digest.GetTenantsKnown())
}

// admit lets a request through or says why not, and whether the leader should hear of it
// soon.
func (q *quotas) admit(tenant string, spec *v1.TenantSpec, cost float64) (refusal *quota.Refusal, report bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.now()
	refusal = q.enforcer.Admit(now, tenant, nodeview.LimitOf(spec), cost)
	return refusal, q.enforcer.ReportDue(now, tenant)
}

func (q *quotas) giveBack(tenant string, cost float64) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.enforcer.Refund(q.now(), tenant, cost)
}

// TenantUses returns what tenants asked of this node, for reports, and whether that is all
// that the node knows.
func (i *Ingress) TenantUses() (uses []*wirepb.TenantUse, full bool) {
	i.quotas.mutex.Lock()
	defer i.quotas.mutex.Unlock()
	listed, full := i.quotas.enforcer.Uses(i.quotas.now())
	return nodeview.TenantMessages(listed), full
}

// Uptime is how long ago the ingress started.
func (i *Ingress) Uptime() time.Duration {
	return i.quotas.now()
}

// charge counts the request against its tenant's limit, or returns the answer to one that
// is over it.
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
		j.charged = cost
		return nil, 0
	}
	j.log("over_limit", "cost", cost, "rate", j.tenant.spec.Rate, "version", j.declaredVersion(), "admit", refusal.Admit,
		"offered", refusal.Offered, "word_age_ms", refusal.Age.Milliseconds(), "retry_after_ms", refusal.RetryAfter.Milliseconds())
	detail := fmt.Sprintf("tenant %s asks for more than its limit of %g a second", j.tenant.name, j.tenant.spec.Rate)
	return problem.New(problem.TypeLimited, http.StatusTooManyRequests, detail), refusal.RetryAfter
}

// settle gives back what was charged for a request that no machine can have run.
func (j *job) settle() {
	if j.charged > 0 && !j.mayHaveRun {
		j.ingress.quotas.giveBack(j.tenant.name, j.charged)
	}
}

func (j *job) declaredVersion() uint64 {
	if declared := j.ingress.options.View.Declaration(); declared != nil {
		return declared.Version
	}
	return 0
}
