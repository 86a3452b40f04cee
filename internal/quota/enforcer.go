package quota

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Sharing is how routers share a tenant's limit.
type Sharing string

// The ways of sharing.
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
	// equalPart of a limit is shared equally and the rest by demand, so that routers
	// without demand of a tenant also have a share.
	equalPart = 0.2
	// startGrace is how long a new router admits everything until it hears of a ledger. It
	// allows for settleTime and one round of reports.
	startGrace = time.Second
	// leastSeen bounds the correction of the averages of a new router.
	leastSeen       = 0.1
	leastRetryAfter = 100 * time.Millisecond
	// retrySpread is the jitter of Retry-After, as a share of it.
	retrySpread = 0.5
	// limitedReportInterval is the report interval while a router sees requests of a
	// limited tenant.
	limitedReportInterval = 250 * time.Millisecond
	// fullReportsFor is how long after a change of leader all reports are full.
	fullReportsFor = 2 * time.Second
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
	// heard is the time of the last allowances.
	heard time.Duration
	// known is set once there were allowances.
	known      bool
	allowances map[string]Allowance

	tenants map[string]*localUse
	// reported is the time of the last report, and reportedFull that of the last full one.
	reported, reportedFull time.Duration
}

// localUse is the use of one tenant at this router.
type localUse struct {
	// rate is the averaged demand; leased is its value at the last allowances.
	rate, leased float64
	// asked and admitted are totals since the start; reported is the value of asked at
	// the last report.
	asked, admitted, reported float64
	// level and share are the content and the rate of the router's own bucket.
	level, share float64
	updated      time.Duration
	decayedAt    time.Duration
	// recent is a ring of the costs admitted in each slot of the window, and latest the
	// number of its newest slot.
	recent [slots]float64
	latest int64
}

// NewEnforcer returns an enforcer that starts at now.
func NewEnforcer(now time.Duration, bound Bound, sharing Sharing, random *rand.Rand) *Enforcer {
	return &Enforcer{
		bound: bound, sharing: sharing, random: random, started: now,
		allowances: map[string]Allowance{}, tenants: map[string]*localUse{},
	}
}

// Learn applies a leader's digest: the number of routers and, if known, the allowances of
// tenants near their limits. It returns true if the leader is new and waits for a report.
func (e *Enforcer) Learn(now time.Duration, term uint64, routers int, allowances []Allowance, known bool) (report bool) {
	if term != e.term {
		e.term, e.termSince = term, now
		report = true
	}
	e.routers = max(e.routers, routers)
	if !known {
		return report
	}
	e.routers, e.heard, e.known = routers, now, true
	for _, use := range e.tenants {
		use.decay(now)
		use.leased = use.rate
	}
	clear(e.allowances)
	for _, allowance := range allowances {
		e.allowances[allowance.Tenant] = allowance
	}
	return report
}

// fresh reports whether the last allowances are recent enough to be applied.
func (e *Enforcer) fresh(now time.Duration, allowance Allowance) bool {
	limit := staleAfter
	if allowance.Admit < 1 {
		limit = staleLimitedAfter
	}
	return e.known && now-e.heard <= limit
}

// Admit admits a request or returns a refusal. The cost is in units of the limit. A
// request that was admitted but did not run must be given back.
func (e *Enforcer) Admit(now time.Duration, tenant string, limit Limit, cost float64) *Refusal {
	if limit.Rate <= 0 {
		return nil
	}
	use := e.use(now, tenant)
	e.advance(now, use, tenant, limit)
	use.asked += cost
	use.rate += cost / offeredMemory.Seconds()
	refusal := e.decide(now, use, tenant, cost)
	if refusal == nil {
		use.take(now, e.bound, cost)
	}
	return refusal
}

// GiveBack refunds the cost of a request that did not run.
func (e *Enforcer) GiveBack(now time.Duration, tenant string, cost float64) {
	if use := e.tenants[tenant]; use != nil {
		use.take(now, e.bound, -cost)
	}
}

// ReportDue reports whether the use of a limited tenant is to be reported before the next
// regular report.
func (e *Enforcer) ReportDue(now time.Duration, tenant string) bool {
	return e.allowance(tenant).Admit < 1 && now-e.reported >= limitedReportInterval
}

func (e *Enforcer) use(now time.Duration, tenant string) *localUse {
	held := e.tenants[tenant]
	if held == nil {
		held = &localUse{updated: now, decayedAt: now, latest: int64(now / e.bound.slot())}
		e.tenants[tenant] = held
	}
	return held
}

