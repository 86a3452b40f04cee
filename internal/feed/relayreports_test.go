package feed

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/weldline/weldline/internal/signal"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// reportBackend keeps the reports that it gets.
type reportBackend struct {
	digestBackend
	taken   sync.Mutex
	reports []*wirepb.NodeReport
}

func (b *reportBackend) Report(reports ...*wirepb.NodeReport) {
	b.taken.Lock()
	defer b.taken.Unlock()
	b.reports = append(b.reports, reports...)
}

func (b *reportBackend) sequences() (sequences []uint64) {
	b.taken.Lock()
	defer b.taken.Unlock()
	for _, report := range b.reports {
		sequences = append(sequences, report.GetSequence())
	}
	return sequences
}

// TestRelaysPassEveryReportOn: a report tells what is new since the one before, so the newest does not stand
// for those that come with it. Seen by reading: a relay kept the newest of each node.
func TestRelaysPassEveryReportOn(t *testing.T) {
	backend := &reportBackend{digestBackend: digestBackend{changed: signal.New(), sequence: 1}}
	parts := newRunning(t)
	relay := parts.relay(parts.serve("control", backend))
	for len(backend.sequences()) == 0 {
		relay.Report(&wirepb.NodeReport{Node: "first"}) // Lost until the relay is connected.
		time.Sleep(time.Millisecond)
	}
	const reports = 10
	for sequence := uint64(1); sequence <= reports; sequence++ {
		relay.Report(&wirepb.NodeReport{Node: "router", Sequence: sequence})
	}
	for !slices.Contains(backend.sequences(), reports) {
		time.Sleep(time.Millisecond)
	}
	missing := uint64(1)
	for _, sequence := range backend.sequences() {
		if sequence == missing {
			missing++
		}
	}
	if missing != reports+1 {
		t.Errorf("report %d is missing, or out of order: %v", missing, backend.sequences())
	}
}
