package feed

import (
	"testing"
	"time"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// TestReportsShareMessages: a thousand nodes' reports that come within the gap take two messages, all
// of them arrive in order, and one that comes later goes at once.
func TestReportsShareMessages(t *testing.T) {
	const nodes = 1000
	var messages [][]*wirepb.NodeReport
	var gapEnds func()
	queue := &ReportQueue{
		send:  func(reports []*wirepb.NodeReport) { messages = append(messages, reports) },
		later: func(_ time.Duration, call func()) { gapEnds = call },
	}
	for number := range nodes {
		queue.Add([]*wirepb.NodeReport{{Sequence: uint64(number)}})
	}
	if len(messages) != 1 || len(messages[0]) != 1 {
		t.Fatalf("before the end of the gap there are %d messages", len(messages))
	}
	gapEnds()
	if len(messages) != 2 || len(messages[1]) != nodes-1 {
		t.Fatalf("%d messages, %d reports in the last", len(messages), len(messages[len(messages)-1]))
	}
	for position, report := range messages[1] {
		if report.GetSequence() != uint64(position+1) {
			t.Fatalf("report %d came as number %d", report.GetSequence(), position+1)
		}
	}
	gapEnds() // Nothing has come since.
	queue.Add([]*wirepb.NodeReport{{Sequence: nodes}})
	if len(messages) != 3 || messages[2][0].GetSequence() != nodes {
		t.Errorf("a report after the gap waits: %d messages", len(messages))
	}
}
