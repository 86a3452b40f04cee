package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// startTime and startBootTime are the process start on the monotonic clock and on
// CLOCK_BOOTTIME.
var (
	startTime     = time.Now()
	startBootTime = bootTime()
)

func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0 // Without CLOCK_BOOTTIME, sinceBoot always uses the monotonic clock.
	}
	return time.Duration(now.Nano())
}

// sinceBoot returns the time since boot, or since the process started if
// CLOCK_BOOTTIME is not available.
func sinceBoot() time.Duration {
	if startBootTime == 0 {
		return time.Since(startTime)
	}
	return bootTime()
}
