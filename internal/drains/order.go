package drains

import (
	"encoding/json"
	"slices"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// ReadWindow bounds the time from the arrival of a request to its last read of the state.
	// Together with StallThreshold it is below the second after which operators turn to another
	// node.
	ReadWindow = 500 * time.Millisecond
	// SettleDelay is how long a request waits before it is processed, so that the end of its
	// connection is noticed if TCP retransmitted the request after the caller had left.
	SettleDelay = 20 * time.Millisecond
)

// ZoneStatus is what is known about a zone's name.
type ZoneStatus int

const (
	// ZoneUnknown: there are zones, but none of that name.
	ZoneUnknown ZoneStatus = iota
	// ZoneKnown: there is a zone of that name.
	ZoneKnown
	// ZonesNotReported: neither the settings nor any machine name a zone.
	ZonesNotReported
)

// ZoneStatusOf looks up a zone in the machines of a state and in the configured zones.
func ZoneStatusOf(machine *state.Machine, configured []string, zone string) ZoneStatus {
	if slices.Contains(configured, zone) {
		return ZoneKnown
	}
	status := ZoneUnknown
	if len(configured) == 0 {
		status = ZonesNotReported
	}
	machine.Each(func(_ *wirepb.Object, spec v1.Spec) {
		machineSpec, isMachine := spec.(*v1.MachineSpec)
		switch {
		case !isMachine:
		case machineSpec.Zone == zone && zone != "":
			status = ZoneKnown
		case status == ZonesNotReported:
			status = ZoneUnknown
		}
	})
	return status
}

// NewWrite returns the write for a request that has read the zone's object at a revision, 0 if
// there is none.
func NewWrite(zone string, drained bool, revision uint64, now time.Time) (*wirepb.ObjectWrite, error) {
	spec, err := json.Marshal(v1.ZoneDrainSpec{Drained: drained})
	if err != nil {
		return nil, fault.Internal.Wrap(err, "encoding a drain")
	}
	// The status ensures that the write creates a new revision.
	status, err := json.Marshal(v1.ZoneDrainStatus{OrderedAt: now.UTC()})
	if err != nil {
		return nil, fault.Internal.Wrap(err, "encoding a drain's status")
	}
	return &wirepb.ObjectWrite{
		Operation: wirepb.ObjectWrite_OPERATION_PUT, ExpectedRevision: &revision,
		Object: &wirepb.Object{Kind: string(v1.KindZoneDrain), Name: zone, Spec: spec, Status: status},
	}, nil
}
