package control

import (
	"context"
	"sync"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/drains"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// drainOrderTimeout is below one second, after which operators try another node.
const drainOrderTimeout = 900 * time.Millisecond

// DrainZone orders that the machines of a zone receive no requests, or that they receive them
// again. If it returns no error, the order is committed. It is idempotent.
func (n *Node) DrainZone(ctx context.Context, zone string, drained bool) error {
	order := &drainOrder{node: n, zone: zone, drained: drained, receivedAt: n.now()}
	if n.stallDetector.stalled(order.receivedAt) {
		return fault.Unavailable.New("this node was stalled: it can't tell how old the order is")
	}
	ctx, cancel := context.WithTimeout(ctx, drainOrderTimeout)
	defer cancel()
	sleepContext(ctx, drains.SettleDelay)
	for {
		written, err := order.attempt(ctx)
		if err != nil {
			return err
		}
		if written {
			return nil
		}
	}
}

// drainOrder is one call of an operator. receivedAt is the time by Node.now, which includes the time
// that the machine was suspended.
type drainOrder struct {
	node       *Node
	zone       string
	drained    bool
	receivedAt time.Duration
}

// attempt reads the state and writes the order; written is false if a concurrent order conflicted.
func (o *drainOrder) attempt(ctx context.Context) (written bool, err error) {
	if err := o.catchUp(ctx); err != nil {
		return false, err
	}
	zone, err := o.readZone()
	if err != nil {
		return false, err
	}
	return o.write(ctx, zone)
}

// write proposes the order against the revision that was read.
func (o *drainOrder) write(ctx context.Context, zone *wirepb.Object) (written bool, err error) {
	// Checked after the read, since the process may have been suspended before it.
	if ctx.Err() != nil || o.node.now()-o.receivedAt > drains.ReadWindow {
		return false, fault.Unavailable.New("the order could not be looked at in time")
	}
	write, err := drains.NewWrite(o.zone, o.drained, zone.GetRevision(), time.Now())
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
		o.logWritten(zone, result.GetWrite().GetRevision())
		return true, nil
	case wirepb.ResultCode_RESULT_CODE_CONFLICT:
		return false, nil
	}
	return false, fault.Unavailable.New("the order was not written: %s", result.GetMessage())
}

// catchUp waits until this node has applied everything committed when the order arrived. Its
// deadline is shorter than the order's, so that without a leader the operator can try another node.
func (o *drainOrder) catchUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, drains.ReadWindow-(o.node.now()-o.receivedAt))
	defer cancel()
	return o.node.Barrier(ctx)
}

// readZone returns the zone's object, nil if there is none.
func (o *drainOrder) readZone() (*wirepb.Object, error) {
	var held *wirepb.Object
	status := drains.ZoneUnknown
	o.node.Read(func(machine *state.Machine) {
		held = machine.Get(v1.KindZoneDrain, o.zone)
		status = drains.ZoneStatusOf(machine, o.node.settings.Location().Zones.Zones(), o.zone)
	})
	switch {
	case held != nil || status == drains.ZoneKnown:
		return held, nil
	case status == drains.ZonesNotReported:
		return nil, fault.Unavailable.New("no zone is known yet")
	}
	return nil, fault.InvalidField("zone", "%q is not a zone of this cluster", o.zone)
}

// logWritten logs a committed order. An earlier order that can't be decoded is logged as a
// different one.
func (o *drainOrder) logWritten(held *wirepb.Object, revision uint64) {
	spec, err := v1.DecodeSpec(v1.KindZoneDrain, held.GetSpec())
	previous, known := spec.(*v1.ZoneDrainSpec)
	repeated := held != nil && err == nil && known && previous.Drained == o.drained
	o.node.metrics.observeDrainOrder(o.drained)
	fields := []any{"zone", o.zone, "revision", revision, "repeated", repeated, "took_ms", (o.node.now() - o.receivedAt).Milliseconds()}
	if o.drained {
		o.node.logger.Info("zone_drained", fields...)
	} else {
		o.node.logger.Info("zone_undrained", fields...)
	}
}

// stallDetector is a drains.StallDetector for concurrent use.
type stallDetector struct {
	mutex    sync.Mutex
	detector drains.StallDetector
}

func (g *stallDetector) observe(now time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.detector.Tick(now)
}

func (g *stallDetector) stalled(now time.Duration) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.detector.Stalled(now)
}

// watchStalls has a goroutine of its own, since the raft loop blocks on disk writes.
func (n *Node) watchStalls(ctx context.Context) {
	ticker := time.NewTicker(drains.StallCheckInterval)
	defer ticker.Stop()
	for {
		n.stallDetector.observe(n.now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
