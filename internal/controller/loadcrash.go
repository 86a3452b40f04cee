package controller

import (
	"strings"

	"github.com/weldline/weldline/internal/instances"
	"github.com/weldline/weldline/internal/placement"
	"github.com/weldline/weldline/internal/quarantine"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// loadRoute, before the name of a version, is the route of a record that is about its loads.
const loadRoute = "load of "

// crashesUnderLoads returns the versions under whose loads machines ended. The records name
// their versions, so that their cost grows with the crashes and not with the versions.
func (v *storedView) crashesUnderLoads() map[string]placement.LoadCrashes {
	crashes := map[string]placement.LoadCrashes{}
	for name, suspect := range v.suspects {
		version, isLoad := strings.CutPrefix(suspect.Route, loadRoute)
		if isLoad && v.placed[version] != nil && quarantine.LoadIdentity(version).String() == name {
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
		switch {
		case action.CrashedDuringLoad && v.machines[spec.Machine].Status.Reason == instances.ReasonAnnounced:
			// A planned end.
		case action.CrashedDuringLoad:
			run := quarantine.BrokenRequest{
				Machine: spec.Machine, Instance: quarantine.InstanceName(spec.Machine, spec.Incarnation),
				Identity: quarantine.LoadIdentity(spec.Version), Route: loadRoute + spec.Version,
			}
			commands = append(commands, quarantine.RecordCommand(run.Instance, []quarantine.BrokenRequest{run}))
		case action.Kind == placement.ActionReady && v.loadCrashes[spec.Version].Count > 0:
			commands = append(commands, quarantine.ClearCommand(quarantine.LoadIdentity(spec.Version)))
		}
	}
	return commands
}
