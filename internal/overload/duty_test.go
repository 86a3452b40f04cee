package overload

import (
	"testing"
	"time"
)

func TestDutyFollowsDelay(t *testing.T) {
	duty := Duty{}
	if !duty.AcceptsAll() {
		t.Error("refuses connections before any delay")
	}
	if accept := duty.Adapt(2 * targetDelay); accept != dutyCycle/2 || duty.Refused() != dutyCycle/2 {
		t.Errorf("accepts for %s and refuses for %s after twice the normal delay", accept, duty.Refused())
	}
	if accept := duty.Adapt(time.Minute); accept < dutyCycle*14/100 {
		t.Errorf("accepts for %s only after one long delay", accept)
	}
	for range 20 {
		duty.Adapt(time.Minute)
	}
	if accept := duty.Adapt(time.Minute); accept <= 0 {
		t.Error("accepts nothing any more")
	}
	cycles := 0
	for ; !duty.AcceptsAll() && cycles < 100; cycles++ {
		duty.Adapt(targetDelay)
	}
	if cycles == 100 {
		t.Error("does not accept all again after the overload")
	}
}
