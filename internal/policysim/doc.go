// Package policysim runs days of traffic through the real decisions in
// virtual time, to compare policies.
//
// The problem: whether a keep-alive or placement rule shortens the tail of
// cold starts, and what it costs in idle accelerators, shows only over days of
// traffic that follows the sun. No cluster is free for that, and no two days
// are alike.
//
// The mechanism: a scenario describes machines, weight store, models, arrival
// processes and faults; a seed draws the arrivals. The simulation drives the
// real controller, planner, state machine, view, agent orders and dispatch
// cores; engines are the real engine model with checkpoint tiers, and the
// store shares its bandwidth. Agreement is left out: a write is applied after
// the delay of a commit. Every policy meets the same arrivals.
package policysim
