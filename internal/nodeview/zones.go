package nodeview

import (
	"encoding/json"
	"log/slog"
	"maps"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// ZoneDrain is the newest order about a zone that a node knows of.
type ZoneDrain struct {
	// Drained is set while the zone's machines are to get no requests.
	Drained  bool
	Revision uint64
	// OrderedAt is when it was ordered, by another machine's clock; zero if that is not known.
	OrderedAt time.Time
}

func zoneDrainOf(object *wirepb.Object, spec *v1.ZoneDrainSpec) ZoneDrain {
	var status v1.ZoneDrainStatus
	if len(object.GetStatus()) > 0 && json.Unmarshal(object.GetStatus(), &status) != nil {
		status = v1.ZoneDrainStatus{} // Of a later release: only the time is lost, which is for logs.
	}
	return ZoneDrain{Drained: spec.Drained, Revision: object.GetRevision(), OrderedAt: status.OrderedAt}
}

// isDrained reports whether a machine's zone is drained; the mutex must be held.
func (v *View) isDrained(machine Machine) bool {
	return v.zoneDrains[machine.Spec.Zone].Drained
}

// ZoneDrained reports whether the machines of a zone are to get no requests. It is asked again
// right before a request is written to a machine: the order may have come since the machine was
// chosen.
func (v *View) ZoneDrained(zone string) bool {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.zoneDrains[zone].Drained
}

// ZoneDrains returns the orders about zones, by zone.
func (v *View) ZoneDrains() map[string]ZoneDrain {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return maps.Clone(v.zoneDrains)
}

// DrainLog tells of each drain that comes into force at a node, or ends there, once.
type DrainLog struct {
	logger *slog.Logger
	gauge  *prometheus.GaugeVec
	held   map[string]ZoneDrain
}

// NewDrainLog returns a log that has told of nothing. The gauge has the label "zone".
func NewDrainLog(logger *slog.Logger, gauge *prometheus.GaugeVec) *DrainLog {
	return &DrainLog{logger: logger, gauge: gauge, held: map[string]ZoneDrain{}}
}

// NewDrainGauge registers the gauge of the zones that are drained at a node.
func NewDrainGauge(registry prometheus.Registerer, name string) *prometheus.GaugeVec {
	return promauto.With(registry).NewGaugeVec(prometheus.GaugeOpts{
		Name: name, Help: "1 while a zone that has ever been drained is drained, as this node has it in force.",
	}, []string{"zone"})
}

// InForce notes that the node acts by these orders from now on.
func (l *DrainLog) InForce(now time.Time, drains map[string]ZoneDrain) {
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
