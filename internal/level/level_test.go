package level

import "testing"

// TestNext: the level is what everybody understands, and never above what this build does.
func TestNext(t *testing.T) {
	tests := []struct {
		name       string
		inForce    Level
		understood []Level
		next       Level
		raised     bool
	}{
		{"alone", None, nil, Supported, true},
		{"all understand it", None, []Level{Supported, Supported}, Supported, true},
		{"one of an earlier release", None, []Level{Supported, None, Supported}, None, false},
		{"some of a later release", None, []Level{Supported + 3, Supported}, Supported, true},
		{"in force already", Supported, []Level{Supported}, Supported, false},
		{"an earlier release came back", Supported, []Level{None}, None, false},
	}
	for _, test := range tests {
		if next, raised := Next(test.inForce, test.understood); next != test.next || raised != test.raised {
			t.Errorf("%s: level %d, raised %t", test.name, next, raised)
		}
	}
}
