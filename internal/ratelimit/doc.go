// Package ratelimit knows the limits that machines name in their answers.
//
// The problem: a machine in need says in an answer how many requests a second it takes from all
// routers together, for as long as it says so. Only the router that got the answer hears it. Answers
// overtake each other, through two routers, on two connections, so that the one that came last need
// not be what the machine said last.
//
// The mechanism: what a machine said is kept as a Statement with the span in which it was made: from
// the send of the request to the head of its answer. A statement takes the place of another if it was
// made after it for certain; where that is open, the stricter one holds. Routers report what they were
// told; the leader puts it together by the same rule and spreads it in its digests. Whoever takes a
// machine to be limited asks for a permit for each send (package permits), with the Pace that follows
// from the limit.
//
// An answer that names no limit ends one, under the same rule: one whose request was sent before the
// limit was heard of says nothing of its end. What ended a limit is kept for a while, so that routers
// which still hold an older word hear of it.
//
// Everything here is pure: time is an argument, by a clock that counts sleep.
package ratelimit
