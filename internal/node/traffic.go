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
	// trafficLogInterval is the interval of the traffic log lines of control nodes.
	trafficLogInterval = 10 * time.Second
	// maxTrafficKindsLogged bounds the length of a log line.
	maxTrafficKindsLogged = 24
)

// logTraffic logs the traffic with other processes in each interval until ctx ends.
func logTraffic(ctx context.Context, counters *wire.Counters, logger *slog.Logger) {
	ticker := time.NewTicker(trafficLogInterval)
	defer ticker.Stop()
	var before []wire.KindTraffic
	networkBefore := counters.Network()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now, network := counters.Traffic(), counters.Network()
		logger.Info("wire_traffic", "span_s", trafficLogInterval.Seconds(),
			slog.Group("network", networkSince(networkBefore, network)...), slog.Group("bytes", trafficSince(before, now)...))
		before, networkBefore = now, network
	}
}

// trafficSince returns the bytes sent and received since earlier counts, by proximity and kind, in
// decreasing order.
func trafficSince(before, now []wire.KindTraffic) []any {
	spans := make([]wire.KindTraffic, 0, len(now))
	for _, traffic := range now {
		for _, earlier := range before {
			if earlier.Kind == traffic.Kind && earlier.Proximity == traffic.Proximity {
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
	for _, traffic := range spans[:min(len(spans), maxTrafficKindsLogged)] {
		attributes = append(attributes, slog.Group(traffic.Proximity.String()+"."+traffic.Kind,
			"sent", traffic.BytesSent, "received", traffic.BytesReceived))
	}
	return attributes
}

// networkSince returns the bytes sent and received over the network since earlier counts, by proximity.
// Both counts must list the same entries.
func networkSince(before, now []wire.NetworkTraffic) []any {
	var attributes []any
	for position, traffic := range now {
		attributes = append(attributes, slog.Group(traffic.Proximity.String(),
			"sent", traffic.Sent-before[position].Sent, "received", traffic.Received-before[position].Received))
	}
	return attributes
}
