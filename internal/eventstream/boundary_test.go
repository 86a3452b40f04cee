package eventstream

import (
	"net/http"
	"strings"
	"testing"
)

func TestInsideEvent(t *testing.T) {
	tests := []struct {
		name, stream string
		inside       bool
	}{
		{"no byte", "", false},
		{"within a line", "data: x", true},
		{"within a field name", "d", true},
		{"after a line", "data: x\n", true},
		{"after an event", "data: x\n\n", false},
		{"after an event, CRLF", "data: x\r\n\r\n", false},
		{"after an event, CR", "data: x\r\r", false},
		{"one CRLF is one line end", "data: x\r\n", true},
		{"within the second CRLF", "data: x\r\n\r", false},
		{"mixed line ends", "data: x\n\r\n", false},
		{"blank lines", "\n\r\n\n", false},
		{"second event begun", "data: x\n\nid: 2\n", true},
		{"an id alone", "id: 2\n", true},
		{"comment", ": keep-alive\n", false},
		{"within a comment", ": keep-al", true},
		{"comment within an event", "data: x\n: comment\n", true},
		{"byte order mark", "\xef\xbb\xbfdata: x\n\n", false},
		{"byte order mark and comment", "\xef\xbb\xbf: comment\n", false},
		{"within the byte order mark", "\xef\xbb", true},
		{"a line that begins like the byte order mark", "\xef\xbb:\n", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			boundary := Boundary{}
			boundary.Follow([]byte(test.stream))
			if boundary.InsideEvent() != test.inside {
				t.Errorf("InsideEvent() = %v after %q", boundary.InsideEvent(), test.stream)
			}
		})
	}
}

func TestIsEventStream(t *testing.T) {
	for contentType, want := range map[string]bool{
		"text/event-stream": true, "Text/Event-Stream; charset=utf-8": true,
		"": false, "text/plain": false, "application/json": false, "text/event-stream-like": false,
	} {
		if got := IsEventStream(http.Header{"Content-Type": {contentType}}); got != want {
			t.Errorf("IsEventStream(%q) = %v", contentType, got)
		}
	}
}

// FuzzInsideEvent compares the result with that of parsing the whole stream, however it is divided.
func FuzzInsideEvent(f *testing.F) {
	f.Add([]byte("data: x\r\n\r\n: c\nid: 3\n"), uint8(5))
	f.Add([]byte("\xef\xbb\xbf:\n"), uint8(0))
	f.Add([]byte("a\r\rb\n\r\n:\r"), uint8(1))
	f.Fuzz(func(t *testing.T, stream []byte, size uint8) {
		boundary := Boundary{}
		for rest := stream; len(rest) > 0; {
			count := min(len(rest), int(size)+1)
			boundary.Follow(rest[:count])
			rest = rest[count:]
		}
		if want := endsInsideEvent(stream); boundary.InsideEvent() != want {
			t.Errorf("InsideEvent() = %v after %q", boundary.InsideEvent(), stream)
		}
	})
}

func endsInsideEvent(stream []byte) bool {
	text := strings.TrimPrefix(string(stream), byteOrderMark)
	text = strings.NewReplacer("\r\n", "\n", "\r", "\n").Replace(text)
	lines := strings.Split(text, "\n")
	if lines[len(lines)-1] != "" {
		return true
	}
	inside := false
	for _, line := range lines[:len(lines)-1] {
		switch {
		case line == "":
			inside = false
		case !strings.HasPrefix(line, ":"):
			inside = true
		}
	}
	return inside
}
