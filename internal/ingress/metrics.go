package ingress

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/drainlog"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/quarantine"
)

// Metrics are the ingress's metrics.
type Metrics struct {
	requests *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	tenants  *prometheus.CounterVec
	crashes  *prometheus.CounterVec
	drained  *prometheus.GaugeVec
	permits  *prometheus.CounterVec
	withheld prometheus.Counter
	sends    *prometheus.CounterVec
	limited  prometheus.Gauge
	// rests counts the rejections that asked for a rest; resting is the number of machines that rest now.
	rests   prometheus.Counter
	resting prometheus.Gauge
	// leaving is the number of listed machines that stated that they are leaving.
	leaving prometheus.Gauge
	// invalidStatements counts answer headers whose value can't be used.
	invalidStatements prometheus.Counter

	seriesMutex sync.Mutex
	// series are the tenants that have one of their own.
	series map[string]bool
}

const (
	// maxTenantSeries bounds the tenants that are counted one by one.
	maxTenantSeries = 200
	// otherTenants stands for all others.
	otherTenants = "other"
)

// NewMetrics registers the ingress's metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	factory := promauto.With(registry)
	labels := []string{"kind", "outcome"}
	return &Metrics{
		requests: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "weldline_ingress_requests_total", Help: "Requests by kind of route and outcome.",
		}, labels),
		seconds: factory.NewHistogramVec(prometheus.HistogramOpts{
			Name: "weldline_ingress_request_seconds", Help: "Time from the head of a request to the end of its answer.",
			Buckets: []float64{0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30},
		}, labels),
		tenants: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "weldline_ingress_tenant_requests_total", Help: "Requests of tenants with a limit, by whether it let them through.",
		}, []string{"tenant", "outcome"}),
		crashes: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "weldline_ingress_machines_examined_total", Help: "Machines whose answers broke off, by what had become of them.",
		}, []string{"verdict"}),
		drained: drainlog.NewGauge(registry, "weldline_ingress_zone_drained"),
		permits: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "weldline_ingress_permits_total", Help: "Permits asked for sends to machines that warm up or name a limit, by what came of them.",
		}, []string{"outcome"}),
		withheld: factory.NewCounter(prometheus.CounterOpts{
			Name: "weldline_ingress_withheld_total", Help: "Places that were given back since the request may not be served there any more.",
		}),
		sends: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "weldline_ingress_sends_total", Help: "Requests sent to machines, by how near these are.",
		}, []string{"nearness"}),
		limited: factory.NewGauge(prometheus.GaugeOpts{
			Name: "weldline_ingress_limited_machines", Help: "Machines that name how many requests a second they take.",
		}),
		rests: factory.NewCounter(prometheus.CounterOpts{
			Name: "weldline_ingress_rests_total", Help: "Rejections of machines that asked this node for a rest.",
		}),
		resting: factory.NewGauge(prometheus.GaugeOpts{
			Name: "weldline_ingress_resting_machines", Help: "Machines that get nothing from this node, as they asked for.",
		}),
		leaving: factory.NewGauge(prometheus.GaugeOpts{
			Name: "weldline_ingress_leaving_machines", Help: "Listed machines that said in an answer that they are leaving.",
		}),
		invalidStatements: factory.NewCounter(prometheus.CounterOpts{
			Name: "weldline_ingress_invalid_statements_total", Help: "Headers of answers in which machines state something that can't be used.",
		}),
		series: map[string]bool{},
	}
}

// observeTenant counts a request of a tenant with a limit.
func (m *Metrics) observeTenant(tenant string, admitted bool) {
	outcome := "limited"
	if admitted {
		outcome = "admitted"
	}
	m.tenants.WithLabelValues(m.seriesOf(tenant), outcome).Inc()
}

// permitOutcome is what came of a permit that was asked for.
type permitOutcome string

const (
	permitGranted permitOutcome = "granted"
	permitRefused permitOutcome = "refused"
	// permitUnanswered: the leader could not be asked, or did not answer in time.
	permitUnanswered permitOutcome = "unanswered"
	// permitExpired: it was over before the request could be written.
	permitExpired permitOutcome = "expired"
)

func (m *Metrics) observePermit(outcome permitOutcome) {
	m.permits.WithLabelValues(string(outcome)).Inc()
}

// observeExamined counts a machine whose answers broke off.
func (m *Metrics) observeExamined(verdict quarantine.Verdict) {
	m.crashes.WithLabelValues(verdict.String()).Inc()
}

// observeSent counts a request that goes to a machine.
func (m *Metrics) observeSent(nearness places.Proximity) {
	m.sends.WithLabelValues(nearness.String()).Inc()
}

func (m *Metrics) seriesOf(tenant string) string {
	m.seriesMutex.Lock()
	defer m.seriesMutex.Unlock()
	if m.series[tenant] {
		return tenant
	}
	if len(m.series) >= maxTenantSeries {
		return otherTenants
	}
	m.series[tenant] = true
	return tenant
}

func (m *Metrics) observe(route *Route, outcome string, elapsed time.Duration) {
	kind := v1.RouteKind("none")
	if route != nil {
		kind = route.Spec.Kind
	}
	m.requests.WithLabelValues(string(kind), outcome).Inc()
	m.seconds.WithLabelValues(string(kind), outcome).Observe(elapsed.Seconds())
}
