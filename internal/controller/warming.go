package controller

import (
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/instances"
	"github.com/weldline/weldline/internal/placement"
	"github.com/weldline/weldline/internal/warming"
)

// ObserveWarming updates the warm-up state from the machines' reports and the state observed last. It
// calls entries only if the machines of some pool warm up.
func (c *Controller) ObserveWarming(now time.Duration, entries func() map[string]instances.Entry) warming.Transitions {
	drains := make(map[string]warming.Drain, len(c.stored.drains))
	for zone, drain := range c.stored.drains {
		drains[zone] = warming.Drain{Revision: drain.revision, Drained: drain.spec.Drained}
	}
	var machines map[string]warming.Machine
	if c.stored.hasWarming {
		machines = c.registeredMachines(entries())
	}
	news := c.warming.Update(now, drains, machines)
	c.urgent = c.urgent || news.Urgent
	return news
}

// registeredMachines returns the self-registered machines with their newest reports.
func (c *Controller) registeredMachines(entries map[string]instances.Entry) map[string]warming.Machine {
	machines := make(map[string]warming.Machine, len(c.stored.machines))
	for name, declared := range c.stored.machines {
		if declared.Spec.Pool == "" {
			continue // Machines polled by agents don't report their warm-up.
		}
		machine := warming.Machine{
			Zone: declared.Spec.Zone, Lost: declared.Status.Phase == v1.MachineLost, DeclaredWarming: c.stored.warmingSpec(declared.Spec.Pool) != nil,
		}
		if entry, reported := entries[name]; reported {
			machine.Report = &warming.Report{
				Received: entry.Received, Remaining: time.Duration(entry.Report.GetWarmingMs()) * time.Millisecond,
			}
		}
		machines[name] = machine
	}
	return machines
}

// applyWarming reduces the capacity of machines that reported a warm-up in the placement input.
// Machines that have not reported in this term count as warm.
func (c *Controller) applyWarming(now time.Duration, placed map[string]*placement.Machine) {
	for name, remaining := range c.warming.Remaining(now) {
		machine := placed[name]
		if machine == nil {
			continue
		}
		if declared := c.stored.warmingSpec(machine.Pool); declared != nil {
			machine.ReducedFor, machine.ReducedRate = remaining, declared.RequestsPerSecond
		}
	}
}

// warmingSpec returns the warm-up settings of a pool, or nil if it has none.
func (v *storedView) warmingSpec(pool string) *v1.WarmingSpec {
	if declared := v.pools[pool]; declared != nil {
		return declared.Warming
	}
	return nil
}
