// Package spec specifies the core protocols as small models, which Explore checks exhaustively
// within bounds. Each model has rules that can be disabled to show that its invariant detects it.
//
// The models are the replicated log (elections, leases, commits), fenced loads (delayed and repeated
// orders, stale reports, engine restarts) and claims (concurrent attempts, crashes, sweeps). The
// fault simulator checks its traces against the same rules of loads and claims.
package spec
