package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// begun and begunAt are one moment by the steady clock and by CLOCK_BOOTTIME.
var (
	begun   = time.Now()
	begunAt = bootTime()
)

func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0 // A system without the clock: sinceBoot falls back for the process's whole life.
	}
	return time.Duration(now.Nano())
}

func sinceBoot() time.Duration {
	if begunAt == 0 {
		return time.Since(begun)
	}
	return bootTime()
}
