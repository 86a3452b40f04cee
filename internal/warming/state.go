package warming

import (
	"maps"
	"math"
	"time"
)

const (
	// DigestUnit is the unit of the remaining times in digests.
	DigestUnit = 100 * time.Millisecond
	// UnitsUnknown is the digest value of a machine with unknown status.
	UnitsUnknown = math.MaxUint8
	// failureHoldTime is how long after a failed connection digests are ignored for a machine,
	// which may have restarted before the leader noticed. It exceeds the machines' report
	// interval.
	failureHoldTime = 1500 * time.Millisecond
)

// UncoveredRevision is the revision of a change that no digest covers.
const UncoveredRevision = math.MaxUint64

// ToUnits converts a time to digest units, rounded up.
func ToUnits(remaining time.Duration) uint8 {
	units := (max(0, remaining) + DigestUnit - 1) / DigestUnit
	return uint8(min(units, UnitsUnknown-1))
}

// Digest is the part of a leader's digest about machines that are warming up.
type Digest struct {
	Term, Revision uint64
	// Machines are all machines known to the leader, and Units their remaining times in the same
	// order. Machines beyond the end of Units are warm.
	Machines []string
	Units    []byte
}

// State is a router's knowledge of machines that are warming up. It is not safe for concurrent
// use.
//
// Whatever may require a machine to warm up again leaves a revision in the log: its registration,
// a change of its phase, the end of its zone's drain. A machine is warm only if a digest that
// covers the newest of these says so. Without digests the last statements stay in force, so that a
// partitioned router keeps serving with warm machines.
type State struct {
	statements map[string]statement
	// failed is the time of the last recent connection failure, by machine.
	failed map[string]time.Duration
}

// statement is what a digest states about a machine.
type statement struct {
	term, revision uint64
	warmAt         time.Duration
	// unknown is set if the machine's status is unknown to the leader.
	unknown bool
}

// NewState returns the state of a newly started router.
func NewState() *State {
	return &State{statements: map[string]statement{}, failed: map[string]time.Duration{}}
}

// ApplyDigest applies a digest received now. Digests must be applied in order.
//
// A new leader has received no reports yet. Where its digest states an unknown status, the
// statement of an earlier term stays in force; otherwise each change of the leader would restrict
// the whole fleet until machines report.
func (s *State) ApplyDigest(now time.Duration, digest Digest) {
	s.pruneFailures(now)
	next := make(map[string]statement, len(digest.Machines))
	for position, machine := range digest.Machines {
		stated := statement{term: digest.Term, revision: digest.Revision, warmAt: now}
		if position < len(digest.Units) {
			stated.unknown = digest.Units[position] == UnitsUnknown
			stated.warmAt = now + time.Duration(digest.Units[position])*DigestUnit
		}
		if previous, known := s.statements[machine]; stated.unknown && known && previous.term < digest.Term {
			stated = previous
		}
		if _, failed := s.failed[machine]; failed {
			stated.unknown = true
		}
		next[machine] = stated
	}
	s.statements = next
}

func (s *State) pruneFailures(now time.Duration) {
	maps.DeleteFunc(s.failed, func(_ string, failed time.Duration) bool { return now-failed >= failureHoldTime })
}

// RecordFailure records a failed connection to a machine.
func (s *State) RecordFailure(now time.Duration, machine string) {
	s.failed[machine] = now
	stated := s.statements[machine]
	stated.unknown = true
	s.statements[machine] = stated
}

// IsWarming reports whether a machine must be taken to be warming up. changed is the revision of
// the newest change in the log that may require it to warm up again.
func (s *State) IsWarming(now time.Duration, machine string, changed uint64) bool {
	stated, known := s.statements[machine]
	return !known || stated.unknown || stated.revision < changed || now < stated.warmAt
}
