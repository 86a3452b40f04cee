package policysim

import (
	"slices"
	"sort"
	"time"

	"github.com/weldline/weldline/api/engine"
	v1 "github.com/weldline/weldline/api/v1"
)

type requestOutcome int

const (
	outcomeAnswered requestOutcome = iota
	outcomeRefused
	outcomeUnknown
)

// meter measures what happens after the warm-up.
type meter struct {
	simulation *simulation
	from       time.Duration

	total, answered, refused, unknown int
	cold                              []time.Duration
	floors                            []time.Duration
	waits                             []time.Duration
	firstTokens                       []time.Duration
	idle                              time.Duration
	loads                             int
	memoryOvercommits                 int
	replicasOverDecided               int
	cutInFlight                       int
	lateWork                          int
	duplicateRuns                     int
	falseNotRun                       int
	// waiting are cold requests whose version is not ready yet.
	waiting map[string][]*request
	open    int
}

func newMeter(s *simulation) *meter {
	return &meter{simulation: s, from: time.Duration(s.scenario.WarmupDays) * day, waiting: map[string][]*request{}}
}

func (m *meter) measures(at time.Duration) bool { return at >= m.from }

func (m *meter) arrived(entry *request) {
	if !m.measures(entry.started) {
		return
	}
	m.total++
	m.open++
	if entry.cold {
		m.waiting[entry.asked.Version] = append(m.waiting[entry.asked.Version], entry)
		return
	}
	m.waits = append(m.waits, 0)
}

// versionsReady ends the wait of cold requests whose version has become
// ready.
func (m *meter) versionsReady() {
	for version, waiting := range m.waiting {
		if m.simulation.ready[version] == 0 {
			continue
		}
		delete(m.waiting, version)
		for _, entry := range waiting {
			if entry.ended {
				continue
			}
			wait := m.simulation.Now() - entry.started
			m.cold = append(m.cold, wait)
			m.waits = append(m.waits, wait)
			m.floors = append(m.floors, entry.floor)
		}
	}
}

func (m *meter) ran(entry *request) {
	leaving := entry.machine.leaving && m.simulation.Now()-entry.machine.leftAt > leavingGrace
	if leaving {
		m.lateWork++
	}
	for _, held := range entry.machine.engine.Replicas() {
		if _, decided := m.simulation.state.Spec(v1.KindReplica, held.Order.Replica).(*v1.ReplicaSpec); !decided && held.Phase != engine.PhaseFailed {
			m.replicasOverDecided++
		}
	}
}

func (m *meter) firstToken(entry *request, at time.Duration) {
	if m.measures(entry.started) && entry.retries == 0 {
		m.firstTokens = append(m.firstTokens, at-entry.started)
	}
}

func (m *meter) ended(entry *request, result requestOutcome) {
	if !m.measures(entry.started) {
		return
	}
	m.open--
	if entry.finished > 1 {
		m.duplicateRuns++
	}
	switch result {
	case outcomeAnswered:
		m.answered++
	case outcomeRefused:
		m.refused++
		if entry.finished > 0 {
			m.falseNotRun++
		}
	case outcomeUnknown:
		m.unknown++
	}
}

func (m *meter) loaded() {
	if m.measures(m.simulation.Now()) {
		m.loads++
	}
}

// idled adds the idle time of a number of accelerators.
func (m *meter) idled(from, to time.Duration, accelerators int) {
	from = max(from, m.from)
	if to > from {
		m.idle += (to - from) * time.Duration(accelerators)
	}
}

// Percentiles are seconds.
type Percentiles struct {
	P50  float64 `json:"p50"`
	P95  float64 `json:"p95"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

func percentilesOf(values []time.Duration) Percentiles {
	if len(values) == 0 {
		return Percentiles{}
	}
	sorted := slices.Clone(values)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	at := func(share float64) float64 {
		return sorted[int(share*float64(len(sorted)-1)+0.5)].Seconds()
	}
	return Percentiles{P50: at(0.5), P95: at(0.95), P99: at(0.99), P999: at(0.999), Max: at(1)}
}
