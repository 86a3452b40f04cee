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

// metrics collects measurements after the warm-up.
type metrics struct {
	simulation  *simulation
	measureFrom time.Duration

	total, answered, refused, unknown int
	coldStarts                        []time.Duration
	minimumLoads                      []time.Duration
	waits                             []time.Duration
	firstTokens                       []time.Duration
	idleTime                          time.Duration
	loads                             int
	memoryOvercommits                 int
	replicasOverDecided               int
	interruptedRequests               int
	workAfterLeaving                  int
	duplicateRuns                     int
	falseNotRun                       int
	// waiting holds cold-start requests whose version is not ready yet.
	waiting    map[string][]*request
	unfinished int
}

func newMetrics(s *simulation) *metrics {
	return &metrics{simulation: s, measureFrom: time.Duration(s.scenario.WarmupDays) * day, waiting: map[string][]*request{}}
}

func (m *metrics) isMeasured(at time.Duration) bool { return at >= m.measureFrom }

func (m *metrics) recordArrival(entry *request) {
	if !m.isMeasured(entry.started) {
		return
	}
	m.total++
	m.unfinished++
	if entry.coldStart {
		m.waiting[entry.dispatchRequest.Version] = append(m.waiting[entry.dispatchRequest.Version], entry)
		return
	}
	m.waits = append(m.waits, 0)
}

// recordReadyVersions ends the wait of cold-start requests whose version has become ready.
func (m *metrics) recordReadyVersions() {
	for version, waiting := range m.waiting {
		if m.simulation.readyReplicas[version] == 0 {
			continue
		}
		delete(m.waiting, version)
		for _, entry := range waiting {
			if entry.ended {
				continue
			}
			wait := m.simulation.Now() - entry.started
			m.coldStarts = append(m.coldStarts, wait)
			m.waits = append(m.waits, wait)
			m.minimumLoads = append(m.minimumLoads, entry.minimumLoad)
		}
	}
}

func (m *metrics) recordRun(entry *request) {
	leaving := entry.machine.leaving && m.simulation.Now()-entry.machine.leavingSince > leavingGrace
	if leaving {
		m.workAfterLeaving++
	}
	for _, replica := range entry.machine.engine.Replicas() {
		if _, decided := m.simulation.state.Spec(v1.KindReplica, replica.Order.Replica).(*v1.ReplicaSpec); !decided && replica.Phase != engine.PhaseFailed {
			m.replicasOverDecided++
		}
	}
}

func (m *metrics) recordFirstToken(entry *request, at time.Duration) {
	if m.isMeasured(entry.started) && entry.retries == 0 {
		m.firstTokens = append(m.firstTokens, at-entry.started)
	}
}

func (m *metrics) recordOutcome(entry *request, result requestOutcome) {
	if !m.isMeasured(entry.started) {
		return
	}
	m.unfinished--
	if entry.completions > 1 {
		m.duplicateRuns++
	}
	switch result {
	case outcomeAnswered:
		m.answered++
	case outcomeRefused:
		m.refused++
		if entry.completions > 0 {
			m.falseNotRun++
		}
	case outcomeUnknown:
		m.unknown++
	}
}

func (m *metrics) recordLoad() {
	if m.isMeasured(m.simulation.Now()) {
		m.loads++
	}
}

// recordIdle adds the idle time of a number of accelerators.
func (m *metrics) recordIdle(from, to time.Duration, accelerators int) {
	from = max(from, m.measureFrom)
	if to > from {
		m.idleTime += (to - from) * time.Duration(accelerators)
	}
}

// Percentiles are in seconds.
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
