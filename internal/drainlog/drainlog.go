// Package drainlog logs when a zone drain takes effect on a router, and exports the
// drained zones as a metric.
//
// A drain is acknowledged once it is committed, but each router applies it when it
// receives the new state. The log shows when that was.
package drainlog

import (
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/weldline/weldline/internal/nodeview"
)

// Log logs the start and end of each zone drain on a node once.
type Log struct {
	logger *slog.Logger
	gauge  *prometheus.GaugeVec
	drains map[string]nodeview.ZoneDrain
}

// New returns a log without drained zones. The gauge has the label "zone".
func New(logger *slog.Logger, gauge *prometheus.GaugeVec) *Log {
	return &Log{logger: logger, gauge: gauge, drains: map[string]nodeview.ZoneDrain{}}
}

// NewGauge registers a gauge of the zones that are drained on a node.
func NewGauge(registry prometheus.Registerer, name string) *prometheus.GaugeVec {
	return promauto.With(registry).NewGaugeVec(prometheus.GaugeOpts{
		Name: name, Help: "1 while a zone that has ever been drained is drained, as this node has it in force.",
	}, []string{"zone"})
}

// Update records the drains that the node has applied, and logs changes.
func (l *Log) Update(now time.Time, drains map[string]nodeview.ZoneDrain) {
	for zone, drain := range drains {
		previous := l.drains[zone]
		l.drains[zone] = drain
		value := 0.0
		if drain.Drained {
			value = 1
		}
		l.gauge.WithLabelValues(zone).Set(value)
		if previous.Drained != drain.Drained {
			l.logger.Info("drain_in_force", "zone", zone, "drained", drain.Drained, "revision", drain.Revision,
				"age_ms", now.Sub(drain.OrderedAt).Milliseconds())
		}
	}
}
