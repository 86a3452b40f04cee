package ingress

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/drainlog"
	"github.com/weldline/weldline/internal/forwarding"
	"github.com/weldline/weldline/internal/link"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/quarantine"
	"github.com/weldline/weldline/internal/upstream"
)

// Metrics are the ingress's metrics.
type Metrics struct {
	requests       *prometheus.CounterVec
	duration       *prometheus.HistogramVec
	tenantRequests *prometheus.CounterVec
	examined       *prometheus.CounterVec
	drained        *prometheus.GaugeVec
	permits        *prometheus.CounterVec
	withheld       prometheus.Counter
	sends          *prometheus.CounterVec
	limited        prometheus.Gauge
	// backOffs counts responses that asked to back off.
	backOffs prometheus.Counter
	// backedOff is the number of machines that get no requests because they asked to back off.
	backedOff prometheus.Gauge
	leaving   prometheus.Gauge
	// brittle is the number of machines that get requests only within their stated rejections.
	brittle prometheus.Gauge
	// forwards counts the requests sent to other routers.
	forwards *prometheus.CounterVec
	// unreachable is the number of machines without a working path; isolated is 1 while there is none to
	// any machine.
	unreachable, isolated prometheus.Gauge
	// routers counts the known other routers by status while this one is isolated.
	routers *prometheus.GaugeVec
	// resumes counts the requests that take a stream up, by what is known of its origin.
	resumes *prometheus.CounterVec
	// retryRouters is the divisor of the retry budgets' slack, retries counts what became of retries.
	retryRouters prometheus.Gauge
	retries      *prometheus.CounterVec
	// originsEvicted counts the origins of streams that were dropped for want of room, originsNotCopied those
	// that another router did not get.
	originsEvicted, originsNotCopied prometheus.Counter
	// bodies counts the relayed response bodies.
	bodies *prometheus.CounterVec
	// connections counts the accepted connections by whether they were read, and connectionWait is how long they
	// waited until then.
	connections    *prometheus.CounterVec
	connectionWait prometheus.Histogram
	// connects measures how long connections to machines and other routers take to open.
	connects *prometheus.HistogramVec
	// invalidStatements counts response headers that could not be parsed.
	invalidStatements prometheus.Counter

	tenantMutex sync.Mutex
	// tenantSeries are the tenants that have a label value of their own.
	tenantSeries map[string]bool
}

