package quota

import (
	"math"
	"sort"
	"time"
)

const (
	// A new leader publishes nothing before it has heard of routers, and then of no new one
	// for settleQuiet, or for settleTime: routers report as soon as they hear of it.
	settleQuiet = 150 * time.Millisecond
	settleTime  = time.Second
	// offeredMemory is the time over which offered rates are averaged: long enough for a
	// few requests of a small tenant.
	offeredMemory = 2 * time.Second
	// repayTime is the time within which a bucket's content is handed out, or its debt
	// repaid. It is several times the delay between what a router does and what it hears
	// of it, so that the regulation settles.
	repayTime = 1500 * time.Millisecond
	// A tenant is regulated from limitBelow of the bucket's depth until it holds
	// freeAbove again.
	limitBelow, freeAbove = 0.5, 0.95
	// listedFrom is the share of its limit from which a tenant is listed: routers need
	// not know of those that ask for less.
	listedFrom = 0.25
	// urgentChange is a change of a share that routers learn of at once.
	urgentChange = 0.25
	// staleAfter is how long a router heeds the last it heard of the leader, and after
	// which the leader takes a silent router to be on its own: an election and the next
	// leader's settleTime mostly fit in.
	staleAfter = 1500 * time.Millisecond
	// staleLimitedAfter is the same for a tenant of which only a share is let through:
	// demand may have grown, and a digest is due.
	staleLimitedAfter = 1200 * time.Millisecond
	// forgetWindows is for how many windows a silent router's share is set aside.
	forgetWindows = 2
)

// Ledger is the leader's account of what tenants use of their limits. It begins anew with
// each term and is not safe for concurrent use.
type Ledger struct {
	bound Bound
	// expected is how many routers the term before had, and began when this one did.
	expected int
	began    time.Duration
	// firstMet and met are when the first and the last router were heard of for the first
	// time.
	firstMet, met time.Duration
	updated       time.Duration
	settled       bool
	nodes         map[string]*nodeUse
	accounts      map[string]*account
}

// nodeUse is what one router has reported.
type nodeUse struct {
	incarnation uint64
	heard       time.Duration
	// unknown is the share of the last window that lies before the router's start, and so
	// is not known, at the first report.
	unknown float64
	// reported is what it told last of each tenant.
	reported map[string]reportedUse
}

// reportedUse is what a router told of one tenant.
type reportedUse struct {
	admitted float64
	// offered is the rate at a time; it decays from then on.
	offered float64
	at      time.Duration
}

// account is one tenant's bucket.
type account struct {
	// level is below 0 where the tenant is in debt.
	level float64
	// used is what was admitted since the last update.
	used float64
	// offered is the averaged rate of what is asked for, at offeredAt.
	offered   float64
	offeredAt time.Duration
	limited   bool
	// published is the share that routers heard last.
	published float64
	// before is what was admitted in parts of the window before the term, by the number
	// of the part; nil once it has been replayed.
	before map[int64]float64
}

// NewLedger returns the ledger of a term that begins at now, after one with so many routers.
func NewLedger(now time.Duration, bound Bound, routers int) *Ledger {
	return &Ledger{bound: bound, expected: routers, began: now, updated: now, nodes: map[string]*nodeUse{}, accounts: map[string]*account{}}
}

// ApplyReport takes a router's report, the newest of it so far.
func (l *Ledger) ApplyReport(now time.Duration, report Report) {
	node := l.nodes[report.Node]
	if node == nil {
		// The first report over a new connection may come before the router has heard of
		// the new leader: it holds news only, and none of the window before.
		if report.Full {
			l.meet(now, report)
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
		// What was given back since counts negative.
		account.used += use.Admitted - node.reported[use.Tenant].admitted
		node.note(now, use, account)
	}
}

// note keeps what a router told of a tenant, and puts its rate in the place of the one
// before in the tenant's.
func (n *nodeUse) note(now time.Duration, use Use, account *account) {
	before := n.reported[use.Tenant]
	account.decay(now)
	account.offered += use.Offered - before.offered*decayed(now-before.at)
	n.reported[use.Tenant] = reportedUse{admitted: use.Admitted, offered: use.Offered, at: now}
}

// decayed is what is left of an averaged rate after a time without requests.
func decayed(elapsed time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / offeredMemory.Seconds())
}

func (a *account) decay(now time.Duration) {
	a.offered = max(0, a.offered*decayed(now-a.offeredAt))
	a.offeredAt = now
}

