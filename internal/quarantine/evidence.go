package quarantine

import (
	"slices"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// RetryAfter is the Retry-After of quarantined requests, which only an operator releases.
const RetryAfter = 10 * time.Minute

// AddCrash returns the record of a request, or of a prompt part if part is not empty, after a crash of a
// machine, and whether it changed. current is nil if there is no record.
func AddCrash(current *v1.SuspectSpec, part, machine string, at time.Time) (*v1.SuspectSpec, bool) {
	updated := &v1.SuspectSpec{PromptPart: part}
	if current != nil {
		*updated = *current
	}
	if len(updated.Machines) >= v1.MaxRecordedCrashes || slices.Contains(updated.Machines, machine) {
		return current, false
	}
	updated.Machines = append(slices.Clone(updated.Machines), machine)
	updated.Quarantined = updated.Quarantined || len(updated.Machines) >= threshold(part)
	updated.LastCrash = at
	return updated, true
}

// Evictions returns the indexes of the records to evict so that at most limit remain: those with
// the fewest crashes first, then the oldest. records must be sorted by age, oldest first. A caller
// that varies its requests creates records with one crash, and evicts only such records.
func Evictions(records []*v1.SuspectSpec, limit int) []int {
	if len(records) <= limit {
		return nil
	}
	indexes := make([]int, len(records))
	for index := range indexes {
		indexes[index] = index
	}
	slices.SortStableFunc(indexes, func(left, right int) int {
		return len(records[left].Machines) - len(records[right].Machines)
	})
	return indexes[:len(records)-limit]
}
