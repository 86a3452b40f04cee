package controller

import (
	"github.com/weldline/weldline/internal/instances"
	"github.com/weldline/weldline/internal/placement"
	"github.com/weldline/weldline/internal/quarantine"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// crashesUnderLoads returns the versions under whose loads machines ended.
func (v *storedView) crashesUnderLoads() map[string]placement.LoadCrashes {
	if len(v.suspects) == 0 {
		return nil
	}
	crashes := map[string]placement.LoadCrashes{}
	for version := range v.placed {
		if suspect := v.suspects[quarantine.LoadIdentity(version).String()]; suspect != nil {
			crashes[version] = placement.LoadCrashes{Count: len(suspect.Machines), Last: suspect.LastCrash}
		}
	}
	return crashes
}

// loadCommands returns what has to be recorded of loads: the machines that ended under them,
// and the versions that were loaded after all. It goes through the log, so that the next leader
// does not begin anew.
func (v *storedView) loadCommands(actions []placement.Action) []*wirepb.Command {
	var commands []*wirepb.Command
	for _, action := range actions {
		if action.Replica == nil {
			continue
		}
		spec := action.Replica.Spec
		identity := quarantine.LoadIdentity(spec.Version)
		switch {
		case action.EndedUnderLoad && v.machines[spec.Machine].Status.Reason == instances.ReasonSaidSo:
			// A planned end.
		case action.EndedUnderLoad:
			run := quarantine.Run{
				Machine: spec.Machine, Life: quarantine.LifeOf(spec.Machine, spec.Incarnation),
				Identity: identity, Route: "load of " + spec.Version,
			}
			commands = append(commands, quarantine.RecordCommand(run.Life, []quarantine.Run{run}))
		case action.Kind == placement.ActionReady && v.loadCrashes[spec.Version].Count > 0:
			commands = append(commands, quarantine.ClearCommand(identity))
		}
	}
	return commands
}
