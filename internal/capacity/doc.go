// Package capacity measures what a running fleet costs: processor time,
// memory, bytes and messages of each role, and how soon a change is in force
// on the last node.
//
// The problem: the size that decides the design is far larger than what runs
// on one machine, and a guess is no basis for it.
//
// The mechanism: a script starts real control nodes and relays, processes that
// each host many hollow routers (the real node, without callers), two real
// routers of their own, and emulated engines. Run reads every process's
// metrics before and after each phase and reports the differences by role.
// Fit draws straight lines through runs of several sizes, so that costs at the
// target size are worked out from measured slopes.
package capacity
