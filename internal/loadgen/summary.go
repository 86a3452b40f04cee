package loadgen

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is how a request ended for its client.
type Outcome string

// The outcomes of requests.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "refused_not_run"
	OutcomeUnknown  Outcome = "unknown"
	// OutcomeDropped: neither a response nor a refusal in time.
	OutcomeDropped Outcome = "dropped"
	// OutcomeWrong: a response that is not the complete response to the request.
	OutcomeWrong Outcome = "wrong"
	// OutcomeInvalid: the request was rejected as invalid.
	OutcomeInvalid Outcome = "invalid"
)

// Percentiles are in seconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// Summary holds the results of a load.
type Summary struct {
	Result            string          `json:"result"`
	Requests          map[Outcome]int `json:"requests"`
	Total             int             `json:"total"`
	Resent            int             `json:"resent"`
	Holds             int             `json:"holds"`
	ColdStartSeconds  Percentiles     `json:"cold_start_seconds"`
	FirstTokenSeconds Percentiles     `json:"first_token_seconds"`
	TokenGapSeconds   Percentiles     `json:"token_gap_seconds"`
	Violations        map[string]int  `json:"violations"`
	Seconds           float64         `json:"seconds"`
	// Refusals counts refused requests by title and detail of the problem.
	Refusals map[string]int `json:"refusals,omitempty"`
}

const (
	histogramMax       = int64(10 * time.Minute)
	histogramPrecision = 3
)

// recorder collects results from concurrent clients.
type recorder struct {
	mutex      sync.Mutex
	summary    Summary
	coldStart  *hdrhistogram.Histogram
	firstToken *hdrhistogram.Histogram
	tokenGap   *hdrhistogram.Histogram
	// notRunKeys holds the keys of non-idempotent requests whose last outcome was "not run".
	notRunKeys map[string]bool
}

func newRecorder() *recorder {
	create := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(int64(time.Microsecond), histogramMax, histogramPrecision)
	}
	return &recorder{
		summary:   Summary{Requests: map[Outcome]int{}, Violations: map[string]int{}, Refusals: map[string]int{}},
		coldStart: create(), firstToken: create(), tokenGap: create(), notRunKeys: map[string]bool{},
	}
}

func recordDuration(histogram *hdrhistogram.Histogram, value time.Duration) {
	_ = histogram.RecordValue(min(max(int64(value), int64(time.Microsecond)), histogramMax))
}

func percentilesOf(histogram *hdrhistogram.Histogram) Percentiles {
	at := func(quantile float64) float64 {
		return time.Duration(histogram.ValueAtQuantile(quantile)).Seconds()
	}
	return Percentiles{
		Count: histogram.TotalCount(), P50: at(50), P95: at(95), P99: at(99), P999: at(99.9),
		Max: time.Duration(histogram.Max()).Seconds(),
	}
}

func (r *recorder) summarize(took time.Duration) *Summary {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.summary.ColdStartSeconds = percentilesOf(r.coldStart)
	r.summary.FirstTokenSeconds = percentilesOf(r.firstToken)
	r.summary.TokenGapSeconds = percentilesOf(r.tokenGap)
	r.summary.Seconds = took.Seconds()
	r.summary.Violations["wrong_answers"] = r.summary.Requests[OutcomeWrong]
	r.summary.Violations["dropped"] = r.summary.Requests[OutcomeDropped]
	return &r.summary
}

// SetResult sets Result to "failed" if there are violations or if no request was answered, and to "ok"
// otherwise.
func (s *Summary) SetResult() {
	s.Result = "ok"
	for _, count := range s.Violations {
		if count > 0 {
			s.Result = "failed"
		}
	}
	if s.Requests[OutcomeAnswered] == 0 {
		s.Result = "failed"
	}
}

// WriteTable writes the summary as text.
func (s *Summary) WriteTable(writer io.Writer) {
	table := tabwriter.NewWriter(writer, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "REQUESTS\tCOUNT")
	for _, outcome := range []Outcome{OutcomeAnswered, OutcomeNotRun, OutcomeUnknown, OutcomeInvalid, OutcomeWrong, OutcomeDropped} {
		_, _ = fmt.Fprintf(table, "%s\t%d\n", outcome, s.Requests[outcome])
	}
	_, _ = fmt.Fprintf(table, "resent after a lost connection\t%d\n\n", s.Resent)
	_, _ = fmt.Fprintln(table, "SECONDS\tCOUNT\tP50\tP95\tP99\tP99.9\tMAX")
	rows := []struct {
		name   string
		values Percentiles
	}{
		{"cold start", s.ColdStartSeconds}, {"first token", s.FirstTokenSeconds}, {"between tokens", s.TokenGapSeconds},
	}
	for _, row := range rows {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\n", row.name, row.values.Count,
			row.values.P50, row.values.P95, row.values.P99, row.values.P999, row.values.Max)
	}
	_, _ = fmt.Fprintln(table, "\nINVARIANT\tVIOLATIONS")
	for _, name := range sortedKeys(s.Violations) {
		_, _ = fmt.Fprintf(table, "%s\t%d\n", name, s.Violations[name])
	}
	_ = table.Flush()
}
