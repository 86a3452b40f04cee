package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/policysim"
)

// reportCommand compares policies over several seeds.
type reportCommand struct {
	Scenario string    `required:"" help:"ramlochun, seatdesk, or a file." placeholder:"NAME|FILE"`
	Seeds    string    `help:"Range of seeds, as FIRST..LAST." default:"1..10" placeholder:"A..B"`
	Policies []string  `help:"Policies to compare; all by default."`
	Scales   []float64 `help:"Factors to scale the cold-start weights by, for the curves of the adaptive and the clairvoyant policy." default:"1"`
	Out      string    `required:"" type:"path" help:"Output directory for the table and the charts."`
	Format   string    `enum:"svg,png" default:"svg" help:"Format of the charts: svg or png."`
}

func (c *reportCommand) Run() error {
	scenario, err := policysim.Load(c.Scenario)
	if err != nil {
		return err
	}
	jobs, err := c.jobs()
	if err != nil {
		return err
	}
	completed := 0
	comparisons, err := policysim.Compare(scenario, jobs, func(result policysim.Result) {
		completed++
		fmt.Fprintf(os.Stderr, "report: %d of %d, %s seed %d in %.0f s\n", completed, len(jobs), result.Policy, result.Seed, result.Seconds)
	})
	if err != nil {
		return err
	}
	return c.write(scenario.Name, comparisons)
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

func (c *reportCommand) write(name string, comparisons []policysim.Comparison) error {
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return fault.Storage.Wrap(err, "creating the output directory")
	}
	var table bytes.Buffer
	policysim.WriteComparison(&table, comparisons)
	fmt.Print(table.String())
	if err := os.WriteFile(filepath.Join(c.Out, name+".md"), table.Bytes(), 0o644); err != nil {
		return fault.Storage.Wrap(err, "writing the table")
	}
	for chart, quantity := range policysim.Plots {
		path := filepath.Join(c.Out, name+"-"+chart+"."+c.Format)
		if err := policysim.WritePlot(path, quantity, comparisons); err != nil {
			return err
		}
	}
	return nil
}
