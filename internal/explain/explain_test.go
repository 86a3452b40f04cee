package explain

import (
	"os"
	"strings"
	"testing"

	"github.com/weldline/weldline/internal/fault"
)

func readLog(t *testing.T, name string) []Line {
	t.Helper()
	file, err := os.Open("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	lines, err := Read(file)
	if err != nil {
		t.Fatal(err)
	}
	return lines
}

// buildTimeline returns the timeline of the request "x" in a log.
func buildTimeline(t *testing.T, log string) *Timeline {
	t.Helper()
	lines, err := Read(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	timeline, err := BuildTimeline("x", lines)
	if err != nil {
		t.Fatal(err)
	}
	return timeline
}

// TestTimelines covers a request refused because its model was not loaded in
// time, one whose machine terminated during the response (in a log with a prefix
// before each line), and one refused long after its zones were drained.
func TestTimelines(t *testing.T) {
	tests := []struct {
		log, id string
		cause   []string
	}{
		{"refused.log", "563295633b4350fd", []string{"refused with 503 after 1687 ms", "adapter a4 of model yezi9fa15", "load yezi9fa15/a4 at +1.8 s accepted", "leader changed to core-hall-b-1"}},
		{"broken.log", "26f743f49b8cf566", []string{"machine i-9fa8c2ed6f terminated during the response", "silent"}},
		{"drained.log", "d1", []string{"refused with 503 after 2 ms: zone drained", "drained: north-a for 60.0 s, north-c for 30.0 s"}},
	}
	for _, test := range tests {
		timeline, err := BuildTimeline(test.id, readLog(t, test.log))
		if err != nil {
			t.Fatal(err)
		}
		for _, part := range test.cause {
			if !strings.Contains(timeline.Cause, part) {
				t.Errorf("%s: %q does not contain %q", test.id, timeline.Cause, part)
			}
		}
		for position := range timeline.Lines[1:] {
			if timeline.Lines[position+1].Time.Before(timeline.Lines[position].Time) {
				t.Errorf("%s: lines are out of order", test.id)
			}
		}
		var out strings.Builder
		if err := timeline.Write(&out); err != nil || !strings.Contains(out.String(), "* ") {
			t.Errorf("%s: %v %q", test.id, err, out.String())
		}
	}
}

// TestNoAllowedRegion checks that the cause of a request without an allowed region has the detail.
func TestNoAllowedRegion(t *testing.T) {
	timeline := buildTimeline(t, `{"time":"2030-01-01T00:00:00Z","msg":"request_refused","node":"n","id":"x","status":503,`+
		`"kind":"no-allowed-region","detail":"route r and tenant t allow no region in common","age_ms":1}`)
	const want = "refused: no allowed region after 1 ms: route r and tenant t allow no region in common"
	if timeline.Cause != want {
		t.Errorf("%q, not %q", timeline.Cause, want)
	}
}

// TestRefusedPermits checks that the cause names the machines without a permit.
func TestRefusedPermits(t *testing.T) {
	const log = `{"time":"2026-01-01T00:00:00Z","msg":"permit_refused","id":"x","machine":"a","age_ms":2}
{"time":"2026-01-01T00:00:01Z","msg":"permit_refused","id":"x","machine":"b","age_ms":900}
{"time":"2026-01-01T00:00:01.1Z","msg":"permit_refused","id":"x","machine":"a","age_ms":1000}
{"time":"2026-01-01T00:00:02Z","msg":"request_refused","id":"x","status":503,"age_ms":1800,"detail":"warming: the machines that could take it warm up"}
`
	timeline := buildTimeline(t, log)
	for _, part := range []string{"refused with 503 after 1800 ms", "warming: the machines", "permit refused 3 times", "a, b"} {
		if !strings.Contains(timeline.Cause, part) {
			t.Errorf("%q does not contain %q", timeline.Cause, part)
		}
	}
}

// TestBackoffRequests checks that the cause names the machines that asked the refusing node to back off,
// also in responses to other requests, and leaves out those that asked another node.
func TestBackoffRequests(t *testing.T) {
	const log = `{"time":"2026-01-01T00:00:00Z","msg":"request_rest_requested","node":"n","id":"other","model":"m1","machine":"a","rest_ms":3000}
{"time":"2026-01-01T00:00:00.5Z","msg":"request_rest_requested","node":"n","id":"other","model":"m2","machine":"b","rest_ms":3000}
{"time":"2026-01-01T00:00:00.6Z","msg":"request_rest_requested","node":"elsewhere","id":"other","model":"m1","machine":"c","rest_ms":3000}
{"time":"2026-01-01T00:00:00.7Z","msg":"request_attempt","node":"n","id":"other","model":"m1","machine":"a"}
{"time":"2026-01-01T00:00:01Z","msg":"request_refused","node":"n","id":"x","model":"m1","status":503,"age_ms":1,"detail":"resting: the machines that could take it are overloaded and asked for a rest"}
`
	timeline := buildTimeline(t, log)
	const want = "asked for a rest; backoff requested: a 3000 ms, 1000 ms before"
	if !strings.HasSuffix(timeline.Cause, want) {
		t.Errorf("%q does not end with %q", timeline.Cause, want)
	}
	if len(timeline.Lines) != 3 {
		t.Errorf("%d lines are in the timeline: %v", len(timeline.Lines), timeline.Lines)
	}
}

// TestUnknownRequest checks the error for an unknown id, and that lines that can't be parsed are ignored.
func TestUnknownRequest(t *testing.T) {
	lines, err := Read(strings.NewReader("no line\n{\"half\n{\"msg\":\"x\"}\n\n"))
	if err != nil || len(lines) != 0 {
		t.Errorf("%v %v", lines, err)
	}
	if _, err := BuildTimeline("id", lines); !fault.Is(err, fault.NotFound) {
		t.Errorf("%v", err)
	}
}

// TestTimelineOverTwoRouters covers a request that the client's router forwarded to another one.
func TestTimelineOverTwoRouters(t *testing.T) {
	timeline := buildTimeline(t, `
{"time":"2026-06-21T05:00:01Z","msg":"router_isolated","node":"router-a","unreachable":2}
{"time":"2026-06-21T05:00:01.5Z","msg":"request_forward_attempt","node":"router-a","id":"x","router":"router-c","end":"not_connected","age_ms":0}
{"time":"2026-06-21T05:00:02Z","msg":"request_forwarded","node":"router-a","id":"x","router":"router-b","age_ms":1}
{"time":"2026-06-21T05:00:02.01Z","msg":"request_sent","node":"router-b","id":"x","machine":"m","age_ms":0}
{"time":"2026-06-21T05:00:02.1Z","msg":"request_answered","node":"router-b","id":"x","status":200,"age_ms":90}
{"time":"2026-06-21T05:00:02.11Z","msg":"request_answered","node":"router-a","id":"x","status":200,"age_ms":110}
{"time":"2026-06-21T05:00:02.12Z","msg":"request_forward_last_resort","node":"router-a","id":"x","router":"router-b","end":"answered","age_ms":110}
`)
	if want := "answered with 200 after 110 ms; forwarded for want of a path to: router-c (not_connected), router-b (answered)"; timeline.Cause != want {
		t.Errorf("cause %q", timeline.Cause)
	}
	if len(timeline.Lines) != 7 || timeline.Lines[0].Event != "router_isolated" {
		t.Errorf("%d lines, the first %s", len(timeline.Lines), timeline.Lines[0].Event)
	}
}
