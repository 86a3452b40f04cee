package quota

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Sharing is how routers share a tenant's limit.
type Sharing string

// Sharing modes.
const (
	// SharingAdaptive admits everything far below the limit, and near it the share that
	// the leader publishes. Without a leader it is SharingLeased.
	SharingAdaptive Sharing = "adaptive"
	// SharingLeased gives each router a rate by its share of the demand.
	SharingLeased Sharing = "leased"
	// SharingEqual gives each router the same rate.
	SharingEqual Sharing = "equal"
)

const (
	// equalShare of a limit is shared equally and the rest by demand, so that routers
	// without demand of a tenant also have a share.
	equalShare = 0.2
	// startupGrace is how long a new router admits everything while it has no allowances yet. It
	// allows for settleTime and one round of reports.
	startupGrace = time.Second
	// minAverageWeight bounds the correction of the averages of a new router.
	minAverageWeight = 0.1
	minRetryAfter    = 100 * time.Millisecond
	// retryJitter is the jitter of Retry-After, as a share of it.
	retryJitter = 0.5
	// limitedReportInterval is the report interval while a router sees requests of a
	// limited tenant.
	limitedReportInterval = 250 * time.Millisecond
	// fullReportsAfterChange is how long after a change of leader all reports are full. A router whose
	// reports were lost then would otherwise never be counted.
	fullReportsAfterChange = 2 * time.Second
	// fullReportInterval is the interval of full reports at other times. It makes up for
	// reports that were lost after the change of leader.
	fullReportInterval = 2 * time.Second
)

// Refusal is the reason why a request exceeds a tenant's limit.
type Refusal struct {
	RetryAfter time.Duration
	// Admit is the share that the leader allows, or 1 if the router's own bucket decided.
	Admit float64
	// Age is the time since the last allowances.
	Age time.Duration
	// Offered is the known demand of the tenant per second, over all routers.
	Offered float64
}

// Enforcer enforces the limits at one router. It is not safe for concurrent use.
type Enforcer struct {
	bound   Bound
	sharing Sharing
	random  *rand.Rand
	started time.Duration

	// term is the newest leader's, and termSince when it became known.
	term      uint64
	termSince time.Duration
	routers   int
	// allowancesAt is the time of the last allowances.
	allowancesAt time.Duration
	// hasAllowances is set once allowances were received.
	hasAllowances bool
	allowances    map[string]Allowance

	tenants map[string]*localUse
	// lastReport is the time of the last report, and lastFullReport that of the last full one.
	lastReport, lastFullReport time.Duration
}

// localUse is the use of one tenant at this router.
type localUse struct {
	// rate is the averaged demand; leasedRate is its value at the last allowances.
	rate, leasedRate float64
	// requested and admitted are totals since the start; reported is the value of requested at
	// the last report.
	requested, admitted, reported float64
	// bucketLevel and bucketRate are the content and the rate of the router's own bucket.
	bucketLevel, bucketRate float64
	updated                 time.Duration
	decayedAt               time.Duration
	// recent is a ring of the costs admitted in each slot of the window, and latest the
	// number of its newest slot.
	recent [slotsPerWindow]float64
	latest int64
}

// NewEnforcer returns an enforcer that starts at now.
func NewEnforcer(now time.Duration, bound Bound, sharing Sharing, random *rand.Rand) *Enforcer {
	return &Enforcer{
		bound: bound, sharing: sharing, random: random, started: now,
		allowances: map[string]Allowance{}, tenants: map[string]*localUse{},
	}
}

// ApplyDigest applies a leader's digest: the number of routers and, if known, the allowances of
// tenants near their limits. It returns true if the leader is new and waits for a report.
func (e *Enforcer) ApplyDigest(now time.Duration, term uint64, routers int, allowances []Allowance, known bool) (report bool) {
	if term != e.term {
		e.term, e.termSince = term, now
		report = true
	}
	e.routers = max(e.routers, routers)
	if !known {
		return report
	}
	e.routers, e.allowancesAt, e.hasAllowances = routers, now, true
	for _, use := range e.tenants {
		use.decay(now)
		use.leasedRate = use.rate
	}
	clear(e.allowances)
	for _, allowance := range allowances {
		e.allowances[allowance.Tenant] = allowance
	}
	return report
}

// isFresh reports whether the last allowances are recent enough to be applied.
func (e *Enforcer) isFresh(now time.Duration, allowance Allowance) bool {
	limit := staleAfter
	if allowance.Admit < 1 {
		limit = staleLimitedAfter
	}
	return e.hasAllowances && now-e.allowancesAt <= limit
}

// Admit admits a request or returns a refusal. The cost is in units of the limit. A
// request that was admitted but did not run must be refunded.
func (e *Enforcer) Admit(now time.Duration, tenant string, limit Limit, cost float64) *Refusal {
	if limit.Rate <= 0 {
		return nil
	}
	use := e.use(now, tenant)
	e.advance(now, use, tenant, limit)
	use.requested += cost
	use.rate += cost / offeredMemory.Seconds()
	refusal := e.decide(now, use, tenant, cost)
	if refusal == nil {
		use.charge(now, e.bound, cost)
	}
	return refusal
}

// Refund refunds the cost of a request that did not run.
func (e *Enforcer) Refund(now time.Duration, tenant string, cost float64) {
	if use := e.tenants[tenant]; use != nil {
		use.charge(now, e.bound, -cost)
	}
}

// ReportDue reports whether the use of a limited tenant is to be reported before the next
// regular report.
func (e *Enforcer) ReportDue(now time.Duration, tenant string) bool {
	return e.allowance(tenant).Admit < 1 && now-e.lastReport >= limitedReportInterval
}

