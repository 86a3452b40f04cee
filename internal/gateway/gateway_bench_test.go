package gateway_test

import (
	"io"
	"net/http"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/weldline/weldline/api/engine"
)

// BenchmarkWarmRequest alternates between requests through the router and directly
// to the emulated engine, and reports the median latencies and their difference.
func BenchmarkWarmRequest(b *testing.B) {
	d := deploy(b, "")
	direct := d.world.Addresses().Engines["worker-001"] + "/v1/completions"
	routed := d.server.URL + "/v1/completions"
	var through, straight []time.Duration
	for b.Loop() {
		through = append(through, timed(b, routed, ""))
		straight = append(straight, timed(b, direct, "r"))
	}
	b.ReportMetric(float64(median(through).Microseconds()), "routed-µs")
	b.ReportMetric(float64(median(straight).Microseconds()), "direct-µs")
	b.ReportMetric(float64((median(through) - median(straight)).Microseconds()), "added-µs")
}

func timed(b *testing.B, url, replica string) time.Duration {
	b.Helper()
	body := strings.NewReader(`{"model":"m","prompt":"hello","max_tokens":1}`)
	request, err := http.NewRequest(http.MethodPost, url, body)
	if err != nil {
		b.Fatal(err)
	}
	request.Header.Set("Content-Type", "application/json")
	if replica != "" {
		request.Header.Set(engine.HeaderReplica, replica)
		request.Header.Set(engine.HeaderRequestID, "direct")
	}
	started := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		b.Fatalf("%s answered %d", url, response.StatusCode)
	}
	return time.Since(started)
}

func median(values []time.Duration) time.Duration {
	sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
	return values[len(values)/2]
}
