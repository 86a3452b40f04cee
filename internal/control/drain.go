package control

import (
	"context"
	"encoding/json"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// An operator sends an order again to another node when there is no answer for about a second,
// and may order the opposite once one was acknowledged. No earlier order may take effect after
// a later one, however long a node, a link or the log held it:
//
//   - An order is written on condition of the revision that it read, and every acknowledged
//     order, also one that changes nothing, makes a new revision. What read before a later
//     order was acknowledged is refused.
//   - An order reads the state only within drainLookTime of its arrival at this process, and a
//     process that was stalled takes no orders. So it reads while its caller still waits, which
//     is before any later order of that caller.
const (
	// drainLookTime bounds the time from the call to the last reading of the state. Together
	// with stallGap it is below the second after which operators turn to another node.
	drainLookTime = 500 * time.Millisecond
	// drainWriteTime bounds the whole call.
	drainWriteTime = 900 * time.Millisecond
	// drainSettleTime is how long an order rests before it is looked at, so that the close of a
	// connection whose request was sent again by TCP, after its caller had left, is seen: it
	// follows a round trip behind.
	drainSettleTime = 20 * time.Millisecond
)

// DrainZone orders that the machines of a zone get no requests, or that they get them again.
// Without an error the order is committed. The same order may be given again.
func (n *Node) DrainZone(ctx context.Context, zone string, drained bool) error {
	order := &drainOrder{node: n, zone: zone, drained: drained, begun: n.now()}
	if n.stalls.stalled(order.begun) {
		return fault.Unavailable.New("this node was stalled: it can't tell how old the order is")
	}
	ctx, cancel := context.WithTimeout(ctx, drainWriteTime)
	defer cancel()
	pause(ctx, drainSettleTime)
	for {
		written, err := order.tryOnce(ctx)
		if err != nil {
			return err
		}
		if written {
			return nil
		}
	}
}

// drainOrder is one call of an operator.
type drainOrder struct {
	node    *Node
	zone    string
	drained bool
	begun   time.Duration
}

// tryOnce reads the state and writes by it; written is false if another order came in between.
func (o *drainOrder) tryOnce(ctx context.Context) (written bool, err error) {
	if err := o.node.Barrier(ctx); err != nil {
		return false, err
	}
	held, err := o.look()
	if err != nil {
		return false, err
	}
	// Looked at after the reading: a process may be stopped at any point before it.
	if ctx.Err() != nil || o.node.now()-o.begun > drainLookTime {
		return false, fault.Unavailable.New("the order could not be looked at in time")
	}
	write, err := drainWrite(o.zone, o.drained, held.GetRevision(), time.Now())
	if err != nil {
		return false, err
	}
	command := &wirepb.Command{Body: &wirepb.Command_Write{Write: &wirepb.WriteCommand{Writes: []*wirepb.ObjectWrite{write}}}}
	result, err := o.node.Propose(ctx, command)
	if err != nil {
		return false, err
	}
	switch result.GetCode() {
	case wirepb.ResultCode_RESULT_CODE_OK:
		o.logWritten(held, result.GetWrite().GetRevision())
		return true, nil
	case wirepb.ResultCode_RESULT_CODE_CONFLICT:
		return false, nil
	}
	return false, fault.Unavailable.New("the order was not written: %s", result.GetMessage())
}

// look returns the zone's object, nil if there is none.
func (o *drainOrder) look() (*wirepb.Object, error) {
	var held *wirepb.Object
	knowledge := zoneUnknown
	o.node.Read(func(machine *state.Machine) {
		held = machine.Get(v1.KindZoneDrain, o.zone)
		knowledge = zoneKnowledgeOf(machine, o.node.settings.Position().Map.Zones(), o.zone)
	})
	switch {
	case held != nil || knowledge == zoneKnown:
		return held, nil
	case knowledge == zonesNotToldYet:
		return nil, fault.Unavailable.New("no zone is known yet")
	}
	return nil, fault.InvalidField("zone", "%q is not a zone of this cluster", o.zone)
}

// zoneKnowledge is what is known of a zone's name.
type zoneKnowledge int

const (
	zoneUnknown zoneKnowledge = iota
	zoneKnown
	// zonesNotToldYet: neither the settings nor any machine tell of zones.
	zonesNotToldYet
)

func zoneKnowledgeOf(machine *state.Machine, table []string, zone string) zoneKnowledge {
	for _, listed := range table {
		if listed == zone {
			return zoneKnown
		}
	}
	knowledge := zoneUnknown
	if len(table) == 0 {
		knowledge = zonesNotToldYet
	}
	machine.Each(func(_ *wirepb.Object, spec v1.Spec) {
		declared, isMachine := spec.(*v1.MachineSpec)
		switch {
		case !isMachine:
		case declared.Zone == zone && zone != "":
			knowledge = zoneKnown
		case knowledge == zonesNotToldYet:
			knowledge = zoneUnknown
		}
	})
	return knowledge
}

// drainWrite is the write of an order that has read the zone's object at a revision, 0 for none.
func drainWrite(zone string, drained bool, revision uint64, now time.Time) (*wirepb.ObjectWrite, error) {
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

func (o *drainOrder) logWritten(held *wirepb.Object, revision uint64) {
	before, err := v1.DecodeSpec(v1.KindZoneDrain, held.GetSpec())
	previous, known := before.(*v1.ZoneDrainSpec)
	repeated := held != nil && err == nil && known && previous.Drained == o.drained
	o.node.metrics.observeDrainOrder(o.drained)
	fields := []any{"zone", o.zone, "revision", revision, "repeated", repeated, "took_ms", (o.node.now() - o.begun).Milliseconds()}
	if o.drained {
		o.node.logger.Info("zone_drained", fields...)
	} else {
		o.node.logger.Info("zone_undrained", fields...)
	}
}
