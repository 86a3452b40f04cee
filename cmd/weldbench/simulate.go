package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/policysim"
)

// simulateCommand simulates a policy under a traffic scenario in virtual time.
type simulateCommand struct {
	Scenario string  `required:"" help:"ramlochun, seatdesk, overload, or a file." placeholder:"NAME|FILE"`
	Seed     uint64  `default:"1" help:"Random seed of the traffic and the faults."`
	Policy   string  `default:"adaptive" help:"adaptive (weldline's), ski-rental, fixed-10m, none, always-loaded, round-robin, clairvoyant."`
	Traffic  float64 `default:"1" help:"Factor to scale the number of sessions by."`
	JSON     bool    `name:"json" help:"Write the result as one JSON object."`
}

func (c *simulateCommand) Run() error {
	scenario, err := policysim.Load(c.Scenario)
	if err != nil {
		return err
	}
	policy, err := policysim.PolicyByName(c.Policy)
	if err != nil {
		return err
	}
	if c.Traffic <= 0 {
		return fault.InvalidField("traffic", "must be above 0")
	}
	result := policysim.Run(scenario.WithTraffic(c.Traffic), c.Seed, policy)
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(result); err != nil {
			return fault.Internal.Wrap(err, "encoding the result")
		}
	} else {
		encoded, err := json.MarshalIndent(result, "", "  ")
		if err != nil {
			return fault.Internal.Wrap(err, "encoding the result")
		}
		fmt.Println(string(encoded))
	}
	if violations := result.Violations(); violations > 0 {
		return fault.Refused.New("%d invariants were violated", violations)
	}
	return nil
}
