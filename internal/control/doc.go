// Package control runs a control node: a member of the replicated log, the server of the control
// plane's feed, and, on the leader, the controllers.
//
// One goroutine owns the member and feeds it ticks, messages and proposals; it syncs the disk
// before anything is sent or applied. Each node dials every peer; a connection carries the dialing
// node's messages one way and the replies the other.
//
// Invariant: the controllers run only while the leader lease is held, and change state only by
// proposals, so decisions of a deposed leader have no effect.
package control
