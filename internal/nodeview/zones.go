package nodeview

import (
	"encoding/json"
	"maps"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// ZoneDrain is the newest drain order of a zone.
type ZoneDrain struct {
	Drained  bool
	Revision uint64
	// OrderedAt is the time of the order by another machine's clock, or zero if unknown.
	OrderedAt time.Time
}

func zoneDrainOf(object *wirepb.Object, spec *v1.ZoneDrainSpec) ZoneDrain {
	var status v1.ZoneDrainStatus
	if len(object.GetStatus()) > 0 && json.Unmarshal(object.GetStatus(), &status) != nil {
		status = v1.ZoneDrainStatus{} // From a later release: only the time, which is used for logs, is lost.
	}
	return ZoneDrain{Drained: spec.Drained, Revision: object.GetRevision(), OrderedAt: status.OrderedAt}
}

// isDrained reports whether a machine's zone is drained. The caller must hold the mutex.
func (v *View) isDrained(machine Machine) bool {
	return v.zoneDrains[machine.Spec.Zone].Drained
}

// ZoneDrained reports whether a zone is drained. It is checked again before a request is sent, since
// the zone may have been drained after the machine was chosen.
func (v *View) ZoneDrained(zone string) bool {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.zoneDrains[zone].Drained
}

// ZoneDrains returns a copy of the drain orders by zone.
func (v *View) ZoneDrains() map[string]ZoneDrain {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return maps.Clone(v.zoneDrains)
}
