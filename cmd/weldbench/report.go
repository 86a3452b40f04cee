package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/policysim"
)

// reportCommand compares policies over seeds.
type reportCommand struct {
	Scenario string    `required:"" help:"ramlochun, seatdesk, or a file." placeholder:"NAME|FILE"`
	Seeds    string    `help:"Range of seeds, as FIRST..LAST." default:"1..10" placeholder:"A..B"`
	Policies []string  `help:"Policies to compare; all by default."`
	Scales   []float64 `help:"Multiples of the cold-start weights at which the project's own policy is run, for its curve." default:"1"`
	Out      string    `required:"" type:"path" help:"Folder for the table and the drawings."`
	Format   string    `enum:"svg,png" default:"svg" help:"Format of the drawings: svg or png."`
}

// Run implements the command.
func (c *reportCommand) Run() error {
	scenario, err := policysim.Load(c.Scenario)
	if err != nil {
		return err
	}
	jobs, err := c.jobs()
	if err != nil {
		return err
	}
	done := 0
	compared, err := policysim.Compare(scenario, jobs, func(result policysim.Result) {
		done++
		fmt.Fprintf(os.Stderr, "report: %d of %d, %s seed %d in %.0f s\n", done, len(jobs), result.Policy, result.Seed, result.Seconds)
	})
	if err != nil {
		return err
	}
	return c.write(scenario.Name, compared)
}

func (c *reportCommand) jobs() ([]policysim.Job, error) {
	first, last, err := parseSeeds(c.Seeds)
	if err != nil {
		return nil, err
	}
	policies := c.Policies
	if len(policies) == 0 {
		policies = policysim.PolicyNames
	}
	var jobs []policysim.Job
	for _, policy := range policies {
		if _, err := policysim.PolicyByName(policy); err != nil {
			return nil, err
		}
		scales := []float64{1}
		if policy == policysim.DefaultPolicy || policy == "clairvoyant" {
			scales = c.Scales
		}
		for _, scale := range scales {
			for seed := first; seed <= last; seed++ {
				jobs = append(jobs, policysim.Job{Policy: policy, WeightScale: scale, Seed: seed})
			}
		}
	}
	return jobs, nil
}

func (c *reportCommand) write(name string, compared []policysim.Comparison) error {
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return fault.Storage.Wrap(err, "making the folder")
	}
	var table bytes.Buffer
	policysim.WriteComparison(&table, compared)
	fmt.Print(table.String())
	if err := os.WriteFile(filepath.Join(c.Out, name+".md"), table.Bytes(), 0o644); err != nil {
		return fault.Storage.Wrap(err, "writing the table")
	}
	for drawing, quantity := range policysim.Plots {
		path := filepath.Join(c.Out, name+"-"+drawing+"."+c.Format)
		if err := policysim.WritePlot(path, quantity, compared); err != nil {
			return err
		}
	}
	return nil
}
