package policysim

import "github.com/weldline/weldline/internal/enginemodel"

// slots tracks the requests of one replica. Routers learn of each other's requests with a delay, so
// more may arrive than fit; these are queued at the engine.
type slots struct {
	running int
	waiting []*request
}

// enqueue starts a request, or queues it until its deadline.
func (m *machine) enqueue(entry *request) {
	queue := m.slots[entry.replica]
	if queue == nil {
		queue = &slots{}
		m.slots[entry.replica] = queue
	}
	if queue.running < entry.replica.Order.MaxConcurrent {
		queue.running++
		entry.start()
		return
	}
	queue.waiting = append(queue.waiting, entry)
	s := m.simulation
	s.After(entry.dispatchRequest.Deadline.Sub(s.wall()), func() {
		if !entry.ended && m.instance == entry.instance && queue.remove(entry) {
			entry.expire()
		}
	})
}

// remove removes a queued request; false if it is not queued.
func (s *slots) remove(entry *request) bool {
	for position, other := range s.waiting {
		if other == entry {
			s.waiting = append(s.waiting[:position], s.waiting[position+1:]...)
			return true
		}
	}
	return false
}

// releaseSlot passes the slot of a finished request to the next one.
func (m *machine) releaseSlot(entry *request) {
	queue := m.slots[entry.replica]
	queue.running--
	if len(queue.waiting) > 0 {
		next := queue.waiting[0]
		queue.waiting = queue.waiting[1:]
		queue.running++
		next.start()
	}
	if queue.running == 0 {
		delete(m.slots, entry.replica)
	}
}

func (m *machine) resetSlots() {
	m.slots = map[*enginemodel.Replica]*slots{}
}
