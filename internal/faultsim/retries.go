package faultsim

import (
	"slices"
	"time"

	"github.com/weldline/weldline/internal/retrybudget"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// retryBounds allow about a dozen retries for each of four routers in a window.
var retryBounds = retrybudget.Config{Slack: 48, Window: 10 * time.Second}

// retryState is the retry budget of a router whose requests all fail, so that it spends what it may.
type retryState struct {
	budget  *retrybudget.Budget
	divisor *retrybudget.Divisor
	// counted is the number of routers under MutationLiveRouters.
	counted int
}

func (r *routerNode) newRetryState() retryState {
	return retryState{budget: retrybudget.New(retryBounds, r.clock()), divisor: retrybudget.NewDivisor(retryBounds.Window, r.clock())}
}

// observeRouters records the number of routers in a digest.
func (r *routerNode) observeRouters(digest *wirepb.ClusterDigest) {
	r.retries.divisor.Observe(r.clock(), int(digest.GetRouters()))
	r.retries.counted = len(digest.GetRoster().GetRouters())
}

// retryAll sends as many retries as the budget allows.
func (r *routerNode) retryAll() {
	routers := r.retries.divisor.Routers(r.clock())
	if r.sim.mutation == MutationLiveRouters {
		routers = r.retries.counted
	}
	for r.retries.budget.Reserve(r.clock(), routers) {
		r.retries.budget.CountRetry(r.clock())
		r.sim.checks.checkRetry(r)
	}
}

// checkRetry checks the bound in the window that ends with a retry.
func (c *checks) checkRetry(router *routerNode) {
	now := c.sim.Now()
	c.retriesAt = append(c.retriesAt, now)
	c.retriesAt = slices.DeleteFunc(c.retriesAt, func(at time.Duration) bool { return at <= now-retryBounds.Window })
	if len(c.retriesAt) > retryBounds.Slack {
		c.violate(CheckRetryBudget, "%s sent the %d. retry in %s, of %d", router.name, len(c.retriesAt), retryBounds.Window, retryBounds.Slack)
	}
}
