package quota

import (
	"math/rand/v2"
	"time"
)

func constant(value float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return value }
}

// between returns usual, multiplied by factor between the two times.
func between(from, until time.Duration, factor, usual float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < until {
			return usual * factor
		}
		return usual
	}
}

func always(limit Limit) func(time.Duration) Limit {
	return func(time.Duration) Limit { return limit }
}

// The limits of the two tenants, in tokens.
var (
	largeLimit = Limit{Rate: 852_230, Burst: 852_230}
	smallLimit = Limit{Rate: 29_000, Burst: 29_000}
)

// usualShare is the usual demand of a tenant, as a share of its limit.
const usualShare = 1 / 1.8

// scenario is a course of demand and faults. The faults are described at type simulation.
type scenario struct {
	name string
	// large and small are the demands of the two tenants, relative to their usual ones.
	large, small func(at time.Duration) float64
	partitioned  func(router int, at time.Duration) bool
	hasLeader    func(at time.Duration) bool
	changes      []time.Duration
	restarts     []time.Duration
	reconnects   []time.Duration
	reportsLost  func(router int, at time.Duration) bool
	// bound is the allowed use in a window, relative to Bound.MaxAdmitted; 0 means 1.
	bound float64
}

func (s scenario) maxUse() float64 {
	if s.bound > 0 {
		return s.bound
	}
	return 1
}

func never(int, time.Duration) bool { return false }

func alwaysUp(time.Duration) bool { return true }

func scenarios() []scenario {
	second := time.Second
	outage := func(from, until time.Duration) func(time.Duration) bool {
		return func(at time.Duration) bool { return at < from || at >= until }
	}
	partition := func(count int, from, until time.Duration) func(int, time.Duration) bool {
		return func(router int, at time.Duration) bool { return router < count && at >= from && at < until }
	}
	hot := between(10*second, 21*second, 6, 1)
	hotter := between(10*second, 21*second, 8, 1)
	return []scenario{
		{name: "usual", large: constant(1), small: constant(1)},
		{name: "burst", large: between(10*second, 13*second, 1.7, 1), small: between(10*second, 13*second, 1.7, 1)},
		{name: "hot", large: hot, small: hot},
		{name: "hotter", large: hotter, small: hotter},
		{name: "hot for long", large: between(5*second, 40*second, 6, 1), small: between(5*second, 40*second, 6, 1)},
		{name: "hot, leader changes in the spike", large: hot, small: hot, changes: []time.Duration{10_500 * time.Millisecond}},
		{name: "hot, no leader from its start", large: hot, small: hot, hasLeader: outage(10*second, 15*second), changes: []time.Duration{15 * second}},
		// The small tenant's largest request is about a ninth of what a window may admit.
		{name: "hot, leaders change again and again", large: hot, small: hot, changes: []time.Duration{11 * second, 14 * second, 17 * second}, bound: 1.01},
		{name: "hot, a quarter of the routers is cut off", large: hot, small: hot, partitioned: partition(20, 9*second, 20*second)},
		{name: "hot while cut off, all routers", large: between(12*second, 21*second, 6, 1), small: hot, partitioned: partition(81, 9*second, 20*second)},
		{
			// The leader is the control node of all routers.
			name: "hot, all routers lose their control node", large: hot, small: hot,
			partitioned: partition(81, 10_500*time.Millisecond, 12_010*time.Millisecond),
			changes:     []time.Duration{11 * second}, reconnects: []time.Duration{12_010 * time.Millisecond},
		},
		{
			// A new leader ignores reports of a router before its first full report.
			name: "hot, half of the routers is not heard at a change of leader", large: hot, small: hot,
			changes: []time.Duration{9 * second}, reportsLost: partition(40, 8900*time.Millisecond, 11_500*time.Millisecond),
			// The small tenant's largest request is about a ninth of what a window may admit.
			bound: 1.15,
		},
		{
			name: "hot, everything starts anew", large: hot, small: hot, restarts: []time.Duration{14 * second},
			// The use before the restart is lost.
			bound: 1.01,
		},
	}
}

func (s scenario) simulation(sharing Sharing, seed uint64) (*simulation, []simTenant, []Limit) {
	limits := []Limit{largeLimit, smallLimit}
	scaled := func(demand func(time.Duration) float64, limit Limit) func(time.Duration) float64 {
		return func(at time.Duration) float64 { return demand(at) * limit.Rate * usualShare }
	}
	tenants := []simTenant{
		{name: "large", limit: always(largeLimit), demand: scaled(s.large, largeLimit)},
		{name: "small", limit: always(smallLimit), demand: scaled(s.small, smallLimit)},
	}
	created := &simulation{
		random: rand.New(rand.NewPCG(seed, 28)), sharing: sharing, tenants: tenants,
		partitioned: s.partitioned, hasLeader: s.hasLeader, changes: s.changes, restarts: s.restarts, reconnects: s.reconnects, reportsLost: s.reportsLost,
	}
	if created.reportsLost == nil {
		created.reportsLost = never
	}
	if created.partitioned == nil {
		created.partitioned = never
	}
	if created.hasLeader == nil {
		created.hasLeader = alwaysUp
	}
	return created, tenants, limits
}
