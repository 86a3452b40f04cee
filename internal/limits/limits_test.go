package limits

import (
	"testing"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

func TestRateIsSplitAmongRouters(t *testing.T) {
	now := time.Unix(1000, 0)
	specs := map[string]*v1.LimitSpec{"rate": {Service: "s", RequestsPerSecond: 20, Burst: 20}}
	enforcer := New()
	admitted := 0
	for range 100 {
		if _, refusal := enforcer.Acquire(now, specs, "caller", 2); refusal == nil {
			admitted++
		}
	}
	if admitted != 10 {
		t.Errorf("admitted %d of a burst of 20 at one of two routers, want 10", admitted)
	}
	_, refusal := enforcer.Acquire(now, specs, "caller", 2)
	if refusal == nil || refusal.RetryAfter <= 0 {
		t.Fatalf("got refusal %+v, want one with RetryAfter", refusal)
	}
	if _, refusal := enforcer.Acquire(now.Add(refusal.RetryAfter), specs, "caller", 2); refusal != nil {
		t.Errorf("refused after RetryAfter: %+v", refusal)
	}
}

// TestConcurrencyIsReleased also covers the release when a later limit refuses the request.
func TestConcurrencyIsReleased(t *testing.T) {
	now := time.Unix(1000, 0)
	specs := map[string]*v1.LimitSpec{
		"all":  {Service: "s", Concurrent: 2},
		"mine": {Service: "s", Caller: "me", Concurrent: 1},
	}
	enforcer := New()
	release, refusal := enforcer.Acquire(now, specs, "me", 1)
	if refusal != nil {
		t.Fatal(refusal)
	}
	for range 5 {
		if _, refusal := enforcer.Acquire(now, specs, "me", 1); refusal == nil {
			t.Fatal("a second request of the same caller was admitted")
		}
	}
	other, refusal := enforcer.Acquire(now, specs, "you", 1)
	if refusal != nil {
		t.Fatalf("refused requests of one caller used up the common limit: %+v", refusal)
	}
	if _, refusal := enforcer.Acquire(now, specs, "they", 1); refusal == nil {
		t.Error("a third request was admitted")
	}
	release()
	other()
	if _, refusal := enforcer.Acquire(now, specs, "me", 1); refusal != nil {
		t.Errorf("refused after the release: %+v", refusal)
	}
}
