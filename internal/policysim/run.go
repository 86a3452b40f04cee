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

// Result holds the measurements of one run.
type Result struct {
	Scenario   string      `json:"scenario"`
	Seed       uint64      `json:"seed"`
	Policy     string      `json:"policy"`
	Requests   Requests    `json:"requests"`
	ColdStarts int         `json:"cold_starts"`
	ColdStart  Percentiles `json:"cold_start_seconds"`
	// ReplicaWait covers all requests, with 0 for those that found a ready replica.
	ReplicaWait Percentiles `json:"replica_wait_seconds"`
	FirstToken  Percentiles `json:"first_token_seconds"`
	// ColdStartMinimum covers the same requests as ColdStart, with the load time from the fastest
	// available tier and an idle store.
	ColdStartMinimum    Percentiles `json:"cold_start_floor_seconds"`
	IdleHours           float64     `json:"idle_accelerator_hours"`
	Loads               int         `json:"loads"`
	ReplicasOverDecided int         `json:"replicas_over_decided"`
	MemoryOvercommits   int         `json:"memory_overcommits"`
	// DuplicateRuns counts requests that completed more than once, FalseNotRun those that were refused
	// after completing.
	DuplicateRuns       int `json:"duplicate_runs"`
	FalseNotRun         int `json:"false_not_run"`
	InterruptedRequests int `json:"cut_in_flight"`
	WorkAfterLeaving    int `json:"late_work_to_leaving"`
	// Events counts simulation events; Seconds is the wall-clock duration of the run.
	Events  int     `json:"events"`
	Seconds float64 `json:"seconds"`
}

// Run simulates all days of a scenario.
func Run(scenario *Scenario, seed uint64, policy Policy) Result {
	return runUntil(scenario, seed, policy, time.Duration(scenario.Days)*day)
}

// runUntil simulates a scenario up to the given time.
func runUntil(scenario *Scenario, seed uint64, policy Policy, end time.Duration) Result {
	started := time.Now()
	arrivals := generateArrivals(scenario, seed)
	s := newSimulation(scenario, seed, policy, arrivals)
	s.scheduleArrivals(end)
	s.RunUntil(end)
	s.drainRequests(end)
	result := s.result(seed)
	result.Seconds = time.Since(started).Seconds()
	return result
}

// scheduleArrivals schedules the arrivals round-robin over the routers.
func (s *simulation) scheduleArrivals(end time.Duration) {
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

// drainRequests lets the remaining requests end without adding idle time.
func (s *simulation) drainRequests(end time.Duration) {
	for _, machine := range s.machines {
		machine.updateIdleTime()
	}
	idle := s.metrics.idleTime
	const drainTime = 15 * time.Minute
	s.RunUntil(end + drainTime)
	s.metrics.idleTime = idle
}

func (s *simulation) result(seed uint64) Result {
	m := s.metrics
	return Result{
		Scenario: s.scenario.Name, Seed: seed, Policy: s.policy.Name,
		Requests: Requests{
			Total: m.total, Answered: m.answered, RefusedNotRun: m.refused, Unknown: m.unknown, Dropped: m.unfinished,
		},
		ColdStarts: len(m.coldStarts), ColdStart: percentilesOf(m.coldStarts), ReplicaWait: percentilesOf(m.waits),
		FirstToken: percentilesOf(m.firstTokens), ColdStartMinimum: percentilesOf(m.minimumLoads),
		IdleHours: m.idleTime.Hours(), Loads: m.loads,
		ReplicasOverDecided: m.replicasOverDecided, MemoryOvercommits: m.memoryOvercommits,
		DuplicateRuns: m.duplicateRuns, FalseNotRun: m.falseNotRun,
		InterruptedRequests: m.interruptedRequests, WorkAfterLeaving: m.workAfterLeaving, Events: s.EventsRun(),
	}
}

// Violations counts violations of weldline's guarantees.
func (r Result) Violations() int {
	return r.Requests.Dropped + r.ReplicasOverDecided + r.MemoryOvercommits + r.DuplicateRuns +
		r.FalseNotRun + r.InterruptedRequests + r.WorkAfterLeaving
}
