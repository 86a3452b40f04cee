// Package warming limits the requests to machines that are warming up, which handle only a few per
// second: each needs a permit of the leader (package permits). Invariant: the permits used for a
// machine in any one second are at most what Bound allows. A machine counts as warming up until a
// report newer than its last restart, drain or connection failure says otherwise. Functions take the
// current time as an argument.
package warming
