// Package spec is a small specification of the protocol core, explored
// exhaustively within bounds.
//
// The problem: simulation draws schedules at random and may never draw the one
// that breaks a rule. The rules themselves, apart from all code around them,
// are small enough to try every order of events.
//
// The mechanism: three models, each a state and the steps that may follow. The
// log (log.go): elections, leases, replication, commits, restarts. The fenced
// load (load.go): decisions, late and repeated orders, stale reports, engine
// restarts. The claim (claim.go): two attempts at one key, crashes, sweeps.
// Explore visits every state that can be reached and checks the invariants; a
// broken rule (a field of the model) leads to a counterexample.
//
// The rules of the load and the claim are functions that the fault simulator
// compares with what the implementation did, order by order and claim by
// claim, so the code's traces are behaviours of the specification.
package spec
