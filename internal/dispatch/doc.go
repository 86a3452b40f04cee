// Package dispatch decides, at one router, which replica a request goes to
// and who waits.
//
// The problem: load reports lag, several routers fill the same replicas, a
// burst may find no replica at all, and every request must be served or
// refused before its deadline.
//
// The mechanism: Core is a pure state machine; time is an argument. Each
// target's load is what the router itself has in flight there plus the lagged
// report's share of the others. The least loaded target wins, after a bonus
// for an adapter that is loaded or a prompt prefix that is probably cached,
// as long as the bonus leads to no target that is busier by more than a
// bound. Where targets are taken by the work before them, a router also reckons
// with what the others have sent since the last report, so that not all take
// the same target (stale.go). Machines that fail more of their requests than their
// peers, by the counts of all routers, get fewer (answers.go); those that can't be
// reached, are silent, or reject requests come after their peers for a while
// (health.go). Machines that ask for a rest get none until it is over (rest.go), and
// those that are leaving get none at all (leaving.go). A request that finds no room
// waits in a queue per version, ordered by priority and deadline and bounded for the
// whole router: a full router sheds the lowest priority first. Requests whose deadline comes before the
// leader's estimate of readiness are refused at once, as not run.
package dispatch
