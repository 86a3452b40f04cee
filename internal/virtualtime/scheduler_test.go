package virtualtime

import (
	"slices"
	"testing"
	"time"
)

// TestOrder runs events by time, then by order of scheduling, those included
// that events schedule.
func TestOrder(t *testing.T) {
	var scheduler Scheduler
	var ran []string
	note := func(name string) func() {
		return func() { ran = append(ran, name+" at "+scheduler.Now().String()) }
	}
	scheduler.After(2*time.Second, note("c"))
	scheduler.After(time.Second, note("a"))
	scheduler.After(time.Second, func() {
		note("b")()
		scheduler.After(time.Second, note("d"))
		scheduler.After(-time.Second, note("at once"))
	})
	scheduler.After(time.Hour, note("too late"))
	scheduler.RunUntil(3 * time.Second)
	wanted := []string{"a at 1s", "b at 1s", "at once at 1s", "c at 2s", "d at 2s"}
	if !slices.Equal(ran, wanted) || scheduler.Now() != 3*time.Second || scheduler.EventsRun() != 5 {
		t.Errorf("%q at %s, %d ran", ran, scheduler.Now(), scheduler.EventsRun())
	}
}
