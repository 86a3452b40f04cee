package virtualtime

import (
	"slices"
	"testing"
	"time"
)

// TestOrder checks that events run by time, then by order of scheduling, including
// events that other events schedule.
func TestOrder(t *testing.T) {
	var scheduler Scheduler
	var ran []string
	record := func(name string) func() {
		return func() { ran = append(ran, name+" at "+scheduler.Now().String()) }
	}
	scheduler.After(2*time.Second, record("c"))
	scheduler.After(time.Second, record("a"))
	scheduler.After(time.Second, func() {
		record("b")()
		scheduler.After(time.Second, record("d"))
		scheduler.After(-time.Second, record("immediate"))
	})
	scheduler.After(time.Hour, record("after the end"))
	scheduler.RunUntil(3 * time.Second)
	want := []string{"a at 1s", "b at 1s", "immediate at 1s", "c at 2s", "d at 2s"}
	if !slices.Equal(ran, want) || scheduler.Now() != 3*time.Second || scheduler.EventsRun() != 5 {
		t.Errorf("%q at %s, %d ran", ran, scheduler.Now(), scheduler.EventsRun())
	}
}
