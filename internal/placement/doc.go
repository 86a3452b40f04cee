// Package placement decides which replicas exist, where, and in what order
// they are loaded.
//
// The problem: most models are idle, accelerators are few, checkpoints are
// cached unevenly, the weight store admits few loads, and a burst asks for
// many models at once. Every second a caller waits for a load counts against
// the cold-start tail, and every accelerator that holds idle weights counts
// against idle hours.
//
// The mechanism: Planner.Decide compares what is declared, what is observed
// and what is asked for, and returns the next changes of replica records. It
// has no clock and no I/O; the leader proposes the changes, and agents order
// engines to follow the records. Since it looks at the whole state each time,
// a lost order, answer or decision only delays convergence.
//
// A pass goes through four steps: follow what engines report (reconcile.go),
// retire replicas that nobody needs (retire.go), rank what is wanted
// (want.go), and find places, evicting idle replicas where there is no room
// (fit.go, evict.go). Registered machines carry out one order at a time: what
// is worth placing or evicting there, and when, is decided in worth.go and
// swap.go, by each version's share of work (spread.go). Loads from the weight
// store are paced under its limits (store.go), of which the number that run at
// full speed at once is learned (speeds.go).
package placement