func (e *Enforcer) use(now time.Duration, tenant string) *localUse {
	found := e.tenants[tenant]
	if found == nil {
		found = &localUse{updated: now, decayedAt: now, latest: int64(now / e.bound.slot())}
		e.tenants[tenant] = found
	}
	return found
}

// advance updates the router's own bucket, also while the leader's allowances apply, so that
// what they admitted beyond the router's part of the limit counts once the leader is lost.
func (e *Enforcer) advance(now time.Duration, use *localUse, tenant string, limit Limit) {
	elapsed := (now - use.updated).Seconds()
	use.updated = now
	use.decay(now)
	first := use.bucketRate == 0
	use.bucketRate = min(limit.Rate, e.localRate(use, tenant, limit))
	depth := (e.bound.depth(limit) + localShare*e.bound.tolerance(limit)) * use.bucketRate / limit.Rate
	if first {
		use.bucketLevel = depth
	}
	use.bucketLevel = min(depth, use.bucketLevel+use.bucketRate*elapsed)
	// A debt is repaid within a window.
	use.bucketLevel = max(use.bucketLevel, -use.bucketRate*e.bound.Window.Seconds())
}

// localRate returns the router's part of a limit, per second. The parts of all routers add up
// to the limit.
func (e *Enforcer) localRate(use *localUse, tenant string, limit Limit) float64 {
	equal := limit.Rate / float64(max(1, e.routers))
	if e.sharing == SharingEqual || !e.hasAllowances {
		return equal
	}
	demand := max(publishThreshold*limit.Rate, e.allowance(tenant).Offered)
	return equalShare*equal + (1-equalShare)*limit.Rate*use.leasedRate/demand
}

// allowance returns the leader's allowance for a tenant. Tenants that it does not list are
// far below their limits.
func (e *Enforcer) allowance(tenant string) Allowance {
	if allowance, listed := e.allowances[tenant]; listed {
		return allowance
	}
	return Allowance{Tenant: tenant, Admit: 1}
}

func (e *Enforcer) decide(now time.Duration, use *localUse, tenant string, cost float64) *Refusal {
	allowance := e.allowance(tenant)
	age := now - e.allowancesAt
	if e.sharing == SharingAdaptive {
		if !e.hasAllowances && now-e.started <= startupGrace {
			return nil
		}
		if e.isFresh(now, allowance) {
			if allowance.Admit >= 1 || e.random.Float64() < allowance.Admit {
				return nil
			}
			return &Refusal{RetryAfter: e.retryAfter(allowance.Admit), Admit: allowance.Admit, Age: age, Offered: allowance.Offered}
		}
	}
	// A request that exceeds the level is admitted with the probability level/cost, since
	// requests larger than the bucket would otherwise never be admitted.
	if use.bucketLevel > 0 && (use.bucketLevel >= cost || e.random.Float64() < use.bucketLevel/cost) {
		return nil
	}
	wait := time.Duration((cost - use.bucketLevel) / use.bucketRate * float64(time.Second))
	return &Refusal{RetryAfter: e.clampRetryAfter(wait), Admit: 1, Age: age, Offered: allowance.Offered}
}

// retryAfter returns how long the limit takes to allow what is refused in one second at the
// admitted share, with jitter.
func (e *Enforcer) retryAfter(admit float64) time.Duration {
	if admit <= 0 {
		return e.clampRetryAfter(e.bound.Window)
	}
	jitter := 1 + retryJitter*(2*e.random.Float64()-1)
	return e.clampRetryAfter(time.Duration((1/admit - 1) * jitter * float64(time.Second)))
}

func (e *Enforcer) clampRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), e.bound.Window)
}

func (u *localUse) decay(now time.Duration) {
	u.rate *= decayFactor(now - u.decayedAt)
	u.decayedAt = now
}

// charge counts an admitted cost. A negative cost is a refund.
func (u *localUse) charge(now time.Duration, bound Bound, cost float64) {
	u.admitted += cost
	u.bucketLevel -= cost
	u.advance(now, bound)
	u.recent[u.latest%slotsPerWindow] += cost
}

// advance advances the ring of slots to now.
func (u *localUse) advance(now time.Duration, bound Bound) {
	current := int64(now / bound.slot())
	u.latest = max(u.latest, current-slotsPerWindow)
	for u.latest < current {
		u.latest++
		u.recent[u.latest%slotsPerWindow] = 0
	}
}

// Uses returns the uses to report. A full report lists all tenants with their recent use,
// others only tenants with new requests.
func (e *Enforcer) Uses(now time.Duration) (uses []Use, full bool) {
	e.lastReport = now
	full = now-e.termSince <= fullReportsAfterChange || now-e.lastFullReport >= fullReportInterval
	if full {
		e.lastFullReport = now
	}
	// Corrects averages whose period began before the start.
	weight := max(minAverageWeight, 1-decayFactor(now-e.started))
	for tenant, held := range e.tenants {
		if !full && held.requested == held.reported {
			continue
		}
		held.reported = held.requested
		held.decay(now)
		use := Use{Tenant: tenant, Offered: held.rate / weight, Admitted: held.admitted}
		if full {
			held.advance(now, e.bound)
			use.Recent = held.recentSlots()
		}
		uses = append(uses, use)
	}
	sort.Slice(uses, func(i, j int) bool { return uses[i].Tenant < uses[j].Tenant })
	return uses, full
}

// recentSlots returns the slots of the window, the latest first.
func (u *localUse) recentSlots() []float64 {
	recent := make([]float64, 0, slotsPerWindow)
	for age := range int64(slotsPerWindow) {
		recent = append(recent, max(0, u.recent[((u.latest-age)%slotsPerWindow+slotsPerWindow)%slotsPerWindow]))
	}
	return recent
}
