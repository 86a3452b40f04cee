package warming

import (
	"maps"
	"math"
	"time"
)

const (
	// DigestUnit is what the numbers in digests count.
	DigestUnit = 100 * time.Millisecond
	// UnitsUnknown stands in a digest for a machine that has not said whether it warms up.
	UnitsUnknown = math.MaxUint8
	// failureDoubt is for how long after a connection that did not come about no digest vouches
	// for a machine: it may have ended, and be back before the leader hears of it. Machines
	// report about once a second.
	failureDoubt = 1500 * time.Millisecond
)

// UncoveredRevision is the revision of a change that no digest can know of.
const UncoveredRevision = math.MaxUint64

// ToUnits returns a time as a digest carries it, rounded up.
func ToUnits(remaining time.Duration) uint8 {
	units := (max(0, remaining) + DigestUnit - 1) / DigestUnit
	return uint8(min(units, UnitsUnknown-1))
}

// Digest is what a leader's digest says of machines that warm up.
type Digest struct {
	Term, Revision uint64
	// Machines are all that the leader knows of, and Units what it says of each of them, in the
	// same order; those behind the end are warm.
	Machines []string
	Units    []byte
}

// State is what a router knows of machines that warm up. It is not safe for concurrent use.
//
// Whatever puts a machine in doubt leaves a trace in the log: its record, a change of its phase,
// the end of its zone's drain. A machine is warm only if a digest that knew of the newest of these
// has said so. Where no digest comes, what was said last holds on, lowered by time: a router that
// is cut off goes on serving with the machines that it knows to be warm.
type State struct {
	statements map[string]statement
	// failed is when a connection to a machine last did not come about, where that was lately.
	failed map[string]time.Duration
}

// statement is what a digest said of a machine.
type statement struct {
	term, revision uint64
	// until is when the machine is warm.
	until time.Duration
	// unsaid is set where nobody vouches for the machine.
	unsaid bool
}

// NewState returns the state of a router that has just started.
func NewState() *State {
	return &State{statements: map[string]statement{}, failed: map[string]time.Duration{}}
}

// ApplyDigest takes what a digest says, which came at now; digests must come in order.
//
// A leader that has just begun has heard of no machine. Where it says so, a statement of an
// earlier term holds on: without that, a change of leader would stop a whole fleet for as long
// as machines take to report. What has put a machine in doubt since the statement is in the log;
// and one that begins to warm up by itself finds no other leader to report to than the new one.
func (s *State) ApplyDigest(now time.Duration, digest Digest) {
	s.forgetFailures(now)
	next := make(map[string]statement, len(digest.Machines))
	for position, machine := range digest.Machines {
		said := statement{term: digest.Term, revision: digest.Revision, until: now}
		if position < len(digest.Units) {
			said.unsaid = digest.Units[position] == UnitsUnknown
			said.until = now + time.Duration(digest.Units[position])*DigestUnit
		}
		if held, known := s.statements[machine]; said.unsaid && known && held.term < digest.Term {
			said = held
		}
		if _, failed := s.failed[machine]; failed {
			said.unsaid = true
		}
		next[machine] = said
	}
	s.statements = next
}

// forgetFailures drops the failures that are too old to keep a digest from vouching for their
// machines, which may be gone by now.
func (s *State) forgetFailures(now time.Duration) {
	maps.DeleteFunc(s.failed, func(_ string, failed time.Duration) bool { return now-failed >= failureDoubt })
}

// RecordFailure notes that a connection to a machine did not come about.
func (s *State) RecordFailure(now time.Duration, machine string) {
	s.failed[machine] = now
	said := s.statements[machine]
	said.unsaid = true
	s.statements[machine] = said
}

// IsWarming reports whether a machine is to be taken to warm up. Changed is the revision of the newest
// change in the log that puts it in doubt.
func (s *State) IsWarming(now time.Duration, machine string, changed uint64) bool {
	said, known := s.statements[machine]
	return !known || said.unsaid || said.revision < changed || now < said.until
}
