package soak

import (
	"slices"
	"testing"
	"time"
)

// TestStreamPlan checks that machines that cut streams off end within the span, also several at a time.
func TestStreamPlan(t *testing.T) {
	layout := Layout{Machines: 4}
	const span = 30 * time.Second
	overlaps := false
	for seed := range uint64(50) {
		plan := NewStreamPlan(seed, layout, span)
		if len(plan) == 0 || !slices.Equal(plan, NewStreamPlan(seed, layout, span)) {
			t.Fatalf("seed %d draws %v", seed, plan)
		}
		for position, each := range plan {
			if each.Kind != FaultCutStreams || each.At < faultFreeStart || each.At+each.Duration+restartDuration > span || each.Machine >= layout.Machines {
				t.Errorf("seed %d: %s", seed, each)
			}
			overlaps = overlaps || position > 0 && each.At < plan[position-1].At+plan[position-1].Duration
		}
	}
	if !overlaps {
		t.Error("no two machines cut streams off at once")
	}
}

func TestMixedStreamsAreFound(t *testing.T) {
	history := &History{Streams: []Stream{{Root: "a", TakenUp: 2}, {Root: "b", TakenUp: 1}, {Root: "c"}}}
	for _, software := range []string{"v1", "v1", "v2"} {
		history.Streams[1].AddVersion(software)
	}
	history.Streams[0].AddVersion("v1")
	found := mixedStreams(history, Bounds{}, nil)
	if len(found) != 1 || found[0] != "the stream that b began holds events of v1, v2" {
		t.Errorf("found %q", found)
	}
}
