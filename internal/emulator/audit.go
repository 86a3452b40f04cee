package emulator

import "sync"

// Audit counts broken promises and what is needed to judge them.
type Audit struct {
	// MemoryOvercommits counts loads that asked for memory that is not there.
	MemoryOvercommits int `json:"memoryOvercommits"`
	// AbandonedStreams counts generations that ended because nobody followed them
	// any more: their router stopped, or gave up.
	AbandonedStreams int `json:"abandoned"`
	// WorkAfterLeaving counts requests begun on a machine that had been leaving for
	// longer than LeaveGrace.
	WorkAfterLeaving int `json:"lateWorkToLeaving"`
	// DuplicateRuns counts unrepeatable requests that ran more than once.
	DuplicateRuns int `json:"duplicateRuns"`
	// Runs counts inference requests that ran to their end.
	Runs int `json:"runs"`
	// Loads counts finished loads, StaleOrders refused orders.
	Loads           int `json:"loads"`
	StaleOrders     int `json:"staleOrders"`
	StoreRejections int `json:"storeBusy"`
	// MaxReplicas is, for each version, the most replicas held at once.
	MaxReplicas map[string]int `json:"maxReplicas"`
	// Executions is how often each unrepeatable key ran.
	Executions map[string]int `json:"executions"`
}

// auditor gathers an Audit from everything in one process.
type auditor struct {
	mutex   sync.Mutex
	audit   Audit
	current map[string]int
}

func newAuditor() *auditor {
	return &auditor{
		audit:   Audit{MaxReplicas: map[string]int{}, Executions: map[string]int{}},
		current: map[string]int{},
	}
}

func (a *auditor) count(change func(audit *Audit)) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	change(&a.audit)
}

// holds notes that replicas of a version came (1) or went (-1).
func (a *auditor) holds(version string, change int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.current[version] += change
	a.audit.MaxReplicas[version] = max(a.audit.MaxReplicas[version], a.current[version])
}

func (a *auditor) executed(key string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.audit.Executions[key]++
	if a.audit.Executions[key] > 1 {
		a.audit.DuplicateRuns++
	}
}

// snapshot copies the audit.
func (a *auditor) snapshot() Audit {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	copied := a.audit
	copied.MaxReplicas = make(map[string]int, len(a.audit.MaxReplicas))
	for version, count := range a.audit.MaxReplicas {
		copied.MaxReplicas[version] = count
	}
	copied.Executions = make(map[string]int, len(a.audit.Executions))
	for key, count := range a.audit.Executions {
		copied.Executions[key] = count
	}
	return copied
}