// advance updates the router's own bucket. It is also maintained while the leader's
// allowances apply, so that their overdraft counts once the leader is lost.
func (e *Enforcer) advance(now time.Duration, use *localUse, tenant string, limit Limit) {
	elapsed := (now - use.updated).Seconds()
	use.updated = now
	use.decay(now)
	first := use.share == 0
	use.share = min(limit.Rate, e.share(use, tenant, limit))
	depth := (e.bound.depth(limit) + localShare*e.bound.tolerance(limit)) * use.share / limit.Rate
	if first {
		use.level = depth
	}
	use.level = min(depth, use.level+use.share*elapsed)
	// A debt is repaid within a window.
	use.level = max(use.level, -use.share*e.bound.Window.Seconds())
}

// share returns the router's part of a limit, per second. The parts of all routers add up
// to the limit.
func (e *Enforcer) share(use *localUse, tenant string, limit Limit) float64 {
	equal := limit.Rate / float64(max(1, e.routers))
	if e.sharing == SharingEqual || !e.known {
		return equal
	}
	demand := max(listedFrom*limit.Rate, e.allowance(tenant).Offered)
	return equalPart*equal + (1-equalPart)*limit.Rate*use.leased/demand
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
	age := now - e.heard
	if e.sharing == SharingAdaptive {
		if !e.known && now-e.started <= startGrace {
			return nil
		}
		if e.fresh(now, allowance) {
			if allowance.Admit >= 1 || e.random.Float64() < allowance.Admit {
				return nil
			}
			return &Refusal{RetryAfter: e.untilRoom(allowance.Admit), Admit: allowance.Admit, Age: age, Offered: allowance.Offered}
		}
	}
	// A request that exceeds the level is admitted with the probability level/cost, since
	// requests larger than the bucket would otherwise never be admitted.
	if use.level > 0 && (use.level >= cost || e.random.Float64() < use.level/cost) {
		return nil
	}
	wait := time.Duration((cost - use.level) / use.share * float64(time.Second))
	return &Refusal{RetryAfter: e.within(wait), Admit: 1, Age: age, Offered: allowance.Offered}
}

// untilRoom returns the time in which the limit allows as much as it refuses per second at
// the admitted share, with jitter.
func (e *Enforcer) untilRoom(admit float64) time.Duration {
	if admit <= 0 {
		return e.within(e.bound.Window)
	}
	spread := 1 + retrySpread*(2*e.random.Float64()-1)
	return e.within(time.Duration((1/admit - 1) * spread * float64(time.Second)))
}

func (e *Enforcer) within(wait time.Duration) time.Duration {
	return min(max(wait, leastRetryAfter), e.bound.Window)
}

func (u *localUse) decay(now time.Duration) {
	u.rate *= decayed(now - u.decayedAt)
	u.decayedAt = now
}

// take counts an admitted cost. A negative cost is a refund.
func (u *localUse) take(now time.Duration, bound Bound, cost float64) {
	u.admitted += cost
	u.level -= cost
	u.turn(now, bound)
	u.recent[u.latest%slots] += cost
}

// turn advances the ring of slots to now.
func (u *localUse) turn(now time.Duration, bound Bound) {
	present := int64(now / bound.slot())
	u.latest = max(u.latest, present-slots)
	for u.latest < present {
		u.latest++
		u.recent[u.latest%slots] = 0
	}
}

// Uses returns the uses to report. A full report lists all tenants with their recent use,
// others only tenants with new requests.
func (e *Enforcer) Uses(now time.Duration) (uses []Use, full bool) {
	e.reported = now
	full = now-e.termSince <= fullReportsFor || now-e.reportedFull >= fullReportInterval
	if full {
		e.reportedFull = now
	}
	// Corrects averages whose period began before the start.
	seen := max(leastSeen, 1-decayed(now-e.started))
	for tenant, held := range e.tenants {
		if !full && held.asked == held.reported {
			continue
		}
		held.reported = held.asked
		held.decay(now)
		use := Use{Tenant: tenant, Offered: held.rate / seen, Admitted: held.admitted}
		if full {
			held.turn(now, e.bound)
			use.Recent = held.parts()
		}
		uses = append(uses, use)
	}
	sort.Slice(uses, func(i, j int) bool { return uses[i].Tenant < uses[j].Tenant })
	return uses, full
}

// parts returns the slots of the window, the latest first.
func (u *localUse) parts() []float64 {
	parts := make([]float64, 0, slots)
	for age := range int64(slots) {
		parts = append(parts, max(0, u.recent[((u.latest-age)%slots+slots)%slots]))
	}
	return parts
}
