// Package ratelimit tracks the request rates that overloaded machines advertise in their responses,
// for the sum over all routers. Responses on different connections overtake each other, so each
// Statement carries the span in which it was made: it replaces another if it was certainly made
// later; if the spans overlap, the stricter one holds. Nodes exchange statements as Observations.
// Functions take the current time as an argument, from a clock that counts suspensions.
package ratelimit
