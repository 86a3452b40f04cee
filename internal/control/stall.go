package control

import (
	"context"
	"sync"
	"time"
)

const (
	// stallGap is how long a process may go without running before it counts as stalled. A call
	// that arrived meanwhile is as old at most when it is read.
	stallGap = 400 * time.Millisecond
	// stallRest is how long after a stall calls are not trusted to be fresh: until then the
	// sockets have been emptied of what came during the stall, also on a busy machine.
	stallRest = time.Second
	// stallLook is how often the process notes that it runs.
	stallLook = 50 * time.Millisecond
)

// stallWatch tells whether this process was stopped, or its machine frozen or asleep, until a
// moment ago. It is told of each time that the process runs, by a clock that counts sleep.
//
// Invariant: while it reports no stall, every moment of the last stallRest was less than
// stallGap away from one at which the process ran.
type stallWatch struct {
	lastRun      time.Duration
	doubtedUntil time.Duration
}

// run notes that the process runs now.
func (s *stallWatch) run(now time.Duration) {
	if now-s.lastRun > stallGap {
		s.doubtedUntil = now + stallRest
	}
	s.lastRun = now
}

// stalled reports whether calls may have waited unread. The process may run again before run
// has been called.
func (s *stallWatch) stalled(now time.Duration) bool {
	return now-s.lastRun > stallGap || now < s.doubtedUntil
}

// stallGuard is a stallWatch for concurrent use.
type stallGuard struct {
	mutex sync.Mutex
	watch stallWatch
}

func (g *stallGuard) run(now time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.watch.run(now)
}

func (g *stallGuard) stalled(now time.Duration) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.watch.stalled(now)
}

// watchStalls runs on a goroutine of its own: the loop of the log waits for its disk.
func (n *Node) watchStalls(ctx context.Context) {
	ticker := time.NewTicker(stallLook)
	defer ticker.Stop()
	for {
		n.stalls.run(n.now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
