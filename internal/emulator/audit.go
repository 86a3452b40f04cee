package emulator

import "sync"

// Audit counts violations of weldline's guarantees and the activity needed to interpret them.
type Audit struct {
	// MemoryOvercommits counts load orders that exceeded the free memory.
	MemoryOvercommits int `json:"memoryOvercommits"`
	// AbandonedStreams counts generations that were stopped because no client read them any more.
	AbandonedStreams int `json:"abandoned"`
	// WorkAfterLeaving counts requests that started on a machine more than LeaveGrace after it was
	// listed as leaving.
	WorkAfterLeaving int `json:"lateWorkToLeaving"`
	// DuplicateRuns counts non-idempotent requests that ran more than once.
	DuplicateRuns int `json:"duplicateRuns"`
	// Runs counts completed inference requests.
	Runs int `json:"runs"`
	// Loads counts completed loads, StaleOrders rejected orders.
	Loads           int `json:"loads"`
	StaleOrders     int `json:"staleOrders"`
	StoreRejections int `json:"storeBusy"`
	// MaxReplicas is the maximum number of concurrent replicas of each version.
	MaxReplicas map[string]int `json:"maxReplicas"`
	// Executions counts the runs of each idempotency key.
	Executions map[string]int `json:"executions"`
}

// auditor collects the Audit of all emulated systems.
type auditor struct {
	mutex    sync.Mutex
	audit    Audit
	replicas map[string]int
}

func newAuditor() *auditor {
	return &auditor{
		audit:    Audit{MaxReplicas: map[string]int{}, Executions: map[string]int{}},
		replicas: map[string]int{},
	}
}

func (a *auditor) update(change func(audit *Audit)) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	change(&a.audit)
}

// addReplicas changes the current number of replicas of a version.
func (a *auditor) addReplicas(version string, change int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.replicas[version] += change
	a.audit.MaxReplicas[version] = max(a.audit.MaxReplicas[version], a.replicas[version])
}

func (a *auditor) recordExecution(key string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.audit.Executions[key]++
	if a.audit.Executions[key] > 1 {
		a.audit.DuplicateRuns++
	}
}

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
