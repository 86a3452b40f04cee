package bodymemory

import "testing"

// TestLargeBodiesLeaveMemoryToOthers guards against large uploads that have all other requests with a body refused.
func TestLargeBodiesLeaveMemoryToOthers(t *testing.T) {
	const limit = 8 * largeBytes // of three eighths of the memory
	memory := New(limit * 8 / 3)
	large := 0
	for memory.Reserve(2*largeBytes, 2*largeBytes) {
		large++
	}
	if large != 3 {
		t.Errorf("%d large bodies fit, want 3", large)
	}
	if !memory.Reserve(largeBytes, largeBytes) {
		t.Error("a shorter body has no room beside large ones")
	}
	for range large {
		memory.Release(2 * largeBytes)
	}
	memory.Release(largeBytes)
	if held := memory.Held(); held != 0 {
		t.Errorf("%d bytes are held", held)
	}
	if unbounded := New(0); !unbounded.Reserve(1<<40, 1<<40) {
		t.Error("without a known memory there is a bound")
	}
}
