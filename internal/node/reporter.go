package node

import (
	"context"
	"time"

	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// minimumReportGap bounds how often nudges lead to reports.
const minimumReportGap = 5 * time.Millisecond

// reporter sends a node's state upwards: regularly, when nudged, and over each
// new connection.
type reporter struct {
	client   *feed.Client
	interval time.Duration
	nudges   chan struct{}
	// report returns the state at a time.
	report func(now time.Time) *wirepb.NodeReport
}

func newReporter(interval time.Duration, report func(now time.Time) *wirepb.NodeReport) *reporter {
	return &reporter{interval: interval, nudges: make(chan struct{}, 1), report: report}
}

// nudge asks for a report soon.
func (r *reporter) nudge() {
	select {
	case r.nudges <- struct{}{}:
	default:
	}
}

func (r *reporter) run(ctx context.Context) {
	ticker := time.NewTicker(r.interval)
	defer ticker.Stop()
	for {
		connected := r.client.Connected()
		_ = r.client.Send(&wirepb.Envelope{Body: &wirepb.Envelope_NodeReport{NodeReport: r.report(time.Now())}})
		select {
		case <-ctx.Done():
			return
		case <-time.After(minimumReportGap):
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.nudges:
		case <-connected:
		}
	}
}
