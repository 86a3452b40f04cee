// Package forwarding chooses other routers to serve the requests that a router can't serve itself,
// because it has no path to a machine that could. It holds no connections and reads no clock.
//
// Routers that are close to each other often lose their paths together. What one of them lacks says little about
// the others, so a request is tried in another zone next, and the status of other routers is checked in the
// background while this router is isolated, not learned from requests only.
//
// Invariant: a request is forwarded at most once, since only the router that the client reached
// forwards, and only to routers in regions that the request allows.
package forwarding
