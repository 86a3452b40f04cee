// Package soak judges the real processes under faults that are brought about from outside.
//
// The problem: tests with fakes and simulations show what the parts do under the faults that
// somebody thought of. What only shows in whole processes (a connection that is silent one way
// while new ones work, a process that was stopped while a call lay in its socket, a kill during a
// restart) needs the programs as they run.
//
// The mechanism: a Plan of faults is drawn from a seed. Links between processes pass loopback
// proxies, which delay, silence, reset and refuse; processes get signals by the ids that whoever
// started them wrote down. What callers, operators and machines see is kept as a History, and
// Judge says which promises it breaks. Plan and Judge are pure; a soak with the same seed has the
// same faults, though what they meet differs from run to run.
package soak
