// Package ratelimit holds the request rates that machines state in their answers.
//
// An overloaded machine can state a request rate in its answers. The rate applies to the sum over all routers,
// for as long as answers state it, but only the router that receives an answer sees it. Answers on different
// connections and through different routers overtake each other, so the one received last need not be the newest.
//
// Each Statement carries the span in which it was made: from the send of the request to the head of its answer.
// A statement replaces another if it was certainly made later; if the spans overlap, the stricter one holds.
// Routers report their statements as Observations, the leader merges them by the same rule and publishes them in
// its digests. Each request to a limited machine needs a permit (package permits) at the Pace that follows from
// the limit.
//
// An answer without a limit ends one by the same rule. The end is published for a while, so that it reaches the
// routers that still hold the limit.
//
// The package is pure: time is an argument, by a clock that counts suspensions.
package ratelimit
