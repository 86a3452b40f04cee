package node

import (
	"net/http"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/weldline/weldline/internal/problem"
	"github.com/weldline/weldline/internal/wire"
)

// adminHandler serves /metrics, /healthz (the process is alive) and /readyz (the node accepts
// requests).
func (n *Node) adminHandler() http.Handler {
	routes := mux.NewRouter()
	routes.Handle("/metrics", promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{}))
	routes.HandleFunc("/healthz", func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusOK)
	})
	routes.HandleFunc("/readyz", func(writer http.ResponseWriter, _ *http.Request) {
		if reason := n.notReady(); reason != "" {
			problem.New(problem.TypeUnavailable, http.StatusServiceUnavailable, reason).Write(writer)
			return
		}
		writer.WriteHeader(http.StatusOK)
	})
	return routes
}

func (n *Node) notReady() string {
	if n.stopped.Load() {
		return "the node is stopping"
	}
	if n.router != nil && n.router.gateway.Draining() {
		return "the router is draining"
	}
	if n.router != nil && !n.router.view.Current() {
		return "the configuration is not current yet"
	}
	if n.ingress != nil && !n.ingress.ingress.Ready() {
		return "the ingress is not ready"
	}
	if n.control != nil && !n.control.HasLeader() {
		return "there is no leader"
	}
	return ""
}

// trafficCollector exports the traffic with other processes by kind of message.
type trafficCollector struct {
	counters *wire.Counters
	bytes    *prometheus.Desc
	messages *prometheus.Desc
	network  *prometheus.Desc
}

func newTrafficCollector(counters *wire.Counters) *trafficCollector {
	labels := []string{"kind", "nearness", "direction"}
	return &trafficCollector{
		counters: counters,
		bytes:    prometheus.NewDesc("weldline_wire_bytes_total", "Bytes of messages exchanged with other processes, before they are compressed.", labels, nil),
		messages: prometheus.NewDesc("weldline_wire_messages_total", "Messages exchanged with other processes.", labels, nil),
		network: prometheus.NewDesc("weldline_wire_network_bytes_total", "Bytes exchanged with other processes as they go over the network.",
			[]string{"nearness", "direction"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *trafficCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- c.bytes
	descriptions <- c.messages
	descriptions <- c.network
}

// Collect implements prometheus.Collector.
func (c *trafficCollector) Collect(metrics chan<- prometheus.Metric) {
	send := func(description *prometheus.Desc, value uint64, traffic wire.KindTraffic, direction string) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(value), traffic.Kind, traffic.Proximity.String(), direction)
	}
	for _, traffic := range c.counters.Traffic() {
		send(c.bytes, traffic.BytesSent, traffic, "sent")
		send(c.bytes, traffic.BytesReceived, traffic, "received")
		send(c.messages, traffic.MessagesSent, traffic, "sent")
		send(c.messages, traffic.MessagesReceived, traffic, "received")
	}
	for _, traffic := range c.counters.Network() {
		proximity := traffic.Proximity.String()
		metrics <- prometheus.MustNewConstMetric(c.network, prometheus.CounterValue, float64(traffic.Sent), proximity, "sent")
		metrics <- prometheus.MustNewConstMetric(c.network, prometheus.CounterValue, float64(traffic.Received), proximity, "received")
	}
}
