package feed

import (
	"sync"
	"time"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// minReportInterval limits the number of messages to the leader when many nodes report. The first
// report after a pause is sent at once. A message for each of two reports a second from a thousand nodes
// costs the leader more than their content.
const minReportInterval = 20 * time.Millisecond

// ReportQueue batches the reports that a control node or relay forwards to the leader. It keeps all of
// them, since each contains only what changed after the previous one. It is safe for concurrent use.
type ReportQueue struct {
	send      func(reports []*wirepb.NodeReport)
	afterFunc func(after time.Duration, call func())

	mutex   sync.Mutex
	pending []*wirepb.NodeReport
	// isThrottled is set for minReportInterval after a message.
	isThrottled bool
}

// NewReportQueue returns a queue that sends batches of reports with the given function.
func NewReportQueue(send func(reports []*wirepb.NodeReport)) *ReportQueue {
	return &ReportQueue{send: send, afterFunc: func(delay time.Duration, call func()) { time.AfterFunc(delay, call) }}
}

// Add sends reports at once, or queues them until the interval after the last message has passed.
func (q *ReportQueue) Add(reports []*wirepb.NodeReport) {
	q.mutex.Lock()
	q.pending = append(q.pending, reports...)
	isThrottled := q.isThrottled
	q.isThrottled = true
	q.mutex.Unlock()
	if !isThrottled {
		q.flush()
	}
}

// flush sends the queued reports; without any it ends the throttling.
func (q *ReportQueue) flush() {
	q.mutex.Lock()
	batch := q.pending
	q.pending = nil
	q.isThrottled = len(batch) > 0
	q.mutex.Unlock()
	if len(batch) == 0 {
		return
	}
	q.send(batch)
	q.afterFunc(minReportInterval, q.flush)
}
