package clock

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"
)

const (
	// watchInterval is how often Watch looks for a sleep: what relies on Slept errs by as much
	// at most once the machine is awake.
	watchInterval = 50 * time.Millisecond
	// leastSleep is the shortest sleep that is told of. The two clocks are not read at the same
	// instant, and a process may be put aside between the readings.
	leastSleep = 100 * time.Millisecond
	// readingTime is how long a reading of both clocks may take. One in which the process was
	// put aside, as for a tenth of a second where its share of a processor is used up, would
	// look like a sleep.
	readingTime = 10 * time.Millisecond
)

// slept is the sum of all sleeps that Watch has seen.
var slept atomic.Int64

// Now returns the time since the machine started, sleeps included. It never runs backwards.
func Now() time.Duration {
	return sinceBoot()
}

// TotalSuspended returns for how long the machine has slept in all since Watch was started.
func TotalSuspended() time.Duration {
	return time.Duration(slept.Load())
}

// detector finds sleeps by how far the two clocks drift apart. It is pure.
type detector struct {
	started bool
	// boot and steady are the clocks' last readings.
	boot, steady time.Duration
}

// look takes a reading of both clocks and returns how long the machine has slept since the
// last one: 0 for less than leastSleep, and for a clock that runs backwards.
func (d *detector) look(boot, steady time.Duration) time.Duration {
	before := *d
	d.started, d.boot, d.steady = true, boot, steady
	if !before.started || boot < before.boot || steady < before.steady {
		return 0
	}
	asleep := (boot - before.boot) - (steady - before.steady)
	if asleep < leastSleep {
		return 0
	}
	return asleep
}

// readBoth reads both clocks as of one moment; ok is false where that did not come off.
func readBoth(begun time.Time) (boot, steady time.Duration, ok bool) {
	boot = sinceBoot()
	steady = time.Since(begun)
	return boot, steady, sinceBoot()-boot < readingTime
}

// Watch tells of each sleep of the machine, on a goroutine of its own, until ctx ends. What a
// node holds is out of date by then.
func Watch(ctx context.Context, logger *slog.Logger, woke func(asleep time.Duration)) {
	begun := time.Now()
	found := detector{}
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		if boot, steady, ok := readBoth(begun); ok {
			if asleep := found.look(boot, steady); asleep > 0 {
				slept.Add(int64(asleep))
				logger.Warn("machine_slept", "slept_ms", asleep.Milliseconds())
				woke(asleep)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
