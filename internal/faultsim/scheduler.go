package faultsim

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

// scheduler is the virtual time.
type scheduler struct {
	now      time.Duration
	queue    eventQueue
	sequence uint64
	ran      int
}

func (s *scheduler) after(delay time.Duration, action func()) {
	s.sequence++
	heap.Push(&s.queue, event{at: s.now + delay, sequence: s.sequence, action: action})
}

func (s *scheduler) runUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		next, _ := heap.Pop(&s.queue).(event)
		s.now = next.at
		s.ran++
		next.action()
	}
	s.now = end
}
