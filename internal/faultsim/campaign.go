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

// Summary is what a campaign over many schedules showed.
type Summary struct {
	Result    string         `json:"result"`
	Schedules int            `json:"schedules"`
	Events    int            `json:"events"`
	Committed int            `json:"committed"`
	Faults    map[string]int `json:"faults"`
	// Requests counts by what callers were told.
	Requests map[string]int `json:"requests"`
	// Violations counts the schedules that broke each check.
	Violations map[string]int `json:"violations"`
	// Undecided counts histories too long to check for linearizability.
	Undecided int `json:"undecided"`
	// Replays holds the first schedule of each broken check, shortened.
	Replays []Violation `json:"replays"`
	// EngineCrashes counts the requests that end engines by how many ended under them.
	EngineCrashes map[int]int `json:"engines_ended"`
	// HealthyRefused counts the sends of other requests that were refused like those.
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

// Campaign runs schedules on all processors and sums up what they showed;
// progress is called with how many have ended, from several goroutines. The
// summary, but for its seconds, depends on the schedules alone.
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

// ParseSchedule reads a schedule from YAML and checks it.
func ParseSchedule(data []byte) (Schedule, error) {
	var schedule Schedule
	if err := yaml.UnmarshalWithOptions(data, &schedule, yaml.Strict()); err != nil {
		return Schedule{}, fault.Invalid.Wrap(err, "reading a schedule")
	}
	if schedule.Mutation != MutationNone && !slices.Contains(Mutations, schedule.Mutation) {
		return Schedule{}, fault.InvalidField("mutation", "unknown mutation %s", schedule.Mutation)
	}
	for position, entry := range schedule.Faults {
		if field, problem := entry.check(); problem != "" {
			return Schedule{}, fault.InvalidField(fieldOf(position, field), "%s", problem)
		}
	}
	return schedule, nil
}

func (f Fault) check() (field, problem string) {
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

func fieldOf(position int, field string) string {
	return "faults[" + strconv.Itoa(position) + "]." + field
}
