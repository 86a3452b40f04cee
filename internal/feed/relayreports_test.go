package feed

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/weldline/weldline/internal/signal"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

type reportBackend struct {
	digestBackend
	reportsMutex sync.Mutex
	reports      []*wirepb.NodeReport
}

func (b *reportBackend) Report(reports ...*wirepb.NodeReport) {
	b.reportsMutex.Lock()
	defer b.reportsMutex.Unlock()
	b.reports = append(b.reports, reports...)
}

func (b *reportBackend) sequences() (sequences []uint64) {
	b.reportsMutex.Lock()
	defer b.reportsMutex.Unlock()
	for _, report := range b.reports {
		sequences = append(sequences, report.GetSequence())
	}
	return sequences
}

// TestRelayForwardsEveryReport guards against keeping only the newest report of each node. A report
// contains only what changed after the previous one.
func TestRelayForwardsEveryReport(t *testing.T) {
	backend := &reportBackend{digestBackend: digestBackend{changed: signal.New(), sequence: 1}}
	env := newTestEnvironment(t)
	relay := env.startRelay(env.startServer("control", backend))
	for len(backend.sequences()) == 0 {
		relay.Report(&wirepb.NodeReport{Node: "first"}) // Dropped until the relay is connected.
		time.Sleep(time.Millisecond)
	}
	const reports = 10
	for sequence := uint64(1); sequence <= reports; sequence++ {
		relay.Report(&wirepb.NodeReport{Node: "router", Sequence: sequence})
	}
	for !slices.Contains(backend.sequences(), reports) {
		time.Sleep(time.Millisecond)
	}
	nextExpected := uint64(1)
	for _, sequence := range backend.sequences() {
		if sequence == nextExpected {
			nextExpected++
		}
	}
	if nextExpected != reports+1 {
		t.Errorf("report %d is missing or out of order: %v", nextExpected, backend.sequences())
	}
}
