// Package faultsim runs whole clusters in virtual time while everything fails
// that may fail, and checks what must always hold.
//
// The problem: the failures that break promises are rare orders of events: a
// leader frozen between a decision and its order, a disk that forgets, a
// resend that overtakes its first copy. Running processes meet them too
// seldom, and never twice the same way.
//
// The mechanism: one goroutine runs a queue of events in virtual time, with
// all randomness drawn from one seed, so a seed is a schedule that replays.
// Control nodes run the real member, state and controller; router nodes the
// real view, dispatch core, agent orders and claim attempts; engines the real
// engine model. Simulated are only the surroundings: the network (delay, loss,
// late copies, cuts), the disks (lose what was not synced), the clocks (skew,
// also of the time of day), and the processes' ends and freezes.
//
// Checks look from outside at what no process may know: what was committed
// first at each index, what each engine holds, which requests ran. See
// checks.go for the list. What engines, claims and voters did is compared step
// by step with the specification in internal/spec. A Mutation breaks one rule of the system on purpose,
// to show that a check notices.
package faultsim
