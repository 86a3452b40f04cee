package level

import "testing"

func TestNext(t *testing.T) {
	tests := []struct {
		name      string
		active    Level
		supported []Level
		next      Level
		raised    bool
	}{
		{"alone", None, nil, Supported, true},
		{"all understand it", None, []Level{Supported, Supported}, Supported, true},
		{"one of an earlier release", None, []Level{Supported, None, Supported}, None, false},
		{"some of a later release", None, []Level{Supported + 3, Supported}, Supported, true},
		{"in force already", Supported, []Level{Supported}, Supported, false},
		{"an earlier release came back", Supported, []Level{None}, None, false},
	}
	for _, test := range tests {
		if next, raised := Next(test.active, test.supported); next != test.next || raised != test.raised {
			t.Errorf("%s: level %d, raised %t", test.name, next, raised)
		}
	}
}
