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
	// SharingAdaptive lets everything through far below the limit, and the share that the
	// leader tells near it. Without a leader it is SharingLeased.
	SharingAdaptive Sharing = "adaptive"
	// SharingLeased gives each router a rate by its share of the demand.
	SharingLeased Sharing = "leased"
	// SharingEqual gives each router the same rate.
	SharingEqual Sharing = "equal"
)

const (
	// equalPart of the limit is shared equally where the rest goes by demand, so that a
	// router that saw no demand of a tenant has some.
	equalPart = 0.2
	// startGrace is how long a router that has never heard of a leader's ledger lets
	// everything through: a new leader needs settleTime, and one round of reports.
	startGrace = time.Second
	// leastSeen bounds by how much averages of a router that has just started are raised.
	leastSeen = 0.1
	// leastRetryAfter is the shortest time after which a refused caller is asked back.
	leastRetryAfter = 100 * time.Millisecond
	// retrySpread spreads callers that come back: half of the time more or less.
	retrySpread = 0.5
	// limitedReportInterval is how often a router reports while it sees requests of a tenant
	// of which only a share may be let through.
	limitedReportInterval = 250 * time.Millisecond
	// fullReportsFor is how long after a change of leader reports list all tenants, and
	// fullReportInterval how often they do at other times: a router whose reports were lost
	// then would never be counted. A leader hears of it within a quarter of a window.
	fullReportsFor     = 2 * time.Second
	fullReportInterval = 2 * time.Second
)

// Refusal says why a request is over a tenant's limit, and when to come back.
type Refusal struct {
	RetryAfter time.Duration
	// Admit is the share that the leader lets through; 1 where the router's own bucket
	// decided.
	Admit float64
	// Age is that of the leader's word.
	Age time.Duration
	// Offered is what the tenant asks for a second, as far as it is known.
	Offered float64
}

// Enforcer is one router's part. It is not safe for concurrent use.
type Enforcer struct {
	bound   Bound
	sharing Sharing
	random  *rand.Rand
	started time.Duration

	// term is the newest leader's; since then reports list all tenants.
	term      uint64
	termSince time.Duration
	routers   int
	// heard is when allowances came last; they stay in force until later ones come.
	heard      time.Duration
	known      bool
	allowances map[string]Allowance

	tenants map[string]*localUse
	// reported is when uses were listed last, and reportedFull when all of them were.
	reported, reportedFull time.Duration
}

// localUse is what one tenant asked of this router.
type localUse struct {
	// rate is the averaged rate of what is offered; leased is what it was when the leader
	// was heard last.
	rate, leased float64
	// asked and admitted count since the start; reported is what asked was at the last
	// report.
	asked, admitted, reported float64
	// level and share are the router's own bucket: what it holds, and its rate.
	level, share float64
	updated      time.Duration
	decayedAt    time.Duration
	// recent is what was admitted in parts of the window, by the number of the part.
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

// ApplyDigest takes what a leader says of a term: how many routers there are and, where it knows,
// the allowances of tenants near their limits.
// It returns whether to report at once: a new leader waits for it.
func (e *Enforcer) ApplyDigest(now time.Duration, term uint64, routers int, allowances []Allowance, known bool) (report bool) {
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

// fresh reports whether the leader's word on a tenant is to be heeded.
func (e *Enforcer) fresh(now time.Duration, allowance Allowance) bool {
	limit := staleAfter
	if allowance.Admit < 1 {
		limit = staleLimitedAfter
	}
	return e.known && now-e.heard <= limit
}

// Admit lets a request through or returns why not. The cost is in units of the limit. What
// was let through and then did not run is to be given back.
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

// Refund returns the cost of a request that proved not to have run.
func (e *Enforcer) Refund(now time.Duration, tenant string, cost float64) {
	if use := e.tenants[tenant]; use != nil {
		use.take(now, e.bound, -cost)
	}
}

// ReportDue reports whether the leader should hear of a tenant's requests before the next
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

// advance brings the router's own bucket up to date. It is kept also while the leader
// decides, so that what was overdrawn then counts once the router is on its own.
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
	// A debt is paid within a window.
	use.level = max(use.level, -use.share*e.bound.Window.Seconds())
}

// share is the router's part of a limit, per second. Those of all routers add up to it.
func (e *Enforcer) share(use *localUse, tenant string, limit Limit) float64 {
	equal := limit.Rate / float64(max(1, e.routers))
	if e.sharing == SharingEqual || !e.known {
		return equal
	}
	demand := max(listedFrom*limit.Rate, e.allowance(tenant).Offered)
	return equalPart*equal + (1-equalPart)*limit.Rate*use.leased/demand
}

// allowance is the leader's word on a tenant: it lists those near their limits.
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
	// A request that the bucket holds a part of is let through by that chance: requests
	// larger than a router's bucket would never be.
	if use.level > 0 && (use.level >= cost || e.random.Float64() < use.level/cost) {
		return nil
	}
	wait := time.Duration((cost - use.level) / use.share * float64(time.Second))
	return &Refusal{RetryAfter: e.within(wait), Admit: 1, Age: age, Offered: allowance.Offered}
}

// untilRoom is how long the limit takes to make room for what it refused in a second, where
// it lets a share through.
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

// take counts what was let through, or given back where it is below 0.
func (u *localUse) take(now time.Duration, bound Bound, cost float64) {
	u.admitted += cost
	u.level -= cost
	u.turn(now, bound)
	u.recent[u.latest%slots] += cost
}

// turn empties the parts of the window that have passed.
func (u *localUse) turn(now time.Duration, bound Bound) {
	present := int64(now / bound.slot())
	u.latest = max(u.latest, present-slots)
	for u.latest < present {
		u.latest++
		u.recent[u.latest%slots] = 0
	}
}

// Uses lists what is to be reported: tenants with news or, after a change of leader, all,
// with what was admitted lately; then full is set.
func (e *Enforcer) Uses(now time.Duration) (uses []Use, full bool) {
	e.reported = now
	full = now-e.termSince <= fullReportsFor || now-e.reportedFull >= fullReportInterval
	if full {
		e.reportedFull = now
	}
	// An average over a time that reaches back behind the start lacks a part.
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

// parts lists the parts of the window, the latest first.
func (u *localUse) parts() []float64 {
	parts := make([]float64, 0, slots)
	for age := range int64(slots) {
		parts = append(parts, max(0, u.recent[((u.latest-age)%slots+slots)%slots]))
	}
	return parts
}
