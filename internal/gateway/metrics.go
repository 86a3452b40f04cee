package gateway

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/weldline/weldline/internal/drainlog"
)

// Metrics are the gateway's metrics.
type Metrics struct {
	requests    *prometheus.CounterVec
	problems    *prometheus.CounterVec
	attempts    *prometheus.CounterVec
	discarded   prometheus.Counter
	resumed     prometheus.Counter
	replicaWait prometheus.Histogram
	firstByte   prometheus.Histogram
	drained     *prometheus.GaugeVec
}

// NewMetrics registers the gateway's metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	factory := promauto.With(registry)
	waits := prometheus.ExponentialBuckets(0.001, 2, 16)
	return &Metrics{
		drained: drainlog.NewGauge(registry, "weldline_router_zone_drained"),
		requests: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "weldline_requests_total", Help: "Requests by service and how they ended.",
		}, []string{"service", "result"}),
		problems: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "weldline_problems_total", Help: "Problem documents sent, by type and outcome.",
		}, []string{"type", "outcome"}),
		attempts: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "weldline_attempts_total", Help: "Attempts at back ends by how they ended.",
		}, []string{"result"}),
		discarded: factory.NewCounter(prometheus.CounterOpts{
			Name: "weldline_answers_discarded_total", Help: "Answers that carried another attempt's id.",
		}),
		resumed: factory.NewCounter(prometheus.CounterOpts{
			Name: "weldline_streams_resumed_total", Help: "Broken streams that were resumed.",
		}),
		replicaWait: factory.NewHistogram(prometheus.HistogramOpts{
			Name: "weldline_replica_wait_seconds", Help: "Wait for a replica, of requests that waited.", Buckets: waits,
		}),
		firstByte: factory.NewHistogram(prometheus.HistogramOpts{
			Name: "weldline_first_byte_seconds", Help: "From arrival to the first byte of the answer.", Buckets: waits,
		}),
	}
}
