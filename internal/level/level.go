// Package level defines the cluster's feature levels, which keep members of two releases from
// diverging during a rolling upgrade.
//
// Additions to commands, snapshots and objects are written only once the log has activated their
// level. The leader raises it when all members and connected nodes support it. Processes that don't
// support the active level are rejected, so a release can be rolled back until its level is active.
package level

// Level is a feature level. The active level of a cluster never decreases.
type Level uint32

const (
	// None is the level of releases without feature levels.
	None Level = 0
	// MachineStarts adds start times to the records of machines; a machine that restarts under the
	// same id gets a new record.
	MachineStarts Level = 1
	// MachineSoftware adds the version of their software to the records of machines.
	MachineSoftware Level = 2
	// PromptParts adds records of prompt parts to the records of suspect requests.
	PromptParts Level = 3
	// Supported is the highest level that this build supports.
	Supported = PromptParts
)

// Next returns the highest level that this build and all other processes support; raised reports
// whether it is above the active level.
func Next(active Level, supported []Level) (next Level, raised bool) {
	next = Supported
	for _, other := range supported {
		next = min(next, other)
	}
	return next, next > active
}
