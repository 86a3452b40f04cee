// Package control runs a control node: a member of the replicated log, the
// server of the control plane's feed, and, while it leads, the controllers.
//
// The problem: decisions about replicas must survive the loss of any control
// machine, reach every node within seconds, and never be made by two leaders
// at once.
//
// The mechanism: one goroutine owns the member (package member) and feeds it
// ticks, messages and proposals; the disk is synced there before anything is
// sent or applied. Peers are dialled by every node; a connection carries the
// dialler's raft messages, reports and forwarded proposals one way, and the
// replies the other way. Controllers run only while the leader's lease lasts
// and change nothing but by proposals, so what a deposed leader believes has
// no effect.
package control
