package soak

import "testing"

func TestMisreadUploads(t *testing.T) {
	for _, test := range []struct {
		name     string
		arrival  string
		statuses []int
		found    int
	}{
		{"refused", "q1", []int{404}, 0},
		{"connection broken", "q1", nil, 0},
		{"a request in the body was run", EmbeddedPrefix + "1", []int{404}, 1},
		{"more responses than requests", "q1", []int{404, 200}, 1},
		{"empty success", "q1", []int{200}, 1},
	} {
		history := NewHistory()
		history.Arrivals = append(history.Arrivals, Arrival{Request: test.arrival})
		history.Uploads = append(history.Uploads, Upload{Statuses: test.statuses})
		if found := misreadUploads(history, testBounds, nil); len(found) != test.found {
			t.Errorf("%s: found %v", test.name, found)
		}
	}
}
