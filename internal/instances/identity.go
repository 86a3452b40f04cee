package instances

import (
	"strconv"
	"strings"

	v1 "github.com/weldline/weldline/api/v1"
)

// startMark stands between the id of a machine that started again under it and the time of that
// start, in the name of its record.
const startMark = ".start-"

// RecordLookup finds the stored record of a machine by name; nil if there is none.
type RecordLookup func(name string) *v1.MachineSpec

// IDOf returns the id by which a machine calls itself, from the name of its record.
func IDOf(name string) string {
	id, _, _ := strings.Cut(name, startMark)
	return id
}

// IsValidID reports whether an id can be told from names of records.
func IsValidID(id string) bool {
	return id != "" && !strings.Contains(id, startMark)
}

// PrecedesActiveStart reports whether a start is before that of a record under the same id whose machine is in
// use, by the phase of that.
func PrecedesActiveStart(startedMs int64, held *v1.MachineSpec, phase v1.MachinePhase) bool {
	return startedBefore(startedMs, held) && (phase == v1.MachineLive || phase == v1.MachineLeaving)
}

func startedBefore(startedMs int64, held *v1.MachineSpec) bool {
	return startedMs != 0 && startedMs < held.StartedMs
}

// nameOfStart is the name of the record of a start under an id that another start has used.
func nameOfStart(id string, startedMs int64) string {
	return id + startMark + strconv.FormatInt(startedMs, 10)
}

// NameOf returns the name of a machine's record. The first start under an id has the id for its
// name, each later one a name of its own: whatever is kept by name (replicas, orders, grants,
// evidence of crashes, warming, connections) then belongs to one start. A record that does not
// tell when its machine started is that of whichever start is heard of first.
func NameOf(id string, startedMs int64, records RecordLookup) string {
	if startedMs == 0 {
		return id
	}
	own := nameOfStart(id, startedMs)
	if records(own) != nil {
		return own
	}
	if held := records(id); held != nil && held.StartedMs != 0 && held.StartedMs != startedMs {
		return own
	}
	return id
}
