package control

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/weldline/weldline/internal/membership"
	"github.com/weldline/weldline/internal/raft"
)

// Metrics holds the Prometheus metrics of a control node.
type Metrics struct {
	role, term, applied prometheus.Gauge
	electionTimeout     prometheus.Gauge
	batchEntries        prometheus.Histogram
	batchSeconds        prometheus.Histogram
	decideSeconds       prometheus.Histogram
	decisions           *prometheus.CounterVec
	drainOrders         *prometheus.CounterVec
	permits             *prometheus.CounterVec
	tolerance           *prometheus.GaugeVec
}

// NewMetrics registers the control node's metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	factory := promauto.With(registry)
	return &Metrics{
		role:    factory.NewGauge(prometheus.GaugeOpts{Name: "weldline_raft_role", Help: "0 follower, 1 pre-candidate, 2 candidate, 3 leader."}),
		term:    factory.NewGauge(prometheus.GaugeOpts{Name: "weldline_raft_term", Help: "Present term."}),
		applied: factory.NewGauge(prometheus.GaugeOpts{Name: "weldline_raft_applied_index", Help: "Last applied log index."}),
		electionTimeout: factory.NewGauge(prometheus.GaugeOpts{
			Name: "weldline_raft_election_timeout_seconds", Help: "For how long followers wait for a leader: longer than set where round trips are long.",
		}),
		batchEntries: factory.NewHistogram(prometheus.HistogramOpts{Name: "weldline_raft_batch_entries", Help: "Entries applied by one pass of the loop.", Buckets: prometheus.ExponentialBuckets(1, 2, 10)}),
		batchSeconds: factory.NewHistogram(prometheus.HistogramOpts{Name: "weldline_raft_batch_seconds", Help: "Time to persist and apply one pass of the loop.", Buckets: prometheus.ExponentialBuckets(0.0001, 2, 14)}),
		decideSeconds: factory.NewHistogram(prometheus.HistogramOpts{
			Name: "weldline_placement_decide_seconds", Help: "Time to decide on replicas.", Buckets: prometheus.ExponentialBuckets(0.0001, 2, 12),
		}),
		decisions: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "weldline_placement_decisions_total", Help: "Replica decisions by kind.",
		}, []string{"kind"}),
		drainOrders: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "weldline_zone_drain_orders_total", Help: "Acknowledged orders to drain a zone, or to end that, repeated ones included.",
		}, []string{"order"}),
		permits: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "weldline_warming_permits_total", Help: "Permits asked of this node as leader, by whether they were granted.",
		}, []string{"outcome"}),
		tolerance: factory.NewGaugeVec(prometheus.GaugeOpts{
			Name: "weldline_raft_tolerance", Help: "How many machines, zones or regions may be lost at once, each taken alone, before the log stops.",
		}, []string{"lost"}),
	}
}

func (m *Metrics) observeDrainOrder(drained bool) {
	order := "undrain"
	if drained {
		order = "drain"
	}
	m.drainOrders.WithLabelValues(order).Inc()
}

func (m *Metrics) observePermit(granted bool) {
	outcome := "refused"
	if granted {
		outcome = "granted"
	}
	m.permits.WithLabelValues(outcome).Inc()
}

func (m *Metrics) observeTolerance(tolerance membership.Tolerance) {
	m.tolerance.WithLabelValues("machines").Set(float64(tolerance.Machines))
	m.tolerance.WithLabelValues("zones").Set(float64(tolerance.Zones))
	m.tolerance.WithLabelValues("regions").Set(float64(tolerance.Regions))
}

func (m *Metrics) observeStatus(status *raft.Status) {
	m.role.Set(float64(status.Role))
	m.term.Set(float64(status.Term))
	m.applied.Set(float64(status.Applied))
	m.electionTimeout.Set(status.ElectionTimeout.Seconds())
}

func (m *Metrics) observeBatch(entries int, took time.Duration) {
	m.batchEntries.Observe(float64(entries))
	m.batchSeconds.Observe(took.Seconds())
}
