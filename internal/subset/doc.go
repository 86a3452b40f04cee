// Package subset decides which machines and replicas a node learns of.
//
// The problem: what a router holds, reads and refreshes must not grow with the
// number of machines. A router sends a handful of requests a second; to know
// ten thousand machines for that costs it more memory, and its link more
// bytes, than all else that it does.
//
// The mechanism is deterministic subsetting. What a request may ask for in one
// region is a Group: a version, an adapter of a version, or a pool whose
// machines serve by themselves. Of each group a node learns a bounded number
// of members, the nearest first; among those equally near, the order is by
// rendezvous hashing over the node's zone. So all nodes of a zone choose
// alike, which keeps what a model's replicas have cached of prompts in use,
// and one encoded list serves them all. Groups with few members are known
// whole: a version that is loaded once is known to every router.
//
// A bound that can't be exceeded would be wrong under load. A node whose
// requests wait for a group learns of twice as many members, again and again
// up to all of them.
//
// Invariants: what a node has learnt of stays known to it, with every change,
// until it is deleted or the node lists anew, so a machine that leaves, is
// lost or stands in a drained zone is never merely forgotten. Where a group
// has usable members, a node knows some of them. Everything that is not a
// machine or a replica (the declared configuration, orders about zones,
// convictions) goes to every node whole: a bound that all must know is no
// matter of subsets.
//
// The package is pure: no clock, no I/O, no goroutines, no locks.
package subset
