package controller

import (
	"strings"

	"github.com/weldline/weldline/internal/instances"
	"github.com/weldline/weldline/internal/placement"
	"github.com/weldline/weldline/internal/quarantine"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// loadRoutePrefix precedes the version in the route of suspect records that are about loads.
const loadRoutePrefix = "load of "

// countLoadCrashes returns, by version, the machine crashes during loads of that version. Suspect
// records name their versions, so the cost depends on the number of records and not of versions.
func (v *storedView) countLoadCrashes() map[string]placement.LoadCrashes {
	crashes := map[string]placement.LoadCrashes{}
	for name, suspect := range v.suspects {
		version, isLoad := strings.CutPrefix(suspect.Route, loadRoutePrefix)
		if isLoad && v.loadable[version] != nil && quarantine.LoadIdentity(version).String() == name {
			crashes[version] = placement.LoadCrashes{Count: len(suspect.Machines), Last: suspect.LastCrash}
		}
	}
	return crashes
}

// loadCommands returns the commands that record load outcomes: machines that crashed during a load, and
// successful loads of versions with earlier crashes. They are written to the log so that they survive a
// change of leader.
func (v *storedView) loadCommands(actions []placement.Action) []*wirepb.Command {
	var commands []*wirepb.Command
	for _, action := range actions {
		if action.Replica == nil {
			continue
		}
		spec := action.Replica.Spec
		switch {
		case action.CrashedDuringLoad && v.machines[spec.Machine].Status.Reason == instances.ReasonAnnounced:
			// The machine announced its shutdown.
		case action.CrashedDuringLoad:
			run := quarantine.BrokenRequest{
				Machine: spec.Machine, Instance: quarantine.InstanceName(spec.Machine, spec.Incarnation),
				Identity: quarantine.LoadIdentity(spec.Version), Route: loadRoutePrefix + spec.Version,
			}
			commands = append(commands, quarantine.RecordCommand(run.Instance, []quarantine.BrokenRequest{run}))
		case action.Kind == placement.ActionReady && v.loadCrashes[spec.Version].Count > 0:
			commands = append(commands, quarantine.ClearCommand(quarantine.LoadIdentity(spec.Version)))
		}
	}
	return commands
}
