// Package clock tells the time that passes while a machine is suspended.
//
// The problem: the clock behind time.Now and timers stands still while a machine sleeps. A
// leader that slept for four seconds finds its lease as fresh as before, and another leads by
// then; a router finds what it was told as new as ever.
//
// The mechanism: CLOCK_BOOTTIME, which runs on during a sleep and does not jump with the time
// of day. Whatever a process claims towards others for a time (leases, grants, contact) is
// measured by Now. A call takes about 0.2 us (BenchmarkNow), three times what time.Now takes, so
// the path of a request reads only Slept, which Watch keeps up to date.
//
// Timers still stand still during a sleep and fire late by it: a claim is checked when it is
// used, never taken to hold because no timer has said otherwise.
package clock
