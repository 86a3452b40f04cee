// Package warming keeps machines that warm up from getting more than they bear.
//
// The problem: after its start, and whenever it says so, a machine bears only a few requests a
// second, and falls over well above that. Hundreds of routers send to it, each without knowing
// of the others, and some of them are cut off from the control plane. A share for each router
// would be far below one request a second.
//
// The mechanism: a router that takes a machine to warm up asks the leader for a permit, for one
// request and right before it sends it (package permits). What a router knows of machines is
// pessimistic: one that nobody has vouched for since something happened to it warms up.
//
// Invariant: the permits used for a machine in any one second are at most what Bound allows.
//
// Everything here is pure: time is an argument.
package warming
