package soak

import (
	"testing"
	"time"
)

func TestUnservedCrowds(t *testing.T) {
	for _, test := range []struct {
		name           string
		served, unread int
		disturbances   []Disturbance
		found          int
	}{
		{"as many as before", 40, 0, nil, 0},
		{"three quarters", 30, 0, nil, 0},
		{"fewer", 29, 0, nil, 1},
		{"fewer, and the others were not read", 20, 20, nil, 0},
		{"fewer, through a router that was disturbed", 0, 0, []Disturbance{{Start: 29 * time.Second, End: 40 * time.Second, Node: "r1"}}, 0},
		{"fewer, while machines were disturbed", 0, 0, []Disturbance{{Start: 29 * time.Second, End: 40 * time.Second, RequestsOnly: true}}, 0},
	} {
		history := NewHistory()
		for number := range 40 {
			history.CrowdCalls = append(history.CrowdCalls, CrowdCall{Crowd: 1, Router: "r1", Sent: 20 * time.Second, Served: true})
			call := CrowdCall{Crowd: 1, Gathered: true, Router: "r1", Sent: 30 * time.Second, Served: number < test.served}
			if number >= 40-test.unread {
				call.Router = ""
			}
			history.CrowdCalls = append(history.CrowdCalls, call)
		}
		if found := unservedCrowds(history, testBounds, test.disturbances); len(found) != test.found {
			t.Errorf("%s: found %v", test.name, found)
		}
	}
}
