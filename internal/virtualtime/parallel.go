package virtualtime

import (
	"runtime"
	"sync"
)

// RunAll calls run with each position below count, on all processors at once,
// and returns when all have ended. Simulations are independent of each other,
// so results stored by position are the same in whatever order they run.
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
