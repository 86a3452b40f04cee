package ingress

import "testing"

// TestLargeBodiesLeaveMemoryToOthers guards against large uploads that have all other requests with a body refused.
func TestLargeBodiesLeaveMemoryToOthers(t *testing.T) {
	const limit = 8 * largeBodyBytes // of three eighths of the memory
	memory := newBodyMemory(limit * 8 / 3)
	large := 0
	for memory.reserve(2*largeBodyBytes, 2*largeBodyBytes) {
		large++
	}
	if large != 3 {
		t.Errorf("%d large bodies fit, want 3", large)
	}
	if !memory.reserve(largeBodyBytes, largeBodyBytes) {
		t.Error("a shorter body has no room beside large ones")
	}
	for range large {
		memory.release(2 * largeBodyBytes)
	}
	memory.release(largeBodyBytes)
	if held := memory.held.Load(); held != 0 {
		t.Errorf("%d bytes are held", held)
	}
	if unbounded := newBodyMemory(0); !unbounded.reserve(1<<40, 1<<40) {
		t.Error("without a known memory there is a bound")
	}
}
