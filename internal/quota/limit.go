package quota

import "time"

// slots is into how many parts a window is cut, for what routers tell a new leader. A part
// is then as long as the interval of reports in an eight-second window.
const slots = 16

const (
	// depthOfBurst and depthOfSlack are the parts of the burst and of the slack that the
	// fleet's bucket holds. A tenth of the burst is let through before routers hear that
	// the bucket is drained. Slack counts where limits are small beside single requests;
	// the rest of it, and all of the overage, remain for debts.
	depthOfBurst, depthOfSlack = 0.9, 0.45
	// localShare is the part of the tolerance that the routers' own buckets together are
	// deeper by.
	localShare = 0.1
)

// Bound is by how much tenants may exceed their limits, in any window.
type Bound struct {
	Window time.Duration
	// Overage is a share of what the limit allows in a window.
	Overage float64
	// Slack is in units of the tenants' rates.
	Slack float64
}

// Limit is what a tenant may ask for at all routers together, in units of its rate.
type Limit struct {
	// Rate is per second; 0: no limit.
	Rate  float64
	Burst float64
}

// tolerance is by how much a limit may be exceeded in a window.
func (b Bound) tolerance(limit Limit) float64 {
	return b.Overage*(limit.Rate*b.Window.Seconds()+limit.Burst) + b.Slack
}

// MaxAdmitted is the most that may be let through in any window.
func (b Bound) MaxAdmitted(limit Limit) float64 {
	return limit.Rate*b.Window.Seconds() + limit.Burst + b.tolerance(limit)
}

// depth is how much the fleet's bucket holds.
func (b Bound) depth(limit Limit) float64 {
	return depthOfBurst*limit.Burst + depthOfSlack*b.Slack
}

func (b Bound) slot() time.Duration {
	return max(time.Millisecond, b.Window/slots)
}

// Use is what one tenant asked of one router.
type Use struct {
	Tenant string
	// Offered is the averaged rate of what it asks for, a second.
	Offered float64
	// Admitted counts since the router started.
	Admitted float64
	// Recent is what was admitted in each part of the last window, the latest first.
	Recent []float64
}

// Report is what a router tells the leader.
type Report struct {
	Node        string
	Incarnation uint64
	// Uptime is how long ago the router started.
	Uptime time.Duration
	Uses   []Use
	// Full is set where Uses are of all tenants, with what was admitted lately.
	Full bool
}

// Allowance is how much of what a tenant asks for routers let through.
type Allowance struct {
	Tenant string
	// Offered is what the tenant asks for a second, at all routers together.
	Offered float64
	// Admit is the share to let through, 1 at most.
	Admit float64
}
