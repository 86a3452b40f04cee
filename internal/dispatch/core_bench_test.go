package dispatch

import (
	"fmt"
	"testing"
	"time"
)

// benchmarkRequest submits and releases a request while the router knows a number of models. The
// cost must not depend on that number.
func benchmarkRequest(b *testing.B, models int) {
	scheduler := New(Config{MaxWaiting: 4096})
	now := time.Unix(1000, 0)
	var targets []Target
	for number := range models {
		targets = append(targets, Target{
			Replica: fmt.Sprintf("replica-%d", number), Version: fmt.Sprintf("model-%d", number), Machine: "machine", MaxConcurrent: 16,
		})
	}
	scheduler.SetTargets(now, targets)
	id := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		outcome := scheduler.Submit(now, &Request{ID: id, Version: "model-7", Arrived: now, Deadline: now.Add(time.Minute)})
		scheduler.Release(now, outcome.Grants[0], ResultOK)
	}
}

func BenchmarkRequest10Models(b *testing.B)  { benchmarkRequest(b, 10) }
func BenchmarkRequest890Models(b *testing.B) { benchmarkRequest(b, 890) }