const (
	maxTenantSeries = 200
	// otherTenants is the label of the tenants beyond maxTenantSeries.
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
		duration: factory.NewHistogramVec(prometheus.HistogramOpts{
			Name: "weldline_ingress_request_seconds", Help: "Time from the head of a request to the end of its answer.",
			Buckets: []float64{0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30},
		}, labels),
		tenantRequests: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "weldline_ingress_tenant_requests_total", Help: "Requests of tenants with a limit, by whether it let them through.",
		}, []string{"tenant", "outcome"}),
		examined: factory.NewCounterVec(prometheus.CounterOpts{
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
		backOffs: factory.NewCounter(prometheus.CounterOpts{
			Name: "weldline_ingress_rests_total", Help: "Rejections of machines that asked this node for a rest.",
		}),
		backedOff: factory.NewGauge(prometheus.GaugeOpts{
			Name: "weldline_ingress_resting_machines", Help: "Machines that get nothing from this node, as they asked for.",
		}),
		leaving: factory.NewGauge(prometheus.GaugeOpts{
			Name: "weldline_ingress_leaving_machines", Help: "Listed machines that said in an answer that they are leaving.",
		}),
		retryRouters: factory.NewGauge(prometheus.GaugeOpts{
			Name: "weldline_ingress_retry_routers", Help: "Routers among which the slack of the retry budgets is divided; 0 while this node must not use its share.",
		}),
		retries: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "weldline_ingress_retries_total", Help: "Retries by what the budget allowed: reserved, refused, sent or released (reserved and not sent).",
		}, []string{"outcome"}),
		brittle: factory.NewGauge(prometheus.GaugeOpts{
			Name: "weldline_ingress_brittle_machines", Help: "Machines that state, or whose pool states, how many rejections they bear.",
		}),
		forwards: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "weldline_ingress_forwards_total", Help: "Requests sent to other routers for want of a path to a machine, by outcome.",
		}, []string{"outcome"}),
		unreachable: factory.NewGauge(prometheus.GaugeOpts{
			Name: "weldline_ingress_unreachable_machines", Help: "Machines that this node can't open connections to.",
		}),
		routers: factory.NewGaugeVec(prometheus.GaugeOpts{
			Name: "weldline_ingress_known_routers", Help: "Other routers that requests may be forwarded to, by status, as of this node's last isolation.",
		}, []string{"status"}),
		isolated: factory.NewGauge(prometheus.GaugeOpts{
			Name: "weldline_ingress_isolated", Help: "1 while this node seems to have no path to any machine.",
		}),
		resumes: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "weldline_ingress_resumes_total",
			Help: "Requests that take a stream up: bound to the version that began it, uniform (there is one version only), gone (no machine runs it any more) or unknown.",
		}, []string{"outcome"}),
		originsEvicted: factory.NewCounter(prometheus.CounterOpts{
			Name: "weldline_ingress_stream_origins_evicted_total", Help: "Origins of streams dropped for want of room.",
		}),
		originsNotCopied: factory.NewCounter(prometheus.CounterOpts{
			Name: "weldline_ingress_stream_origins_not_copied_total", Help: "Origins of streams that another router did not get.",
		}),
		bodies: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "weldline_ingress_response_bodies_total",
			Help: "Relayed response bodies by framing (length, chunked, close) and end (eof, inside_event: eof within an event of a stream, error).",
		}, []string{"framing", "end"}),
		connections: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "weldline_ingress_connections_total", Help: "Accepted connections, read or closed unread because this node is overloaded.",
		}, []string{"outcome"}),
		connectionWait: factory.NewHistogram(prometheus.HistogramOpts{
			Name: "weldline_ingress_connection_wait_seconds", Help: "Time from the acceptance of a connection until this node had time to read it.",
			Buckets: []float64{0.001, 0.005, 0.025, 0.05, 0.1, 0.25, 0.5, 1},
		}),
		connects: factory.NewHistogramVec(prometheus.HistogramOpts{
			Name: "weldline_ingress_connect_seconds", Help: "Time to open a connection, or until the attempt failed.",
			Buckets: []float64{0.001, 0.005, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2},
		}, []string{"peer", "outcome"}),
		invalidStatements: factory.NewCounter(prometheus.CounterOpts{
			Name: "weldline_ingress_invalid_statements_total", Help: "Headers of answers in which machines state something that can't be used.",
		}),
		tenantSeries: map[string]bool{},
	}
}

// Outcomes of retries in metrics.
const (
	retryReserved = "reserved"
	retryRefused  = "refused"
	retrySent     = "sent"
	retryReleased = "released"
)

func (m *Metrics) observeRetry(outcome string) {
	m.retries.WithLabelValues(outcome).Inc()
}

// observeAdmission records how long a connection waited to be read, and whether it was.
func (m *Metrics) observeAdmission(waited time.Duration, admitted bool) {
	outcome := "read"
	if !admitted {
		outcome = "closed_unread"
	}
	m.connections.WithLabelValues(outcome).Inc()
	m.connectionWait.Observe(waited.Seconds())
}

// peerKind is the kind of peer that a connection is opened to.
type peerKind string

const (
	toMachine peerKind = "machine"
	toRouter  peerKind = "router"
)

// observeDial records how long an attempt to open a connection took.
func (m *Metrics) observeDial(peer peerKind, elapsed time.Duration, err error) {
	outcome := "connected"
	if err != nil {
		outcome = "failed"
	}
	m.connects.WithLabelValues(string(peer), outcome).Observe(elapsed.Seconds())
}

