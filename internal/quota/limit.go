package quota

import "time"

// slotsPerWindow is the number of parts of a window in which routers report their recent use.
const slotsPerWindow = 16

const (
	// depthOfBurst and depthOfSlack are the shares of the burst and of the slack that make
	// up the depth of the fleet's bucket. The rest, and all of the overage, allow for debts:
	// what is admitted before routers learn that the bucket is empty.
	depthOfBurst, depthOfSlack = 0.9, 0.45
	// localShare is the share of the tolerance added to the depth of the routers' own
	// buckets, over all routers.
	localShare = 0.1
)

// Bound is the amount by which tenants may exceed their limits in any window.
type Bound struct {
	Window time.Duration
	// Overage is relative to what the limit allows in a window.
	Overage float64
	// Slack is an absolute amount, in the unit of the tenant.
	Slack float64
}

// Limit is the limit of a tenant over all routers, in the tenant's unit: requests or tokens.
type Limit struct {
	// Rate is per second; 0 means no limit.
	Rate  float64
	Burst float64
}

// tolerance returns by how much a limit may be exceeded in a window.
func (b Bound) tolerance(limit Limit) float64 {
	return b.Overage*(limit.Rate*b.Window.Seconds()+limit.Burst) + b.Slack
}

// MaxAdmitted returns the maximum cost that may be admitted in any window.
func (b Bound) MaxAdmitted(limit Limit) float64 {
	return limit.Rate*b.Window.Seconds() + limit.Burst + b.tolerance(limit)
}

// depth returns the capacity of the fleet's bucket.
func (b Bound) depth(limit Limit) float64 {
	return depthOfBurst*limit.Burst + depthOfSlack*b.Slack
}

func (b Bound) slot() time.Duration {
	return max(time.Millisecond, b.Window/slotsPerWindow)
}

// Use is the use of one tenant at one router.
type Use struct {
	Tenant string
	// Offered is the averaged demand per second.
	Offered float64
	// Admitted is the total cost admitted since the router started.
	Admitted float64
	// Recent is the cost admitted in each slot of the last window, the latest first.
	Recent []float64
}

// Report is a router's report to the leader.
type Report struct {
	Node        string
	Incarnation uint64
	Uptime      time.Duration
	Uses        []Use
	// Full is set if Uses has all tenants, with Recent.
	Full bool
}

// Allowance is the share of a tenant's requests that routers admit.
type Allowance struct {
	Tenant string
	// Offered is the averaged demand per second, over all routers.
	Offered float64
	// Admit is the share to admit, at most 1.
	Admit float64
}
