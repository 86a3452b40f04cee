package nodeview

import (
	"encoding/json"
	"maps"
	"time"

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