// RegisterLink registers the metrics of a node's link.
func RegisterLink(registry prometheus.Registerer, meter *link.Meter) {
	factory := promauto.With(registry)
	register := func(direction string, bytes func(load link.Load) uint64, wait func(load link.Load) time.Duration) {
		labels := prometheus.Labels{"direction": direction}
		factory.NewCounterFunc(prometheus.CounterOpts{
			Name: "weldline_ingress_link_bytes_total", Help: "Payload of requests and responses that passed this node's link.", ConstLabels: labels,
		}, func() float64 { return float64(bytes(meter.Load(time.Now()))) })
		factory.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "weldline_ingress_link_wait_seconds", Help: "Estimated time that packets wait for this node's link; 0 if its rate is unknown.", ConstLabels: labels,
		}, func() float64 { return wait(meter.Load(time.Now())).Seconds() })
	}
	register("sent", func(load link.Load) uint64 { return load.SentBytes }, func(load link.Load) time.Duration { return load.SendWait })
	register("received", func(load link.Load) uint64 { return load.ReceivedBytes }, func(load link.Load) time.Duration { return load.ReceiveWait })
}

// setRouters sets the numbers of known routers by status.
func (m *Metrics) setRouters(counts map[forwarding.Status]int) {
	for _, status := range []forwarding.Status{forwarding.StatusUnknown, forwarding.StatusConnected, forwarding.StatusIsolated, forwarding.StatusFailed} {
		m.routers.WithLabelValues(status.String()).Set(float64(counts[status]))
	}
}

// setPaths sets the number of machines without a working path and whether there is none to any.
func (m *Metrics) setPaths(unreachable int, isolated bool) {
	m.unreachable.Set(float64(unreachable))
	m.isolated.Set(0)
	if isolated {
		m.isolated.Set(1)
	}
}

// observeTenant counts a request of a tenant that has a limit.
func (m *Metrics) observeTenant(tenant string, admitted bool) {
	outcome := "limited"
	if admitted {
		outcome = "admitted"
	}
	m.tenantRequests.WithLabelValues(m.tenantLabel(tenant), outcome).Inc()
}

type permitOutcome string

const (
	permitGranted permitOutcome = "granted"
	permitRefused permitOutcome = "refused"
	// permitUnanswered: the leader was unreachable or did not reply in time.
	permitUnanswered permitOutcome = "unanswered"
	// permitExpired: the permit expired before the request was written.
	permitExpired permitOutcome = "expired"
)

func (m *Metrics) observePermit(outcome permitOutcome) {
	m.permits.WithLabelValues(string(outcome)).Inc()
}

// observeExamined counts a machine that was probed after its responses broke off.
func (m *Metrics) observeExamined(verdict quarantine.Verdict) {
	m.examined.WithLabelValues(verdict.String()).Inc()
}

func (m *Metrics) observeSent(proximity places.Proximity) {
	m.sends.WithLabelValues(proximity.String()).Inc()
}

func (m *Metrics) tenantLabel(tenant string) string {
	m.tenantMutex.Lock()
	defer m.tenantMutex.Unlock()
	if m.tenantSeries[tenant] {
		return tenant
	}
	if len(m.tenantSeries) >= maxTenantSeries {
		return otherTenants
	}
	m.tenantSeries[tenant] = true
	return tenant
}

// observeBody counts a relayed body.
func (m *Metrics) observeBody(framing upstream.Framing, insideEvent, failed bool) {
	end := "eof"
	switch {
	case failed:
		end = "error"
	case insideEvent:
		end = "inside_event"
	}
	m.bodies.WithLabelValues(framing.String(), end).Inc()
}

func (m *Metrics) observe(route *Route, outcome string, elapsed time.Duration) {
	kind := v1.RouteKind("none")
	if route != nil {
		kind = route.Spec.Kind
	}
	m.requests.WithLabelValues(string(kind), outcome).Inc()
	m.duration.WithLabelValues(string(kind), outcome).Observe(elapsed.Seconds())
}
