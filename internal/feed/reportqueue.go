package feed

import (
	"sync"
	"time"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// reportGap is the least time between two messages with nodes' reports to the leader. The leader
// would get a message for each report of each node: two a second from a thousand of them cost it more
// than what they say. The first goes at once; a load, which reports of waiting requests lead to, takes
// a hundred times as long as the others wait.
const reportGap = 20 * time.Millisecond

// ReportQueue gathers the reports that a control node, or a relay, passes on towards the leader. None is
// left out: each tells only what is new since the one before. It is safe for concurrent use.
type ReportQueue struct {
	// send sends reports in one message.
	send func(reports []*wirepb.NodeReport)
	// later calls a function after a time.
	later func(after time.Duration, call func())

	mutex   sync.Mutex
	pending []*wirepb.NodeReport
	// isResting is set from a message until the end of the gap behind it.
	isResting bool
}

// NewReportQueue returns a queue whose messages go out by a function.
func NewReportQueue(send func(reports []*wirepb.NodeReport)) *ReportQueue {
	return &ReportQueue{send: send, later: func(after time.Duration, call func()) { time.AfterFunc(after, call) }}
}

// Add sends reports, or keeps them until the gap is over.
func (q *ReportQueue) Add(reports []*wirepb.NodeReport) {
	q.mutex.Lock()
	q.pending = append(q.pending, reports...)
	rests := q.isResting
	q.isResting = true
	q.mutex.Unlock()
	if !rests {
		q.flush()
	}
}

// flush sends what has gathered, and ends the rest where that is nothing.
func (q *ReportQueue) flush() {
	q.mutex.Lock()
	batch := q.pending
	q.pending = nil
	q.isResting = len(batch) > 0
	q.mutex.Unlock()
	if len(batch) == 0 {
		return
	}
	q.send(batch)
	q.later(reportGap, q.flush)
}
