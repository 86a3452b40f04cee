package quota

import (
	"math"
	"sort"
	"time"
)

const (
	// A new ledger settles when no new router has reported for settleQuiet, or settleTime after
	// the first one reported.
	settleQuiet = 150 * time.Millisecond
	settleTime  = time.Second
	// offeredMemory is the time constant of averaged demand. It spans a few requests of a
	// small tenant.
	offeredMemory = 2 * time.Second
	// repayTime is the time in which a bucket's content is spent or its debt repaid. It is
	// several times the feedback delay, which keeps the control loop stable.
	repayTime = 1500 * time.Millisecond
	// A tenant is limited once its bucket is below limitBelowLevel of its depth, until it is
	// above unlimitAboveLevel.
	limitBelowLevel, unlimitAboveLevel = 0.5, 0.95
	// publishThreshold is the share of its limit from which a tenant is published.
	publishThreshold = 0.25
	// urgentChange is the relative change of a share that is published at once.
	urgentChange = 0.25
	// staleAfter is how long routers apply the last allowances, and after which the leader
	// assumes that a router which does not report uses its own bucket. It allows for an
	// election and settleTime.
	staleAfter = 1500 * time.Millisecond
	// staleLimitedAfter is the same for limited tenants, whose demand may have grown.
	staleLimitedAfter = 1200 * time.Millisecond
	// expiryWindows is the number of windows for which the share of a router that does not
	// report is reserved.
	expiryWindows = 2
)

// Ledger is the leader's account of the use of all tenants. Each term starts a new one. It
// is not safe for concurrent use.
type Ledger struct {
	bound Bound
	// expected is the number of routers of the previous term.
	expected  int
	startedAt time.Duration
	// firstMet and lastMet are the times of the first full reports of the first and of the latest
	// router.
	firstMet, lastMet time.Duration
	updated           time.Duration
	settled           bool
	nodes             map[string]*nodeUse
	accounts          map[string]*account
}

// nodeUse is what one router has reported.
type nodeUse struct {
	incarnation uint64
	heard       time.Duration
	// unknownShare is the share of the last window before the router's start.
	unknownShare float64
	// reported is the last use by tenant.
	reported map[string]reportedUse
}

// reportedUse is the last use of one tenant that a router reported.
type reportedUse struct {
	admitted float64
	// offered is the averaged demand at the time at.
	offered float64
	at      time.Duration
}

// account is one tenant's token bucket.
type account struct {
	// level is negative if the tenant is in debt.
	level float64
	// used is the cost admitted since the last update.
	used float64
	// offered is the averaged demand at offeredAt.
	offered        float64
	offeredAt      time.Duration
	limited        bool
	publishedShare float64
	// priorUse is the cost admitted in each slot of the last window before the term, by slot
	// number. It is nil once the ledger has settled.
	priorUse map[int64]float64
}

// NewLedger returns the ledger of a term that begins at now. routers is the number of routers in
// the previous term.
func NewLedger(now time.Duration, bound Bound, routers int) *Ledger {
	return &Ledger{bound: bound, expected: routers, startedAt: now, updated: now, nodes: map[string]*nodeUse{}, accounts: map[string]*account{}}
}

// ApplyReport applies a router's report. The reports of a router must be in order.
func (l *Ledger) ApplyReport(now time.Duration, report Report) {
	node := l.nodes[report.Node]
	if node == nil {
		// A report that is not full lacks the recent use. The router sends a full one once
		// it knows of this leader.
		if report.Full {
			l.addNode(now, report)
		}
		return
	}
	node.heard = now
	if node.incarnation != report.Incarnation {
		node.incarnation = report.Incarnation
		for tenant, before := range node.reported {
			before.admitted = 0
			node.reported[tenant] = before
		}
	}
	for _, use := range report.Uses {
		account := l.account(now, use.Tenant)
		// The difference is negative after refunds.
		account.used += use.Admitted - node.reported[use.Tenant].admitted
		node.record(now, use, account)
	}
}

// record records a router's use of a tenant, and replaces its previous part of the tenant's
// demand.
func (n *nodeUse) record(now time.Duration, use Use, account *account) {
	before := n.reported[use.Tenant]
	account.decay(now)
	account.offered += use.Offered - before.offered*decayFactor(now-before.at)
	n.reported[use.Tenant] = reportedUse{admitted: use.Admitted, offered: use.Offered, at: now}
}

// decayFactor returns the factor by which an averaged rate decreases without requests.
func decayFactor(elapsed time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / offeredMemory.Seconds())
}

func (a *account) decay(now time.Duration) {
	a.offered = max(0, a.offered*decayFactor(now-a.offeredAt))
	a.offeredAt = now
}

