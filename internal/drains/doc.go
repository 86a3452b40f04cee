// Package drains holds the rules for applying an operator's requests to drain a zone, or to end a
// drain. Invariant: no earlier request takes effect after a later one was acknowledged. For this,
// every acknowledged request creates a new revision, each write is conditional on the revision that
// was read, and a request reads the state only within ReadWindow of its arrival, in a process that
// has not stalled. The package does no I/O.
package drains
