// Package virtualtime provides a deterministic discrete-event scheduler in virtual
// time, for the simulators.
package virtualtime

import (
	"container/heap"
	"time"
)

type event struct {
	at       time.Duration
	sequence uint64
	action   func()
}

// eventQueue is a heap ordered by time, then by order of scheduling.
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
	popped := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return popped
}

// Scheduler is a virtual clock with a queue of events. It is not safe for
// concurrent use: all events run on the caller's goroutine, in a deterministic
// order.
type Scheduler struct {
	now      time.Duration
	queue    eventQueue
	sequence uint64
	ran      int
}

// Now returns the time since the start of the simulation.
func (s *Scheduler) Now() time.Duration { return s.now }

// EventsRun returns the number of events that have run.
func (s *Scheduler) EventsRun() int { return s.ran }

// After schedules an action after a delay. Actions due at the same time run in the
// order in which they were scheduled. A negative delay counts as 0.
func (s *Scheduler) After(delay time.Duration, action func()) {
	s.sequence++
	heap.Push(&s.queue, event{at: s.now + max(delay, 0), sequence: s.sequence, action: action})
}

// RunUntil runs all events due at or before end, and sets the time to end.
func (s *Scheduler) RunUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		next, _ := heap.Pop(&s.queue).(event)
		s.now = next.at
		s.ran++
		next.action()
	}
	s.now = end
}
