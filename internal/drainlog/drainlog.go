// Package drainlog shows operators which drains of zones a router acts by.
//
// The problem: an order is acknowledged once it is in the log, while each router acts by it only
// when it has come there. Who looks for a late request must see when that was.
//
// The mechanism: each router logs an order when it comes into force there, with its age, and shows
// the zones that are drained in a metric.
package drainlog

import (
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/weldline/weldline/internal/nodeview"
)

// Log tells of each drain that comes into force at a node, or ends there, once.
type Log struct {
	logger *slog.Logger
	gauge  *prometheus.GaugeVec
	held   map[string]nodeview.ZoneDrain
}

// New returns a log that has told of nothing. The gauge has the label "zone".
func New(logger *slog.Logger, gauge *prometheus.GaugeVec) *Log {
	return &Log{logger: logger, gauge: gauge, held: map[string]nodeview.ZoneDrain{}}
}

// NewGauge registers the gauge of the zones that are drained at a node.
func NewGauge(registry prometheus.Registerer, name string) *prometheus.GaugeVec {
	return promauto.With(registry).NewGaugeVec(prometheus.GaugeOpts{
		Name: name, Help: "1 while a zone that has ever been drained is drained, as this node has it in force.",
	}, []string{"zone"})
}

// Update notes that the node acts by these orders from now on.
func (l *Log) Update(now time.Time, drains map[string]nodeview.ZoneDrain) {
	for zone, drain := range drains {
		before := l.held[zone]
		l.held[zone] = drain
		value := 0.0
		if drain.Drained {
			value = 1
		}
		l.gauge.WithLabelValues(zone).Set(value)
		if before.Drained != drain.Drained {
			l.logger.Info("drain_in_force", "zone", zone, "drained", drain.Drained, "revision", drain.Revision,
				"age_ms", now.Sub(drain.OrderedAt).Milliseconds())
		}
	}
}
