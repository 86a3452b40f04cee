package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	cutStreamsDuration = 5 * time.Second
	maxCutStreamsPause = 3 * time.Second
)

// NewStreamPlan draws machines that end some of their streams within an event, two at a time. It has a random
// source of its own, so that the other faults of a seed don't depend on it.
func NewStreamPlan(seed uint64, layout Layout, span time.Duration) []Fault {
	faults := faultSeries{random: rand.New(rand.NewPCG(seed, 5)), layout: layout, span: span}
	cut := func() []Fault { return faults.ofMachines(FaultCutStreams, cutStreamsDuration, maxCutStreamsPause) }
	return MergePlans(cut(), cut())
}

// Stream is a resumable stream that began, as its client received it over one or more requests.
type Stream struct {
	// Root is the attempt that brought its first event.
	Root string
	// Versions are the versions of the machines' software whose events it holds.
	Versions []string
	// TakenUp is how often the client took it up.
	TakenUp  int
	Finished bool
}

// AddVersion adds a version whose event was received.
func (s *Stream) AddVersion(software string) {
	if !slices.Contains(s.Versions, software) {
		s.Versions = append(s.Versions, software)
	}
}

// mixedStreams finds streams that hold events of several versions of the machines' software.
func mixedStreams(history *History, _ Bounds, _ []Disturbance) []string {
	var found []string
	for _, stream := range history.Streams {
		if len(stream.Versions) > 1 {
			found = append(found, fmt.Sprintf("the stream that %s began holds events of %s", stream.Root, strings.Join(stream.Versions, ", ")))
		}
	}
	return found
}
