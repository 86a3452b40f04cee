// Package permits limits the total rate of requests to a machine that is warming up or advertises a
// limit. A router requests a permit for each request from the leader, which keeps a token bucket
// per machine. Invariant: across changes of the leader, delays and partitions, the permits used for
// a machine in any span of time are at most Burst plus what Rate gives in that span and Lifetime.
// Functions take the current time as an argument.
package permits
