// Package clock provides a clock that includes the time for which the machine was
// suspended.
//
// The monotonic clock of time.Now and timers stops during a suspend, so leases and
// timeouts measured by it would still look valid afterwards. Now reads
// CLOCK_BOOTTIME, which keeps running. TotalSuspended returns the suspended time
// without a system call, for use on the request path. Timers fire late after a
// suspend, so check deadlines with Now when they are used.
package clock
