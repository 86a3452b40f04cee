package permits

import (
	"testing"
	"time"
)

// TestSweepDropsOnlyFullBuckets guards against refilling a recently used bucket by dropping it.
func TestSweepDropsOnlyFullBuckets(t *testing.T) {
	buckets, config := New(0), BucketConfig{Rate: 5, Burst: 5}
	for buckets.Take(sweepInterval-time.Millisecond, "used", config).Granted {
	}
	buckets.Take(sweepInterval, "another", config)
	if buckets.Take(sweepInterval, "used", config).Granted {
		t.Error("the bucket was refilled by the sweep")
	}
	buckets.Take(2*sweepInterval, "another", config)
	if _, found := buckets.buckets["used"]; found || len(buckets.buckets) != 1 {
		t.Errorf("got %d buckets, want 1", len(buckets.buckets))
	}
}
