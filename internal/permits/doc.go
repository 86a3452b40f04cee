// Package permits paces what all routers together send to one machine.
//
// The problem: a machine that warms up, or that names a limit, bears a few requests a second from
// all routers together. Hundreds of routers send to it, each without knowing of the others, and some
// of them are cut off from the control plane. A share for each router would be far below one request
// a second.
//
// The mechanism: a router asks the leader for a permit, for one request and right before it sends it.
// The leader keeps a token bucket for each such machine under its lease. Without a permit nothing is
// sent. How fast a bucket fills, and how deep it is, is the machine's Pace, which follows from
// whatever bounds the machine: package warming and package ratelimit.
//
// Invariant: whatever leaders follow each other, however late permits arrive and whichever routers are
// cut off, the permits used for a machine in any span of time are at most Burst and what Rate gives in
// that span and Lifetime.
//
// Everything here is pure: time is an argument.
package permits
