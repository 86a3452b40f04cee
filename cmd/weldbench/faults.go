package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/faultsim"
)

// faultsCommand simulates clusters under faults.
type faultsCommand struct {
	Seeds    string            `help:"Range of seeds, as FIRST..LAST." default:"1..100" placeholder:"A..B"`
	Schedule string            `help:"Run this schedule instead of random ones." type:"existingfile" placeholder:"FILE"`
	Mutation faultsim.Mutation `help:"Introduce a bug; the run is expected to fail." placeholder:"NAME"`
	JSON     bool              `help:"Write the summary as one JSON object." name:"json"`
}

func (c *faultsCommand) Run() error {
	schedules, err := c.schedules()
	if err != nil {
		return err
	}
	const progressEvery = 250
	summary := faultsim.Campaign(schedules, func(done int) {
		if done > 0 && done%progressEvery == 0 {
			fmt.Fprintf(os.Stderr, "faults: %d of %d schedules\n", done, len(schedules))
		}
	})
	if err := c.print(summary); err != nil {
		return err
	}
	if summary.Result != "ok" {
		return fault.Refused.New("%d checks failed", len(summary.Replays))
	}
	return nil
}

func (c *faultsCommand) schedules() ([]faultsim.Schedule, error) {
	if c.Schedule != "" {
		data, err := os.ReadFile(c.Schedule)
		if err != nil {
			return nil, fault.Usage.Wrap(err, "reading the schedule")
		}
		schedule, err := faultsim.ParseSchedule(data)
		if err != nil {
			return nil, err
		}
		return []faultsim.Schedule{schedule}, nil
	}
	first, last, err := parseSeeds(c.Seeds)
	if err != nil {
		return nil, err
	}
	var schedules []faultsim.Schedule
	for seed := first; seed <= last; seed++ {
		schedules = append(schedules, faultsim.RandomSchedule(seed, c.Mutation))
	}
	return schedules, nil
}

// parseSeeds parses "FIRST..LAST", or a single seed.
func parseSeeds(text string) (first, last uint64, err error) {
	from, to, isRange := strings.Cut(text, "..")
	if !isRange {
		to = from
	}
	first, firstErr := strconv.ParseUint(from, 10, 64)
	last, lastErr := strconv.ParseUint(to, 10, 64)
	const maxSeeds = 1_000_000
	if firstErr != nil || lastErr != nil || last < first || last-first >= maxSeeds {
		return 0, 0, fault.InvalidField("seeds", "%q is not a valid range of seeds, such as 1..100", text)
	}
	return first, last, nil
}

func (c *faultsCommand) print(summary *faultsim.Summary) error {
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(summary)
	}
	fmt.Printf("%d schedules, %d events, %d entries committed, %.1f s\n",
		summary.Schedules, summary.Events, summary.Committed, summary.Seconds)
	for _, check := range faultsim.Checks {
		fmt.Printf("%-24s %d\n", check, summary.Violations[check])
	}
	for _, replay := range summary.Replays {
		fmt.Printf("%s: %s\n  replay: %+v\n", replay.Check, replay.Detail, replay.Schedule)
	}
	return nil
}
