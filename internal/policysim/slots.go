package policysim

import "github.com/weldline/weldline/internal/enginemodel"

// slots are the requests of one replica: so many run at once, the others wait
// at the engine in order of arrival. Routers don't know of each other's
// requests in time, so more may come than fit.
type slots struct {
	running int
	waiting []*request
}

// admit starts a request, or lets it wait at the engine until its deadline.
func (m *machine) admit(entry *request) {
	held := m.slots[entry.held]
	if held == nil {
		held = &slots{}
		m.slots[entry.held] = held
	}
	if held.running < entry.held.Order.MaxConcurrent {
		held.running++
		entry.start()
		return
	}
	held.waiting = append(held.waiting, entry)
	s := m.simulation
	s.After(entry.asked.Deadline.Sub(s.wall()), func() {
		if !entry.ended && m.life == entry.life && held.leave(entry) {
			entry.expire()
		}
	})
}

// leave takes a request out of those that wait, if it does.
func (s *slots) leave(entry *request) bool {
	for position, other := range s.waiting {
		if other == entry {
			s.waiting = append(s.waiting[:position], s.waiting[position+1:]...)
			return true
		}
	}
	return false
}

// free gives the slot of a request that has ended to the next.
func (m *machine) free(entry *request) {
	held := m.slots[entry.held]
	held.running--
	if len(held.waiting) > 0 {
		next := held.waiting[0]
		held.waiting = held.waiting[1:]
		held.running++
		next.start()
	}
	if held.running == 0 {
		delete(m.slots, entry.held)
	}
}

func (m *machine) dropSlots() {
	m.slots = map[*enginemodel.Replica]*slots{}
}
