package policysim

import (
	"time"
)

// Requests counts requests by outcome.
type Requests struct {
	Total         int `json:"total"`
	Answered      int `json:"answered"`
	RefusedNotRun int `json:"refused_not_run"`
	Unknown       int `json:"unknown"`
	Dropped       int `json:"dropped"`
}

// Result is what one run showed.
type Result struct {
	Scenario   string      `json:"scenario"`
	Seed       uint64      `json:"seed"`
	Policy     string      `json:"policy"`
	Requests   Requests    `json:"requests"`
	ColdStarts int         `json:"cold_starts"`
	ColdStart  Percentiles `json:"cold_start_seconds"`
	// ReplicaWait is over all requests, 0 where a replica was ready.
	ReplicaWait Percentiles `json:"replica_wait_seconds"`
	FirstToken  Percentiles `json:"first_token_seconds"`
	// ColdStartMinimum is for the same requests as ColdStart: the bare load
	// from the best tier present with an idle store.
	ColdStartMinimum    Percentiles `json:"cold_start_floor_seconds"`
	IdleHours           float64     `json:"idle_accelerator_hours"`
	Loads               int         `json:"loads"`
	ReplicasOverDecided int         `json:"replicas_over_decided"`
	MemoryOvercommits   int         `json:"memory_overcommits"`
	// DuplicateRuns and FalseNotRun count requests that ended twice, or were
	// refused after they had run to their end.
	DuplicateRuns       int `json:"duplicate_runs"`
	FalseNotRun         int `json:"false_not_run"`
	InterruptedRequests int `json:"cut_in_flight"`
	WorkAfterLeaving    int `json:"late_work_to_leaving"`
	// Events is how many events the run took, Seconds how long.
	Events  int     `json:"events"`
	Seconds float64 `json:"seconds"`
}

// Run simulates a scenario.
func Run(scenario *Scenario, seed uint64, policy Policy) Result {
	return runFor(scenario, seed, policy, time.Duration(scenario.Days)*day)
}

// runFor simulates the beginning of a scenario.
func runFor(scenario *Scenario, seed uint64, policy Policy, end time.Duration) Result {
	started := time.Now()
	arrivals := drawArrivals(scenario, seed)
	s := newSimulation(scenario, seed, policy, arrivals)
	s.feed(end)
	s.RunUntil(end)
	s.settle(end)
	result := s.result(seed)
	result.Seconds = time.Since(started).Seconds()
	return result
}

// feed schedules the arrivals one after the other, spread over the routers.
func (s *simulation) feed(end time.Duration) {
	var next func(number int)
	next = func(number int) {
		if number == len(s.arrivals) || s.arrivals[number].at >= end {
			return
		}
		entry := s.arrivals[number]
		s.After(entry.at-s.Now(), func() {
			s.routers[number%len(s.routers)].arrive(uint64(number+1), entry)
			next(number + 1)
		})
	}
	next(0)
}

// settle lets the last requests end, without counting more idle time.
func (s *simulation) settle(end time.Duration) {
	for _, machine := range s.machines {
		machine.account()
	}
	idle := s.meter.idle
	const patience = 15 * time.Minute
	s.RunUntil(end + patience)
	s.meter.idle = idle
}

func (s *simulation) result(seed uint64) Result {
	m := s.meter
	return Result{
		Scenario: s.scenario.Name, Seed: seed, Policy: s.policy.Name,
		Requests: Requests{
			Total: m.total, Answered: m.answered, RefusedNotRun: m.refused, Unknown: m.unknown, Dropped: m.open,
		},
		ColdStarts: len(m.cold), ColdStart: percentilesOf(m.cold), ReplicaWait: percentilesOf(m.waits),
		FirstToken: percentilesOf(m.firstTokens), ColdStartMinimum: percentilesOf(m.floors),
		IdleHours: m.idle.Hours(), Loads: m.loads,
		ReplicasOverDecided: m.replicasOverDecided, MemoryOvercommits: m.memoryOvercommits,
		DuplicateRuns: m.duplicateRuns, FalseNotRun: m.falseNotRun,
		InterruptedRequests: m.cutInFlight, WorkAfterLeaving: m.lateWork, Events: s.EventsRun(),
	}
}

// Violations counts the broken promises.
func (r Result) Violations() int {
	return r.Requests.Dropped + r.ReplicasOverDecided + r.MemoryOvercommits + r.DuplicateRuns +
		r.FalseNotRun + r.InterruptedRequests + r.WorkAfterLeaving
}
