package warming

import (
	"reflect"
	"testing"
	"time"
)

const beginning = 10 * time.Second

func reported(received, remaining time.Duration) Machine {
	return Machine{Zone: "z", DeclaredWarming: true, Report: &Report{Received: received, Remaining: remaining}}
}

// TestWatchVouchesByReportsOnly: of a machine that could warm up, the leader says what the machine
// said itself in this term and since its zone's drain ended, lowered by time.
func TestWatchVouchesByReportsOnly(t *testing.T) {
	for _, test := range []struct {
		name    string
		machine Machine
		drains  map[string]Drain
		units   uint32
	}{
		{"said nothing", Machine{DeclaredWarming: true}, nil, UnitsUnknown},
		{"said nothing, and can't warm up", Machine{}, nil, 0},
		{"warm", reported(beginning, 0), nil, 0},
		{"warms up", reported(beginning, 3*time.Second), nil, 20},
		{"warms up for a part of a unit", reported(beginning, 1001*time.Millisecond), nil, 1},
		{"warms up for very long", reported(beginning, time.Hour), nil, UnitsUnknown - 1},
		{"was warm by now", reported(beginning, time.Second), nil, 0},
		{"told the leader before", reported(beginning-1, 0), nil, UnitsUnknown},
		{"lost", Machine{DeclaredWarming: true, Lost: true, Report: &Report{Received: beginning}}, nil, UnitsUnknown},
		{"drained", reported(beginning+time.Second, 0), map[string]Drain{"z": {Revision: 4, Drained: true}}, UnitsUnknown},
		{"heard before the drain's end was seen", reported(beginning+999*time.Millisecond, 0), map[string]Drain{"z": {Revision: 5}}, UnitsUnknown},
		{"heard since", reported(beginning+time.Second, 0), map[string]Drain{"z": {Revision: 5}}, 0},
		{"another zone's drain", reported(beginning, 0), map[string]Drain{"y": {Revision: 5}}, 0},
	} {
		watch := NewTracker(beginning)
		now := beginning + time.Second
		watch.Update(now, test.drains, map[string]Machine{"m": test.machine})
		if units := watch.DigestUnits(now)["m"]; units != test.units {
			t.Errorf("%s: %d units, wanted %d", test.name, units, test.units)
		}
	}
}

// TestWatchTellsOfChanges: routers hear at once of a machine that begins to warm up or is warm, and
// the log tells of those that said so; a new leader that hears of a warm fleet logs nothing.
func TestWatchTellsOfChanges(t *testing.T) {
	watch := NewTracker(beginning)
	for _, step := range []struct {
		name    string
		after   time.Duration
		machine Machine
		news    Transitions
	}{
		{"not heard yet", 0, Machine{DeclaredWarming: true}, Transitions{}},
		{"warm", 0, reported(beginning, 0), Transitions{Urgent: true}},
		{"still warm", time.Second, reported(beginning+time.Second, 0), Transitions{}},
		{
			"begins to warm up", 2 * time.Second, reported(beginning+2*time.Second, time.Second),
			Transitions{Changes: []Change{{Machine: "m", Remaining: time.Second}}, LeftWarm: []string{"m"}, Urgent: true},
		},
		{"is warm", 3 * time.Second, reported(beginning+2*time.Second, time.Second), Transitions{Changes: []Change{{Machine: "m"}}, Urgent: true}},
		{
			"lost", 4 * time.Second,
			Machine{DeclaredWarming: true, Lost: true},
			Transitions{LeftWarm: []string{"m"}, Urgent: true},
		},
	} {
		news := watch.Update(beginning+step.after, nil, map[string]Machine{"m": step.machine})
		if !reflect.DeepEqual(news, step.news) {
			t.Errorf("%s: %+v, wanted %+v", step.name, news, step.news)
		}
	}
}
