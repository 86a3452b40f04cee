package soak

import (
	"fmt"
	"testing"
	"time"
)

// Harmful requests of addPartCrashes crash machines from firstPartCrash on, a second apart, and come until
// lastHarmfulRequest.
const (
	firstPartCrash     = 20 * time.Second
	lastHarmfulRequest = 60 * time.Second
)

// addPartCrashes adds crashes under a prompt part, and arrivals of requests with the part after all routers must know of
// the crash at which the part has to be refused.
func addPartCrashes(history *History, crashes, late int) {
	for number := range crashes {
		history.PartCrashes = append(history.PartCrashes, PartCrash{Part: "p", Machine: fmt.Sprintf("m%d", number), At: firstPartCrash + time.Duration(number)*time.Second})
	}
	known := firstPartCrash + (partCrashLimit-1)*time.Second + ContactTime
	for number := range late {
		id := fmt.Sprintf("harmful-%d", number)
		history.Requests[id] = Request{ID: id, Router: "r1", HarmfulPart: "p", HasPrompt: true}
		history.Arrivals = append(history.Arrivals, Arrival{Request: id, Machine: "m", At: known + time.Millisecond})
	}
	history.Requests["last"] = Request{ID: "last", Router: "r1", HarmfulPart: "p", HasPrompt: true, Sent: lastHarmfulRequest}
}

// addCompanions adds sound requests from a time on.
func addCompanions(history *History, start time.Duration, begun bool) {
	for number := range minCompanions {
		id := fmt.Sprintf("sound-%s-%d", start, number)
		history.Requests[id] = Request{ID: id, Router: "r1", HasPrompt: true, Sent: start + time.Duration(number)*time.Millisecond}
		history.Answers = append(history.Answers, Answer{Request: id, Outcome: OutcomeUnknown, Begun: begun})
	}
}

func TestLateHarmfulRequests(t *testing.T) {
	for _, test := range []struct {
		name          string
		crashes, late int
		disturbances  []Disturbance
		found         int
	}{
		{"as many as may come late", partCrashLimit, maxLateParts, nil, 0},
		{"one more", partCrashLimit, maxLateParts + 1, nil, 1},
		{"before the part has to be refused", partCrashLimit - 1, maxLateParts + 1, nil, 0},
		{"through a router that was disturbed", partCrashLimit, maxLateParts + 1, []Disturbance{{Start: 25 * time.Second, End: 26500 * time.Millisecond, Node: "r1"}}, 0},
		{"through a router whose requests were disturbed", partCrashLimit, maxLateParts + 1, []Disturbance{{Start: 25 * time.Second, End: 26500 * time.Millisecond, Node: "r1", RequestsOnly: true}}, 1},
	} {
		history := NewHistory()
		addPartCrashes(history, test.crashes, test.late)
		if found := harmfulArrivals(history, testBounds, test.disturbances); len(found) != test.found {
			t.Errorf("%s: found %v", test.name, found)
		}
	}
}

func TestCompanionsOfHarmfulParts(t *testing.T) {
	for _, test := range []struct {
		name  string
		begun bool
		start time.Duration
		found int
	}{
		{"begin as often as before", true, 40 * time.Second, 0},
		{"do not begin", false, 40 * time.Second, 1},
		{"do not begin, but routers may not know the part yet", false, firstPartCrash + ContactTime, 0},
		{"do not begin after the last harmful request", false, lastHarmfulRequest + time.Second, 0},
	} {
		history := NewHistory()
		addPartCrashes(history, partCrashLimit, 0)
		addCompanions(history, 0, true)
		addCompanions(history, test.start, test.begun)
		if found := unservedCompanions(history, testBounds, nil); len(found) != test.found {
			t.Errorf("%s: found %v", test.name, found)
		}
	}
}
