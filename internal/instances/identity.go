package instances

import (
	"strconv"
	"strings"

	v1 "github.com/weldline/weldline/api/v1"
)

// startSeparator separates the machine's ID from the start time in the names of records.
const startSeparator = ".start-"

// RecordLookup returns the machine record of a name, or nil.
type RecordLookup func(name string) *v1.MachineSpec

// IDOf returns a machine's ID from the name of its record.
func IDOf(name string) string {
	id, _, _ := strings.Cut(name, startSeparator)
	return id
}

// IsValidID reports whether an ID can be distinguished from the names of records.
func IsValidID(id string) bool {
	return id != "" && !strings.Contains(id, startSeparator)
}

// PrecedesActiveStart reports whether a start is earlier than that of a record with the same ID whose
// machine is still in use.
func PrecedesActiveStart(startedMs int64, record *v1.MachineSpec, phase v1.MachinePhase) bool {
	return startedBefore(startedMs, record) && (phase == v1.MachineLive || phase == v1.MachineLeaving)
}

func startedBefore(startedMs int64, record *v1.MachineSpec) bool {
	return startedMs != 0 && startedMs < record.StartedMs
}

// startName returns the name of a record of a later start of a machine.
func startName(id string, startedMs int64) string {
	return id + startSeparator + strconv.FormatInt(startedMs, 10)
}

// NameOf returns the name of a machine's record. The first start has the ID as its name, each later
// start a name of its own, so that everything stored by name (replicas, orders, grants, crash records,
// warm-up state, connections) belongs to one start. A record without a start time belongs to the first
// start that reports.
func NameOf(id string, startedMs int64, lookup RecordLookup) string {
	if startedMs == 0 {
		return id
	}
	startRecord := startName(id, startedMs)
	if lookup(startRecord) != nil {
		return startRecord
	}
	if record := lookup(id); record != nil && record.StartedMs != 0 && record.StartedMs != startedMs {
		return startRecord
	}
	return id
}
