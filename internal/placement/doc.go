// Package placement decides which model replicas exist, on which machines, and in what order they
// are loaded. Planner.Decide compares the declared, observed and requested state and returns the
// next changes of replica records. It reads no clock and does no I/O, and it derives every decision
// from the whole state, so that a lost order or report only delays convergence.
package placement
