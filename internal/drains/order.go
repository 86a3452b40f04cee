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
	// LookTime bounds the time from the arrival of an order at a process to its last reading of
	// the state. Together with StallGap it is below the second after which operators turn to
	// another node.
	LookTime = 500 * time.Millisecond
	// SettleTime is how long an order rests before it is looked at, so that the close of a
	// connection whose request was sent again by TCP, after its caller had left, is seen: it
	// follows a round trip behind.
	SettleTime = 20 * time.Millisecond
)

// Knowledge is what is known of a zone's name.
type Knowledge int

// What may be known of a name.
const (
	// Unknown: there are zones, and it is none of them.
	Unknown Knowledge = iota
	// Known: a zone has the name.
	Known
	// NotToldYet: neither the settings nor any machine tell of zones.
	NotToldYet
)

// KnowledgeOf tells what a state and a table of zones say of a name.
func KnowledgeOf(machine *state.Machine, table []string, zone string) Knowledge {
	if slices.Contains(table, zone) {
		return Known
	}
	knowledge := Unknown
	if len(table) == 0 {
		knowledge = NotToldYet
	}
	machine.Each(func(_ *wirepb.Object, spec v1.Spec) {
		declared, isMachine := spec.(*v1.MachineSpec)
		switch {
		case !isMachine:
		case declared.Zone == zone && zone != "":
			knowledge = Known
		case knowledge == NotToldYet:
			knowledge = Unknown
		}
	})
	return knowledge
}

// Write is the write of an order that has read the zone's object at a revision, 0 for none.
func Write(zone string, drained bool, revision uint64, now time.Time) (*wirepb.ObjectWrite, error) {
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
