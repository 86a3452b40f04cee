package node

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/weldline/weldline/internal/wire"
)

const (
	// trafficLogInterval is how often a control node tells what it exchanged: each stream
	// between processes has a control node or a relay at one end, so these lines add up to all
	// that is paid for.
	trafficLogInterval = 10 * time.Second
	// trafficKindsLogged bounds a line; what the rest adds is little.
	trafficKindsLogged = 24
)

// logTraffic tells what was exchanged with other processes in each interval until ctx ends.
func logTraffic(ctx context.Context, counters *wire.Counters, logger *slog.Logger) {
	ticker := time.NewTicker(trafficLogInterval)
	defer ticker.Stop()
	var before []wire.KindTraffic
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := counters.Traffic()
		logger.Info("wire_traffic", "span_s", trafficLogInterval.Seconds(), slog.Group("bytes", largestSince(before, now)...))
		before = now
	}
}

// largestSince returns how many bytes went each way by nearness and kind since the counts
// before, the largest first.
func largestSince(before, now []wire.KindTraffic) []any {
	spans := make([]wire.KindTraffic, 0, len(now))
	for _, traffic := range now {
		for _, earlier := range before {
			if earlier.Kind == traffic.Kind && earlier.Nearness == traffic.Nearness {
				traffic.BytesSent -= earlier.BytesSent
				traffic.BytesReceived -= earlier.BytesReceived
			}
		}
		if traffic.BytesSent+traffic.BytesReceived > 0 {
			spans = append(spans, traffic)
		}
	}
	slices.SortStableFunc(spans, func(left, right wire.KindTraffic) int {
		return cmp.Compare(right.BytesSent+right.BytesReceived, left.BytesSent+left.BytesReceived)
	})
	var attributes []any
	for _, traffic := range spans[:min(len(spans), trafficKindsLogged)] {
		attributes = append(attributes, slog.Group(traffic.Nearness.String()+"."+traffic.Kind,
			"sent", traffic.BytesSent, "received", traffic.BytesReceived))
	}
	return attributes
}
