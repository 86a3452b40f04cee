package feed

import (
	"testing"
	"time"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// TestReportQueueBatchesReports checks that reports within one interval are sent in order in a single
// message, and that a report after the interval is sent at once.
func TestReportQueueBatchesReports(t *testing.T) {
	const nodes = 1000
	var messages [][]*wirepb.NodeReport
	var endInterval func()
	queue := &ReportQueue{
		send:      func(reports []*wirepb.NodeReport) { messages = append(messages, reports) },
		afterFunc: func(_ time.Duration, call func()) { endInterval = call },
	}
	for number := range nodes {
		queue.Add([]*wirepb.NodeReport{{Sequence: uint64(number)}})
	}
	if len(messages) != 1 || len(messages[0]) != 1 {
		t.Fatalf("%d messages before the end of the interval", len(messages))
	}
	endInterval()
	if len(messages) != 2 || len(messages[1]) != nodes-1 {
		t.Fatalf("%d messages, %d reports in the last", len(messages), len(messages[len(messages)-1]))
	}
	for position, report := range messages[1] {
		if report.GetSequence() != uint64(position+1) {
			t.Fatalf("report %d received at position %d", report.GetSequence(), position+1)
		}
	}
	endInterval() // No reports are queued.
	queue.Add([]*wirepb.NodeReport{{Sequence: nodes}})
	if len(messages) != 3 || messages[2][0].GetSequence() != nodes {
		t.Errorf("a report after the interval was not sent at once: %d messages", len(messages))
	}
}
