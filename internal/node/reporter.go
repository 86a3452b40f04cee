package node

import (
	"context"
	"time"

	"github.com/weldline/weldline/internal/feed"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// minimumReportGap is the minimum time between reports.
const minimumReportGap = 5 * time.Millisecond

// reporter sends a node's reports to the control plane: at intervals, when triggered, and after each
// reconnect.
type reporter struct {
	client   *feed.Client
	interval time.Duration
	triggers chan struct{}
	// report returns the node's report at the given time.
	report func(now time.Time) *wirepb.NodeReport
}

func newReporter(interval time.Duration, report func(now time.Time) *wirepb.NodeReport) *reporter {
	return &reporter{interval: interval, triggers: make(chan struct{}, 1), report: report}
}

// trigger requests a report without waiting for the interval.
func (r *reporter) trigger() {
	select {
	case r.triggers <- struct{}{}:
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
		case <-r.triggers:
		case <-connected:
		}
	}
}
