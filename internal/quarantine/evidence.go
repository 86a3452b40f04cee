package quarantine

import (
	"slices"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// QuarantineThreshold is how many machines have to have ended under a request before no
// router sends it on. One crash convicts nobody: everything that ran on the machine was
// there. A second one under the same request is chance only where companions of the culprit
// met it again, and one whole run clears them.
const QuarantineThreshold = 2

// RetryAfter is when the caller of a quarantined request is told to come back. Only an operator
// lets the request run again, so soon is of no use.
const RetryAfter = 10 * time.Minute

// AddCrash returns the record of a request after a machine has ended under it, and whether
// that is news. Held is nil for a request without a record.
func AddCrash(held *v1.SuspectSpec, machine string, at time.Time) (*v1.SuspectSpec, bool) {
	next := &v1.SuspectSpec{}
	if held != nil {
		*next = *held
	}
	if len(next.Machines) >= v1.MaxCrashesRecorded || slices.Contains(next.Machines, machine) {
		return held, false
	}
	next.Machines = append(slices.Clone(next.Machines), machine)
	next.Quarantined = next.Quarantined || len(next.Machines) >= QuarantineThreshold
	next.LastCrash = at
	return next, true
}

// Evictions returns which of the records are given up so that at most so many are left: those
// with the fewest crashes, of these the oldest. Records come oldest first. Whoever changes a
// request a little each time makes records with one crash, and drives out only such.
func Evictions(records []*v1.SuspectSpec, most int) []int {
	if len(records) <= most {
		return nil
	}
	positions := make([]int, len(records))
	for position := range positions {
		positions[position] = position
	}
	slices.SortStableFunc(positions, func(left, right int) int {
		return len(records[left].Machines) - len(records[right].Machines)
	})
	return positions[:len(records)-most]
}