// meet takes the first report of a router in this term: its totals tell nothing of when
// they came about, the parts of the last window do.
func (l *Ledger) meet(now time.Duration, report Report) {
	node := &nodeUse{incarnation: report.Incarnation, heard: now, reported: map[string]reportedUse{}}
	node.unknown = max(0, 1-report.Uptime.Seconds()/l.bound.Window.Seconds())
	if len(l.nodes) == 0 {
		l.firstMet = now
	}
	l.nodes[report.Node] = node
	l.met = now
	for _, use := range report.Uses {
		account := l.account(now, use.Tenant)
		node.note(now, use, account)
		for age, admitted := range use.Recent {
			if account.before == nil {
				account.used += admitted // The bucket has been replayed already.
				continue
			}
			account.before[int64((now-time.Duration(age)*l.bound.slot())/l.bound.slot())] += admitted
		}
	}
}

func (l *Ledger) account(now time.Duration, tenant string) *account {
	held := l.accounts[tenant]
	if held == nil {
		// A bucket that nothing was taken from is full.
		held = &account{published: 1, offeredAt: now, level: math.MaxFloat64}
		if !l.settled {
			held.before = map[int64]float64{}
		}
		l.accounts[tenant] = held
	}
	return held
}

// Update brings the buckets up to date. It returns whether routers should hear at once.
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
	own := 1 - l.silentShare(now)
	for tenant, held := range l.accounts {
		limit, declared := limits[tenant]
		if !declared {
			delete(l.accounts, tenant)
			continue
		}
		held.decay(now)
		held.update(elapsed, limit, l.bound.depth(limit), own)
		admit := held.admit(limit, own)
		urgent = urgent || math.Abs(admit-held.published) > urgentChange*held.published
	}
	return urgent
}

func (l *Ledger) maySettle(now time.Duration) bool {
	return len(l.nodes) > 0 && (now-l.met >= settleQuiet || now-l.firstMet >= settleTime)
}

// settle replays the buckets over the window before, in which a new leader has seen
// nothing itself.
func (l *Ledger) settle(now time.Duration, limits map[string]Limit) {
	l.settled = true
	l.updated = now
	unknown := 0.0
	for _, node := range l.nodes {
		unknown += node.unknown / float64(len(l.nodes))
	}
	for tenant, held := range l.accounts {
		limit := limits[tenant]
		depth := l.bound.depth(limit)
		// The bucket is taken to have been empty: what stays below the limit fills it
		// within the window.
		held.level = 0
		present := int64(now / l.bound.slot())
		for number := present - slots + 1; number <= present; number++ {
			passed := min(l.bound.slot(), now-time.Duration(number)*l.bound.slot())
			held.level = min(depth, held.level+limit.Rate*passed.Seconds()) - held.before[number]
		}
		// What routers used before they started is taken to be all that there was.
		held.level -= unknown*depth + held.used
		held.before, held.used = nil, 0
	}
}

// silentShare is the share of the routers that are not heard of, or not yet in this term, and
// may go on by themselves. Routers that have been silent for long are forgotten.
func (l *Ledger) silentShare(now time.Duration) float64 {
	silent := 0
	for name, node := range l.nodes {
		switch age := now - node.heard; {
		case age > forgetWindows*l.bound.Window:
			delete(l.nodes, name)
		case age > staleAfter:
			silent++
		}
	}
	routers := len(l.nodes)
	if now-l.began <= forgetWindows*l.bound.Window {
		routers = max(routers, l.expected)
	}
	silent += routers - len(l.nodes)
	return float64(silent) / float64(max(1, routers))
}

func (a *account) update(elapsed float64, limit Limit, depth, own float64) {
	a.level = min(depth, a.level+own*limit.Rate*elapsed) - a.used
	a.used = 0
	switch {
	case a.level < limitBelow*depth:
		a.limited = true
	case a.level >= freeAbove*depth:
		a.limited = false
	}
}

// admit is the share of what is offered that the limit has room for.
func (a *account) admit(limit Limit, own float64) float64 {
	if !a.limited || limit.Rate <= 0 {
		return 1
	}
	allowed := max(0, own*limit.Rate+a.level/repayTime.Seconds())
	if a.offered <= allowed {
		return 1
	}
	return allowed / a.offered
}

// Allowances lists the tenants that come near their limits, by name, for routers. It
// reports whether the ledger knows enough to be heeded.
func (l *Ledger) Allowances(now time.Duration, limits map[string]Limit) (allowances []Allowance, known bool) {
	if !l.settled {
		return nil, false
	}
	own := 1 - l.silentShare(now)
	for tenant, held := range l.accounts {
		limit := limits[tenant]
		held.published = held.admit(limit, own)
		if limit.Rate > 0 && (held.limited || held.offered > listedFrom*limit.Rate) {
			allowances = append(allowances, Allowance{Tenant: tenant, Offered: held.offered, Admit: held.published})
		}
	}
	sort.Slice(allowances, func(i, j int) bool { return allowances[i].Tenant < allowances[j].Tenant })
	return allowances, true
}
