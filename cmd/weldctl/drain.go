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
	Machine drainMachineCommand `cmd:"" default:"withargs" help:"Drain or undrain a machine."`
	Zone    drainZoneCommand    `cmd:"" help:"Send no requests to a zone's machines until it is undrained."`
}

type undrainCommand struct {
	Zone undrainZoneCommand `cmd:"" help:"Send requests to a zone's machines again."`
}

type drainMachineCommand struct {
	Machine string `arg:"" help:"Machine."`
	Undo    bool   `help:"Undrain the machine."`
}

type drainZoneCommand struct {
	Zone string `arg:"" help:"Zone."`
}

type undrainZoneCommand struct {
	Zone string `arg:"" help:"Zone."`
}

// Run sets the drain field of the machine with a conditional write, which it retries
// after a conflict.
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
		_, err = current.client.Put(current.ctx, resource, newIdempotencyKey())
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

// Run drains the zone. The drain is committed when Run returns.
func (c *drainZoneCommand) Run(current *session) error {
	return setZoneDrain(current, c.Zone, true)
}

func (c *undrainZoneCommand) Run(current *session) error {
	return setZoneDrain(current, c.Zone, false)
}

func setZoneDrain(current *session, zone string, drained bool) error {
	if err := current.client.DrainZone(current.ctx, zone, drained); err != nil {
		return err
	}
	fmt.Printf("%s/%s drained=%t\n", v1.KindZoneDrain, zone, drained)
	return nil
}

// resolveKind expands the aliases "drain" and "drains" of ZoneDrain.
func resolveKind(name string) string {
	if strings.EqualFold(name, "drains") || strings.EqualFold(name, "drain") {
		return string(v1.KindZoneDrain)
	}
	return name
}

func summarizeDrain(spec *v1.ZoneDrainSpec, encodedStatus []byte) string {
	summary := "in service"
	if spec.Drained {
		summary = "drained"
	}
	var status v1.ZoneDrainStatus
	if json.Unmarshal(encodedStatus, &status) != nil || status.OrderedAt.IsZero() {
		return summary
	}
	return summary + ", last ordered at " + status.OrderedAt.Format(time.RFC3339)
}
