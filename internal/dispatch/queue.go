package dispatch

import (
	"container/heap"
	"sort"
	"time"
)

// waiter is a queued request.
type waiter struct {
	request *Request
	// position is the index in the heap, -1 after removal.
	position int
}

// waitHeap is a heap with the next request to serve on top.
type waitHeap []*waiter

func (h waitHeap) Len() int { return len(h) }

func (h waitHeap) Less(i, j int) bool { return servedBefore(h[i].request, h[j].request) }

func (h waitHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i
	h[j].position = j
}

func (h *waitHeap) Push(value any) {
	entry, _ := value.(*waiter)
	entry.position = len(*h)
	*h = append(*h, entry)
}

func (h *waitHeap) Pop() any {
	last := len(*h) - 1
	entry := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	entry.position = -1
	return entry
}

// servedBefore orders by priority, then deadline, then ID.
func servedBefore(left, right *Request) bool {
	switch {
	case left.Priority != right.Priority:
		return left.Priority > right.Priority
	case !left.Deadline.Equal(right.Deadline):
		return left.Deadline.Before(right.Deadline)
	}
	return left.ID < right.ID
}

// queue holds the waiting requests of one version.
type queue struct {
	waiting waitHeap
}

func (q *queue) push(request *Request) *waiter {
	entry := &waiter{request: request}
	heap.Push(&q.waiting, entry)
	return entry
}

func (q *queue) first() *Request {
	if len(q.waiting) == 0 {
		return nil
	}
	return q.waiting[0].request
}

// sorted returns the requests in serving order.
func (q *queue) sorted() []*Request {
	requests := make([]*Request, 0, len(q.waiting))
	for _, entry := range q.waiting {
		requests = append(requests, entry.request)
	}
	sort.Slice(requests, func(i, j int) bool { return servedBefore(requests[i], requests[j]) })
	return requests
}

// isExpired reports whether the request's deadline has passed.
func (r *Request) isExpired(now time.Time) bool { return !now.Before(r.Deadline) }

// isQueueExpired reports whether the request's time in the queue is over.
func (r *Request) isQueueExpired(now time.Time) bool { return !now.Before(r.queuedUntil()) }

func (q *queue) remove(entry *waiter) {
	if entry.position >= 0 {
		heap.Remove(&q.waiting, entry.position)
	}
}
