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
	// ReadWindow bounds the time from the arrival of an order at a process to its last reading of
	// the state. Together with StallThreshold it is below the second after which operators turn to
	// another node.
	ReadWindow = 500 * time.Millisecond
	// SettleDelay is how long an order rests before it is looked at, so that the close of a
	// connection whose request was sent again by TCP, after its caller had left, is seen: it
	// follows a round trip behind.
	SettleDelay = 20 * time.Millisecond
)

// ZoneStatus is what is known of a zone's name.
type ZoneStatus int

// What may be known of a name.
const (
	// Unknown: there are zones, and it is none of them.
	ZoneUnknown ZoneStatus = iota
	// Known: a zone has the name.
	ZoneKnown
	// ZonesNotReported: neither the settings nor any machine tell of zones.
	ZonesNotReported
)

// ZoneStatusOf tells what a state and a table of zones say of a name.
func ZoneStatusOf(machine *state.Machine, table []string, zone string) ZoneStatus {
	if slices.Contains(table, zone) {
		return ZoneKnown
	}
	knowledge := ZoneUnknown
	if len(table) == 0 {
		knowledge = ZonesNotReported
	}
	machine.Each(func(_ *wirepb.Object, spec v1.Spec) {
		declared, isMachine := spec.(*v1.MachineSpec)
		switch {
		case !isMachine:
		case declared.Zone == zone && zone != "":
			knowledge = ZoneKnown
		case knowledge == ZonesNotReported:
			knowledge = ZoneUnknown
		}
	})
	return knowledge
}

// NewWrite is the write of an order that has read the zone's object at a revision, 0 for none.
func NewWrite(zone string, drained bool, revision uint64, now time.Time) (*wirepb.ObjectWrite, error) {
	spec, err := json.Marshal(v1.ZoneDrainSpec{Drained: drained})
	if err != nil {
		return nil, fault.Internal.Wrap(err, "encoding a drain")
	}
	// With a status the write always makes a new revision.
	status, err := json.Marshal(v1.ZoneDrainStatus{OrderedAt: now.UTC()})
	if err != nil {
		return nil, fault.Internal.Wrap(err, "encoding a drain's status")
	}
	return &wirepb.ObjectWrite{
		Operation: wirepb.ObjectWrite_OPERATION_PUT, ExpectedRevision: &revision,
		Object: &wirepb.Object{Kind: string(v1.KindZoneDrain), Name: zone, Spec: spec, Status: status},
	}, nil
}
