package node

import (
	"net/http"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/weldline/weldline/internal/problem"
	"github.com/weldline/weldline/internal/wire"
)

// adminHandler serves /metrics, /healthz (the process works) and /readyz (it
// should get requests).
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
	if n.control != nil && !n.control.HasLeader() {
		return "there is no leader"
	}
	return ""
}

func registerTraffic(registry *prometheus.Registry, counters *wire.Counters) {
	register := func(name, help string, read func() uint64) {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 {
			return float64(read())
		}))
	}
	register("weldline_wire_sent_bytes_total", "Bytes sent to other processes.", counters.BytesSent.Load)
	register("weldline_wire_received_bytes_total", "Bytes received from other processes.", counters.BytesReceived.Load)
	register("weldline_wire_sent_messages_total", "Messages sent to other processes.", counters.MessagesSent.Load)
	register("weldline_wire_received_messages_total", "Messages received from other processes.", counters.MessagesReceived.Load)
}