// addNode applies the first report of a router in this term. It counts only the recent use,
// as the totals don't say when requests were admitted.
func (l *Ledger) addNode(now time.Duration, report Report) {
	node := &nodeUse{incarnation: report.Incarnation, heard: now, reported: map[string]reportedUse{}}
	node.unknownShare = max(0, 1-report.Uptime.Seconds()/l.bound.Window.Seconds())
	if len(l.nodes) == 0 {
		l.firstMet = now
	}
	l.nodes[report.Node] = node
	l.lastMet = now
	for _, use := range report.Uses {
		account := l.account(now, use.Tenant)
		node.record(now, use, account)
		for age, admitted := range use.Recent {
			if account.priorUse == nil {
				account.used += admitted // The ledger has settled already.
				continue
			}
			account.priorUse[int64((now-time.Duration(age)*l.bound.slot())/l.bound.slot())] += admitted
		}
	}
}

func (l *Ledger) account(now time.Duration, tenant string) *account {
	found := l.accounts[tenant]
	if found == nil {
		// The level is reduced to the depth by the next update.
		found = &account{publishedShare: 1, offeredAt: now, level: math.MaxFloat64}
		if !l.settled {
			found.priorUse = map[int64]float64{}
		}
		l.accounts[tenant] = found
	}
	return found
}

// Update updates the buckets. It reports whether allowances are to be published at once.
func (l *Ledger) Update(now time.Duration, limits map[string]Limit) (urgent bool) {
	if !l.settled {
		if !l.maySettle(now) {
			return false
		}
		l.settle(now, limits)
		urgent = true
	}
	elapsed := max(0, now-l.updated).Seconds()
	l.updated = now
	reporting := 1 - l.unreportedShare(now)
	for tenant, held := range l.accounts {
		limit, declared := limits[tenant]
		if !declared {
			delete(l.accounts, tenant)
			continue
		}
		held.decay(now)
		held.update(elapsed, limit, l.bound.depth(limit), reporting)
		admit := held.admitShare(limit, reporting)
		urgent = urgent || math.Abs(admit-held.publishedShare) > urgentChange*held.publishedShare
	}
	return urgent
}

func (l *Ledger) maySettle(now time.Duration) bool {
	return len(l.nodes) > 0 && (now-l.lastMet >= settleQuiet || now-l.firstMet >= settleTime)
}

// settle computes the levels of the buckets from the use that routers reported for the
// last window.
func (l *Ledger) settle(now time.Duration, limits map[string]Limit) {
	l.settled = true
	l.updated = now
	unknown := 0.0
	for _, node := range l.nodes {
		unknown += node.unknownShare / float64(len(l.nodes))
	}
	for tenant, held := range l.accounts {
		limit := limits[tenant]
		depth := l.bound.depth(limit)
		// The replay starts with an empty bucket, which is full by the end of the window if the
		// use was well below the limit.
		held.level = 0
		current := int64(now / l.bound.slot())
		for number := current - slotsPerWindow + 1; number <= current; number++ {
			passed := min(l.bound.slot(), now-time.Duration(number)*l.bound.slot())
			held.level = min(depth, held.level+limit.Rate*passed.Seconds()) - held.priorUse[number]
		}
		// For the time before a router's start the worst case is assumed.
		held.level -= unknown*depth + held.used
		held.priorUse, held.used = nil, 0
	}
}

// unreportedShare returns the share of routers that don't report, or not yet in this term, and
// may use their own buckets. It removes routers that have not reported for expiryWindows.
func (l *Ledger) unreportedShare(now time.Duration) float64 {
	unreported := 0
	for name, node := range l.nodes {
		switch age := now - node.heard; {
		case age > expiryWindows*l.bound.Window:
			delete(l.nodes, name)
		case age > staleAfter:
			unreported++
		}
	}
	routers := len(l.nodes)
	if now-l.startedAt <= expiryWindows*l.bound.Window {
		routers = max(routers, l.expected)
	}
	unreported += routers - len(l.nodes)
	return float64(unreported) / float64(max(1, routers))
}

func (a *account) update(elapsed float64, limit Limit, depth, reporting float64) {
	a.level = min(depth, a.level+reporting*limit.Rate*elapsed) - a.used
	a.used = 0
	switch {
	case a.level < limitBelowLevel*depth:
		a.limited = true
	case a.level >= unlimitAboveLevel*depth:
		a.limited = false
	}
}

// admitShare returns the share of the demand that the limit allows.
func (a *account) admitShare(limit Limit, reporting float64) float64 {
	if !a.limited || limit.Rate <= 0 {
		return 1
	}
	allowed := max(0, reporting*limit.Rate+a.level/repayTime.Seconds())
	if a.offered <= allowed {
		return 1
	}
	return allowed / a.offered
}

// Allowances returns the allowances of tenants near their limits, by name. It reports
// whether the ledger has settled.
func (l *Ledger) Allowances(now time.Duration, limits map[string]Limit) (allowances []Allowance, known bool) {
	if !l.settled {
		return nil, false
	}
	reporting := 1 - l.unreportedShare(now)
	for tenant, held := range l.accounts {
		limit := limits[tenant]
		held.publishedShare = held.admitShare(limit, reporting)
		if limit.Rate > 0 && (held.limited || held.offered > publishThreshold*limit.Rate) {
			allowances = append(allowances, Allowance{Tenant: tenant, Offered: held.offered, Admit: held.publishedShare})
		}
	}
	sort.Slice(allowances, func(i, j int) bool { return allowances[i].Tenant < allowances[j].Tenant })
	return allowances, true
}
