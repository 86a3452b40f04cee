package nodeview

import (
	"slices"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/quarantine"
)

func (v *View) addSuspect(name string, suspect *v1.SuspectSpec) {
	if identity, err := quarantine.ParseIdentity(name); err == nil {
		v.suspects[identity] = suspect
	} // Other names were chosen by an operator and identify no request.
}

func (v *View) removeSuspect(name string) {
	if identity, err := quarantine.ParseIdentity(name); err == nil {
		delete(v.suspects, identity)
	}
}

// HasSuspects reports whether there are any records of crashes.
func (v *View) HasSuspects() bool {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return len(v.suspects) > 0
}

// CrashesOfOtherParts returns the crashed machines of each quarantined prompt part that is not one of the given.
func (v *View) CrashesOfOtherParts(parts []string) [][]string {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	var crashes [][]string
	for _, suspect := range v.suspects {
		if suspect.Quarantined && suspect.PromptPart != "" && !slices.Contains(parts, suspect.PromptPart) {
			crashes = append(crashes, suspect.Machines)
		}
	}
	return crashes
}

// Suspect returns the record of crashes under a request or prompt part, or nil.
func (v *View) Suspect(identity quarantine.Identity) *v1.SuspectSpec {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.suspects[identity]
}

// InstanceName returns a name for the engine incarnation that a replica was decided for; later
// incarnations don't run the replica. If the replica has no record, it returns the machine's name.
func (v *View) InstanceName(machine, replica string) string {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	record, found := v.replicasOn[machine][replica]
	if !found {
		return machine
	}
	return quarantine.InstanceName(machine, record.Spec.Incarnation)
}

// IsReplaced reports whether another live machine has the endpoint of a machine.
func (v *View) IsReplaced(name, endpoint string) bool {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	for other, machine := range v.machines {
		if other != name && machine.Spec.Endpoint == endpoint && machine.Status.Phase == v1.MachineLive {
			return true
		}
	}
	return false
}
