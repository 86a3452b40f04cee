// Package virtualtime runs events in virtual time, for the simulators.
package virtualtime

import (
	"container/heap"
	"time"
)

// event is something that happens at a virtual time.
type event struct {
	at       time.Duration
	sequence uint64
	action   func()
}

// eventQueue is a heap by time, then by order of scheduling.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(value any) {
	added, _ := value.(event)
	*q = append(*q, added)
}

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	taken := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return taken
}

// Scheduler is a clock and the events that are due by it. It is not safe for
// concurrent use: the simulators run in one goroutine, so that the same
// events always come in the same order.
type Scheduler struct {
	now      time.Duration
	queue    eventQueue
	sequence uint64
	ran      int
}

// Now is the time since the simulation began.
func (s *Scheduler) Now() time.Duration { return s.now }

// EventsRun is how many events have run.
func (s *Scheduler) EventsRun() int { return s.ran }

// After runs an action after a delay. Actions due at the same time run in the
// order in which they were scheduled.
func (s *Scheduler) After(delay time.Duration, action func()) {
	s.sequence++
	heap.Push(&s.queue, event{at: s.now + max(delay, 0), sequence: s.sequence, action: action})
}

// RunUntil runs everything that is due up to a time, which is then the
// present.
func (s *Scheduler) RunUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		next, _ := heap.Pop(&s.queue).(event)
		s.now = next.at
		s.ran++
		next.action()
	}
	s.now = end
}
