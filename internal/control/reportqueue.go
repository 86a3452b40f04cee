package control

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

// reportQueue gathers the reports that a control node passes on to the leader. None is left out:
// each tells only what is new since the one before.
type reportQueue struct {
	// send sends reports in one message.
	send func(reports []*wirepb.NodeReport)
	// later calls a function after a time.
	later func(after time.Duration, call func())

	mutex   sync.Mutex
	pending []*wirepb.NodeReport
	// isResting is set from a message until the end of the gap behind it.
	isResting bool
}

func newReportQueue(send func(reports []*wirepb.NodeReport)) *reportQueue {
	return &reportQueue{send: send, later: func(after time.Duration, call func()) { time.AfterFunc(after, call) }}
}

// add sends reports, or keeps them until the gap is over.
func (q *reportQueue) add(reports []*wirepb.NodeReport) {
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
func (q *reportQueue) flush() {
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
