package controller

import (
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/instances"
	"github.com/weldline/weldline/internal/placement"
	"github.com/weldline/weldline/internal/warming"
)

// ObserveWarming takes what machines said of themselves, beside the state observed last. Where the
// machines of no pool warm up, it looks at none: entries is not called.
func (c *Controller) ObserveWarming(now time.Duration, entries func() map[string]instances.Entry) warming.Transitions {
	drains := make(map[string]warming.Drain, len(c.stored.drains))
	for zone, drain := range c.stored.drains {
		drains[zone] = warming.Drain{Revision: drain.revision, Drained: drain.spec.Drained}
	}
	var machines map[string]warming.Machine
	if c.stored.hasWarming {
		machines = c.machinesThatMayWarmUp(entries())
	}
	news := c.warming.Update(now, drains, machines)
	c.urgent = c.urgent || news.Urgent
	return news
}

// machinesThatMayWarmUp are the machines that registered, with what each said of itself last.
func (c *Controller) machinesThatMayWarmUp(entries map[string]instances.Entry) map[string]warming.Machine {
	machines := make(map[string]warming.Machine, len(c.stored.machines))
	for name, declared := range c.stored.machines {
		if declared.Spec.Pool == "" {
			continue // It is watched by agents, and says nothing of itself.
		}
		machine := warming.Machine{
			Zone: declared.Spec.Zone, Lost: declared.Status.Phase == v1.MachineLost, DeclaredWarming: c.stored.warmingOf(declared.Spec.Pool) != nil,
		}
		if entry, heard := entries[name]; heard {
			machine.Report = &warming.Report{
				Received: entry.Received, Remaining: time.Duration(entry.Report.GetWarmingMs()) * time.Millisecond,
			}
		}
		machines[name] = machine
	}
	return machines
}

// addWarming tells placement which machines have said that they warm up. One that has said nothing
// since its leader began may well be warm.
func (c *Controller) addWarming(now time.Duration, placed map[string]*placement.Machine) {
	for name, remaining := range c.warming.Remaining(now) {
		machine := placed[name]
		if machine == nil {
			continue
		}
		if declared := c.stored.warmingOf(machine.Pool); declared != nil {
			machine.ReducedFor, machine.ReducedRate = remaining, declared.RequestsPerSecond
		}
	}
}

// warmingOf returns what a pool declares of its machines' warming up; nil if nothing.
func (v *storedView) warmingOf(pool string) *v1.WarmingSpec {
	if declared := v.pools[pool]; declared != nil {
		return declared.Warming
	}
	return nil
}
