package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/fault"
)

type drainCommands struct {
	Machine drainMachineCommand `cmd:"" default:"withargs" help:"Empty a machine, or let it work again."`
	Zone    drainZoneCommand    `cmd:"" help:"Send a zone's machines no requests until undrain zone."`
}

type undrainCommand struct {
	Zone undrainZoneCommand `cmd:"" help:"Send a zone's machines requests again."`
}

type drainMachineCommand struct {
	Machine string `arg:"" help:"Machine."`
	Undo    bool   `help:"Let the machine work again."`
}

type drainZoneCommand struct {
	Zone string `arg:"" help:"Zone."`
}

type undrainZoneCommand struct {
	Zone string `arg:"" help:"Zone."`
}

// Run sets the machine's desired state, conditionally, and again if another
// operator was faster.
func (c *drainMachineCommand) Run(current *session) error {
	for {
		resource, err := current.client.Get(current.ctx, string(v1.KindMachine), c.Machine)
		if err != nil {
			return err
		}
		spec, err := v1.DecodeSpec(v1.KindMachine, resource.Spec)
		if err != nil {
			return err
		}
		machine, isMachine := spec.(*v1.MachineSpec)
		if !isMachine {
			return fault.Internal.New("%s is not a machine", c.Machine)
		}
		machine.Drain = !c.Undo
		if resource.Spec, err = json.Marshal(machine); err != nil {
			return fault.Internal.Wrap(err, "encoding a machine")
		}
		resource.Status = nil
		_, err = current.client.Put(current.ctx, resource, newKey())
		if fault.Is(err, fault.Conflict) {
			continue
		}
		if err != nil {
			return err
		}
		fmt.Printf("Machine/%s drain=%t\n", c.Machine, machine.Drain)
		return nil
	}
}

// Run orders the drain; once it returns, the order is committed.
func (c *drainZoneCommand) Run(current *session) error {
	return orderDrain(current, c.Zone, true)
}

// Run ends the drain.
func (c *undrainZoneCommand) Run(current *session) error {
	return orderDrain(current, c.Zone, false)
}

func orderDrain(current *session, zone string, drained bool) error {
	if err := current.client.DrainZone(current.ctx, zone, drained); err != nil {
		return err
	}
	fmt.Printf("%s/%s drained=%t\n", v1.KindZoneDrain, zone, drained)
	return nil
}

// kindNamed resolves the short name of the drains of zones.
func kindNamed(named string) string {
	if strings.EqualFold(named, "drains") || strings.EqualFold(named, "drain") {
		return string(v1.KindZoneDrain)
	}
	return named
}

func summaryOfDrain(spec *v1.ZoneDrainSpec, encoded []byte) string {
	told := "in service"
	if spec.Drained {
		told = "drained"
	}
	var status v1.ZoneDrainStatus
	if json.Unmarshal(encoded, &status) != nil || status.OrderedAt.IsZero() {
		return told
	}
	return told + ", last ordered at " + status.OrderedAt.Format(time.RFC3339)
}
