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

// storyOf returns the story of the request "x" in a log.
func storyOf(t *testing.T, log string) *Story {
	t.Helper()
	lines, err := Read(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	story, err := Request("x", lines)
	if err != nil {
		t.Fatal(err)
	}
	return story
}

// TestStories are of real requests: one refused since its model was not loaded
// in time, one whose machine ended in the middle of the answer. The second log
// has something before each line. The third is made: a request that was refused
// long after the zones were drained.
func TestStories(t *testing.T) {
	tests := []struct {
		log, id string
		cause   []string
	}{
		{"refused.log", "563295633b4350fd", []string{"refused with 503 after 1687 ms", "adapter a4 of model yezi9fa15", "load yezi9fa15/a4 at +1.8 s accepted", "leader changed to core-hall-b-1"}},
		{"broken.log", "26f743f49b8cf566", []string{"machine i-9fa8c2ed6f ended in the middle of the answer", "silent"}},
		{"drained.log", "d1", []string{"refused with 503 after 2 ms: zone drained", "drained: north-a for 60.0 s, north-c for 30.0 s"}},
	}
	for _, test := range tests {
		story, err := Request(test.id, readLog(t, test.log))
		if err != nil {
			t.Fatal(err)
		}
		for _, part := range test.cause {
			if !strings.Contains(story.Cause, part) {
				t.Errorf("%s: %q does not say %q", test.id, story.Cause, part)
			}
		}
		for position := range story.Lines[1:] {
			if story.Lines[position+1].Time.Before(story.Lines[position].Time) {
				t.Errorf("%s: lines are out of order", test.id)
			}
		}
		var out strings.Builder
		if err := story.Write(&out); err != nil || !strings.Contains(out.String(), "* ") {
			t.Errorf("%s: %v %q", test.id, err, out.String())
		}
	}
}

// TestNoAllowedRegion: a request that no region may serve is told as such, with what binds it.
func TestNoAllowedRegion(t *testing.T) {
	story := storyOf(t, `{"time":"2030-01-01T00:00:00Z","msg":"request_refused","node":"n","id":"x","status":503,`+
		`"kind":"no-allowed-region","detail":"route r and tenant t allow no region in common","age_ms":1}`)
	const wanted = "refused: no allowed region after 1 ms: route r and tenant t allow no region in common"
	if story.Cause != wanted {
		t.Errorf("%q, not %q", story.Cause, wanted)
	}
}

// TestHeldBackRequest: the story names the machines that warmed up.
func TestHeldBackRequest(t *testing.T) {
	const log = `{"time":"2026-01-01T00:00:00Z","msg":"permit_refused","id":"x","machine":"a","age_ms":2}
{"time":"2026-01-01T00:00:01Z","msg":"permit_refused","id":"x","machine":"b","age_ms":900}
{"time":"2026-01-01T00:00:01.1Z","msg":"permit_refused","id":"x","machine":"a","age_ms":1000}
{"time":"2026-01-01T00:00:02Z","msg":"request_refused","id":"x","status":503,"age_ms":1800,"detail":"warming: the machines that could take it warm up"}
`
	story := storyOf(t, log)
	for _, part := range []string{"refused with 503 after 1800 ms", "warming: the machines", "held back 3 times", "a, b"} {
		if !strings.Contains(story.Cause, part) {
			t.Errorf("%q does not say %q", story.Cause, part)
		}
	}
}

// TestRestingRequest: the story of a request that was refused for rests names them, though other requests were
// rejected. Rests that another node was asked for are none of its causes.
func TestRestingRequest(t *testing.T) {
	const log = `{"time":"2026-01-01T00:00:00Z","msg":"request_rest_requested","node":"n","id":"other","model":"m1","machine":"a","rest_ms":3000}
{"time":"2026-01-01T00:00:00.5Z","msg":"request_rest_requested","node":"n","id":"other","model":"m2","machine":"b","rest_ms":3000}
{"time":"2026-01-01T00:00:00.6Z","msg":"request_rest_requested","node":"elsewhere","id":"other","model":"m1","machine":"c","rest_ms":3000}
{"time":"2026-01-01T00:00:00.7Z","msg":"request_attempt","node":"n","id":"other","model":"m1","machine":"a"}
{"time":"2026-01-01T00:00:01Z","msg":"request_refused","node":"n","id":"x","model":"m1","status":503,"age_ms":1,"detail":"resting: the machines that could take it are overloaded and asked for a rest"}
`
	story := storyOf(t, log)
	const wanted = "asked for a rest; rests asked for: a 3000 ms, 1000 ms before"
	if !strings.HasSuffix(story.Cause, wanted) {
		t.Errorf("%q does not end with %q", story.Cause, wanted)
	}
	if len(story.Lines) != 3 {
		t.Errorf("%d lines belong to the story: %v", len(story.Lines), story.Lines)
	}
}

// TestUnknownRequest, and lines that are none.
func TestUnknownRequest(t *testing.T) {
	lines, err := Read(strings.NewReader("no line\n{\"half\n{\"msg\":\"x\"}\n\n"))
	if err != nil || len(lines) != 0 {
		t.Errorf("%v %v", lines, err)
	}
	if _, err := Request("id", lines); !fault.Is(err, fault.NotFound) {
		t.Errorf("%v", err)
	}
}
