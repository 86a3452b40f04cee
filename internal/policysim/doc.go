// Package policysim compares keep-alive and routing policies by running days of traffic in virtual
// time.
//
// A scenario describes machines, weight store, models, arrival processes and faults; a seed draws
// the arrivals, which are the same for every policy. The production code of controller, planner,
// state machine, node view, agent and dispatcher runs on the engine model. Raft is replaced by a
// fixed commit delay.
package policysim
