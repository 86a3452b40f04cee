package faultsim

import (
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/virtualtime"
)

// Summary aggregates the outcomes of many schedules.
type Summary struct {
	Result    string         `json:"result"`
	Schedules int            `json:"schedules"`
	Events    int            `json:"events"`
	Committed int            `json:"committed"`
	Faults    map[string]int `json:"faults"`
	// Requests counts requests by the outcome reported to the client.
	Requests map[string]int `json:"requests"`
	// Violations counts the schedules that violated each check.
	Violations map[string]int `json:"violations"`
	// Undecided counts the histories whose linearizability check timed out.
	Undecided int `json:"undecided"`
	// Replays holds the first schedule that violated each check, minimized.
	Replays []Violation `json:"replays"`
	// EngineCrashes counts poison requests by the number of engines that they crashed.
	EngineCrashes map[int]int `json:"engines_ended"`
	// HealthyRefused counts ordinary requests that were refused as quarantined.
	HealthyRefused int     `json:"innocents_refused"`
	Seconds        float64 `json:"seconds"`
}

func newSummary() *Summary {
	summary := &Summary{Faults: map[string]int{}, Requests: map[string]int{}, Violations: map[string]int{}, Replays: []Violation{}, EngineCrashes: map[int]int{}}
	for _, check := range Checks {
		summary.Violations[check] = 0
	}
	return summary
}

func (s *Summary) add(outcome Outcome) {
	s.Schedules++
	s.Events += outcome.Events
	s.Committed += outcome.Committed
	s.Undecided += outcome.Undecided
	for kind, count := range outcome.Faults {
		s.Faults[kind] += count
	}
	s.Requests["answered"] += outcome.Answered
	s.Requests["refused_not_run"] += outcome.NotRun
	s.Requests["unknown"] += outcome.Unknown
	s.HealthyRefused += outcome.HealthyRefused
	for _, ended := range outcome.CrashCounts {
		s.EngineCrashes[ended]++
	}
	for _, violation := range outcome.Violations {
		if s.Violations[violation.Check] == 0 {
			s.Replays = append(s.Replays, violation)
		}
		s.Violations[violation.Check]++
	}
}

// Campaign runs schedules on all processors and aggregates their outcomes. It passes the number of
// finished schedules to progress, from several goroutines. Apart from Seconds, the summary depends on
// the schedules alone.
func Campaign(schedules []Schedule, progress func(done int)) *Summary {
	started := time.Now()
	outcomes := make([]Outcome, len(schedules))
	var ended atomic.Int64
	virtualtime.RunAll(len(schedules), func(position int) {
		outcomes[position] = Run(schedules[position])
		progress(int(ended.Add(1)))
	})
	summary := newSummary()
	for _, outcome := range outcomes {
		summary.add(outcome)
	}
	for position := range summary.Replays {
		replay := &summary.Replays[position]
		replay.Schedule = Minimize(replay.Schedule, replay.Check)
	}
	summary.Result = "ok"
	if len(summary.Replays) > 0 {
		summary.Result = "failed"
	}
	summary.Seconds = time.Since(started).Seconds()
	return summary
}

// ParseSchedule decodes and validates a schedule in YAML.
func ParseSchedule(data []byte) (Schedule, error) {
	var schedule Schedule
	if err := yaml.UnmarshalWithOptions(data, &schedule, yaml.Strict()); err != nil {
		return Schedule{}, fault.Invalid.Wrap(err, "reading a schedule")
	}
	if schedule.Mutation != MutationNone && !slices.Contains(Mutations, schedule.Mutation) {
		return Schedule{}, fault.InvalidField("mutation", "unknown mutation %s", schedule.Mutation)
	}
	if field, problem := schedule.Shape.validate(); problem != "" {
		return Schedule{}, fault.InvalidField("shape."+field, "%s", problem)
	}
	for position, entry := range schedule.Faults {
		if field, problem := entry.validate(); problem != "" {
			return Schedule{}, fault.InvalidField(faultField(position, field), "%s", problem)
		}
	}
	return schedule, nil
}

func (f Fault) validate() (field, problem string) {
	switch {
	case !slices.Contains(Kinds, f.Kind) && !slices.Contains(AdditionalKinds, f.Kind):
		return "kind", "unknown kind of fault " + string(f.Kind)
	case f.At < 0 || f.At > faultsEnd:
		return "at", "must be between 0s and " + faultsEnd.String()
	case f.For < 0 || f.At+f.For > faultsEnd:
		return "for", "must end by " + faultsEnd.String()
	case f.Target < 0:
		return "target", "must not be negative"
	}
	return "", ""
}

func faultField(position int, field string) string {
	return "faults[" + strconv.Itoa(position) + "]." + field
}
