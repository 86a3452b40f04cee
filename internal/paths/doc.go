// Package paths tracks which machines one router can reach.
//
// Reachability belongs to the path between a router and a machine: a failed connection does not prove
// that the machine is down. A router whose recent attempts all failed, at several machines, has
// probably lost its own links and is isolated, unless one of a few others answers a probe. Invariant: a path that is down comes up
// only by a connection that was opened after it went down, and a router is isolated only while no machine has
// answered since the failures.
package paths
