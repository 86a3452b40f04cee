package permits

import (
	"testing"
	"time"
)

// TestSweptBucketsAreFull: a bucket that was used lately stays as empty as it is when others are
// dropped.
func TestSweptBucketsAreFull(t *testing.T) {
	permits, pace := New(0), BucketConfig{Rate: 5, Burst: 5}
	for permits.Take(sweepInterval-time.Millisecond, "used", pace).Granted {
	}
	permits.Take(sweepInterval, "another", pace)
	if permits.Take(sweepInterval, "used", pace).Granted {
		t.Error("the bucket is full again")
	}
	permits.Take(2*sweepInterval, "another", pace)
	if _, held := permits.buckets["used"]; held || len(permits.buckets) != 1 {
		t.Errorf("%d buckets are held", len(permits.buckets))
	}
}
