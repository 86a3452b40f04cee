package clock

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"
)

const (
	// watchInterval bounds how long TotalSuspended lags behind after the machine wakes up.
	watchInterval = 50 * time.Millisecond
	// minSuspend is the shortest suspend to report. Shorter differences can come from reading the
	// two clocks at different times.
	minSuspend = 100 * time.Millisecond
	// maxReadDuration is the longest duration of a valid reading of both clocks. If the process
	// is preempted between the two, the difference would look like a suspend.
	maxReadDuration = 10 * time.Millisecond
)

var totalSuspendedNanos atomic.Int64

// Now returns the time since boot, including suspended time. It is monotonic.
func Now() time.Duration {
	return sinceBoot()
}

// TotalSuspended returns the total time that the machine was suspended since Watch was started.
func TotalSuspended() time.Duration {
	return time.Duration(totalSuspendedNanos.Load())
}

// detector detects suspends by comparing the boot clock with the monotonic clock.
type detector struct {
	started bool
	// boot and monotonic are the last readings.
	boot, monotonic time.Duration
}

// observe adds a reading of both clocks. It returns how long the machine was suspended since the
// last one, or 0 if that is below minSuspend or a clock ran backwards.
func (d *detector) observe(boot, monotonic time.Duration) time.Duration {
	previous := *d
	d.started, d.boot, d.monotonic = true, boot, monotonic
	if !previous.started || boot < previous.boot || monotonic < previous.monotonic {
		return 0
	}
	suspended := (boot - previous.boot) - (monotonic - previous.monotonic)
	if suspended < minSuspend {
		return 0
	}
	return suspended
}

// readClocks reads both clocks. ok is false if the readings are too far apart in time to compare.
func readClocks(start time.Time) (boot, monotonic time.Duration, ok bool) {
	boot = sinceBoot()
	monotonic = time.Since(start)
	return boot, monotonic, sinceBoot()-boot < maxReadDuration
}

// Watch logs each suspend of the machine and calls onWake after it, until ctx is done.
func Watch(ctx context.Context, logger *slog.Logger, onWake func(suspended time.Duration)) {
	start := time.Now()
	suspends := detector{}
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		if boot, monotonic, ok := readClocks(start); ok {
			if suspended := suspends.observe(boot, monotonic); suspended > 0 {
				totalSuspendedNanos.Add(int64(suspended))
				logger.Warn("machine_slept", "slept_ms", suspended.Milliseconds())
				onWake(suspended)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
