package warming

import (
	"reflect"
	"testing"
	"time"
)

const termStart = 10 * time.Second

func reported(received, remaining time.Duration) Machine {
	return Machine{Zone: "z", DeclaredWarming: true, Report: &Report{Received: received, Remaining: remaining}}
}

// TestTrackerTrustsOnlyCurrentReports: the status of a machine is known only from a report of this
// term, after the end of its zone's drain.
func TestTrackerTrustsOnlyCurrentReports(t *testing.T) {
	for _, test := range []struct {
		name    string
		machine Machine
		drains  map[string]Drain
		units   uint32
	}{
		{"said nothing", Machine{DeclaredWarming: true}, nil, UnitsUnknown},
		{"said nothing, and can't warm up", Machine{}, nil, 0},
		{"warm", reported(termStart, 0), nil, 0},
		{"warms up", reported(termStart, 3*time.Second), nil, 20},
		{"warms up for a part of a unit", reported(termStart, 1001*time.Millisecond), nil, 1},
		{"warms up for very long", reported(termStart, time.Hour), nil, UnitsUnknown - 1},
		{"was warm by now", reported(termStart, time.Second), nil, 0},
		{"told the leader before", reported(termStart-1, 0), nil, UnitsUnknown},
		{"lost", Machine{DeclaredWarming: true, Lost: true, Report: &Report{Received: termStart}}, nil, UnitsUnknown},
		{"drained", reported(termStart+time.Second, 0), map[string]Drain{"z": {Revision: 4, Drained: true}}, UnitsUnknown},
		{"heard before the drain's end was seen", reported(termStart+999*time.Millisecond, 0), map[string]Drain{"z": {Revision: 5}}, UnitsUnknown},
		{"heard since", reported(termStart+time.Second, 0), map[string]Drain{"z": {Revision: 5}}, 0},
		{"another zone's drain", reported(termStart, 0), map[string]Drain{"y": {Revision: 5}}, 0},
	} {
		tracker := NewTracker(termStart)
		now := termStart + time.Second
		tracker.Update(now, test.drains, map[string]Machine{"m": test.machine})
		if units := tracker.DigestUnits(now)["m"]; units != test.units {
			t.Errorf("%s: got %d units, want %d", test.name, units, test.units)
		}
	}
}

// TestTrackerReportsTransitions: transitions are urgent, and only reported ones are listed; the
// first reports to a new leader are not.
func TestTrackerReportsTransitions(t *testing.T) {
	tracker := NewTracker(termStart)
	for _, step := range []struct {
		name    string
		after   time.Duration
		machine Machine
		want    Transitions
	}{
		{"not heard yet", 0, Machine{DeclaredWarming: true}, Transitions{}},
		{"warm", 0, reported(termStart, 0), Transitions{Urgent: true}},
		{"still warm", time.Second, reported(termStart+time.Second, 0), Transitions{}},
		{
			"begins to warm up", 2 * time.Second, reported(termStart+2*time.Second, time.Second),
			Transitions{Changes: []Change{{Machine: "m", Remaining: time.Second}}, LeftWarm: []string{"m"}, Urgent: true},
		},
		{"is warm", 3 * time.Second, reported(termStart+2*time.Second, time.Second), Transitions{Changes: []Change{{Machine: "m"}}, Urgent: true}},
		{
			"lost", 4 * time.Second,
			Machine{DeclaredWarming: true, Lost: true},
			Transitions{LeftWarm: []string{"m"}, Urgent: true},
		},
	} {
		got := tracker.Update(termStart+step.after, nil, map[string]Machine{"m": step.machine})
		if !reflect.DeepEqual(got, step.want) {
			t.Errorf("%s: got %+v, want %+v", step.name, got, step.want)
		}
	}
}
