package virtualtime

import (
	"runtime"
	"sync"
)

// RunAll calls run for each position in [0, count) on up to GOMAXPROCS goroutines,
// and returns when all calls have returned. The calls must be independent of each
// other, so that results stored by position are deterministic.
func RunAll(count int, run func(position int)) {
	positions := make(chan int)
	var group sync.WaitGroup
	for range min(count, runtime.GOMAXPROCS(0)) {
		group.Go(func() {
			for position := range positions {
				run(position)
			}
		})
	}
	for position := range count {
		positions <- position
	}
	close(positions)
	group.Wait()
}
