package controller

import "time"

// RouterRetention is how long a router without reports still counts among those that share the bounds of the cluster, and how
// long the count of the preceding term holds. A router may be cut off and go on using its share: it exceeds the time until such
// a router stops that by as much as the windows of the bounds.
const RouterRetention = 15 * time.Second

// sharingRouters returns the number of routers among which the bounds of the cluster are divided. A new leader has not heard of
// all of them, so the count of the preceding term holds at first.
func (c *Controller) sharingRouters(now time.Duration, nodes map[string]nodeEntry) uint32 {
	count := uint32(0)
	for _, entry := range nodes {
		if entry.report.GetRouter() && now-entry.received <= RouterRetention {
			count++
		}
	}
	if now-c.since <= RouterRetention {
		count = max(count, uint32(c.config.Routers))
	}
	return count
}
