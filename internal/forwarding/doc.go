// Package forwarding chooses other routers to serve the requests that a router can't serve itself,
// because it has no path to a machine that could. It holds no connections and reads no clock.
//
// Invariant: a request is forwarded at most once, since only the router that the client reached
// forwards, and only to routers in regions that the request allows.
package forwarding
