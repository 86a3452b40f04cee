package overload

import (
	"testing"
	"time"
)

func TestDutyFollowsDelay(t *testing.T) {
	cycle := DutyCycle{}
	if !cycle.AcceptsAll() {
		t.Error("refuses connections before any delay")
	}
	if accept := cycle.Adapt(2 * targetDelay); accept != cyclePeriod/2 || cycle.Refused() != cyclePeriod/2 {
		t.Errorf("accepts for %s and refuses for %s after twice the normal delay", accept, cycle.Refused())
	}
	if accept := cycle.Adapt(time.Minute); accept < cyclePeriod*14/100 {
		t.Errorf("accepts for %s only after one long delay", accept)
	}
	for range 20 {
		cycle.Adapt(time.Minute)
	}
	if accept := cycle.Adapt(time.Minute); accept <= 0 {
		t.Error("accepts nothing any more")
	}
	cycles := 0
	for ; !cycle.AcceptsAll() && cycles < 100; cycles++ {
		cycle.Adapt(targetDelay)
	}
	if cycles == 100 {
		t.Error("does not accept all again after the overload")
	}
}
