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

// drainTime bounds a whole order: below the second after which operators turn elsewhere.
const drainTime = 900 * time.Millisecond

// DrainZone orders that the machines of a zone get no requests, or that they get them again.
// Without an error the order is committed. The same order may be given again.
func (n *Node) DrainZone(ctx context.Context, zone string, drained bool) error {
	order := &drainOrder{node: n, zone: zone, drained: drained, begun: n.now()}
	if n.stalls.stalled(order.begun) {
		return fault.Unavailable.New("this node was stalled: it can't tell how old the order is")
	}
	ctx, cancel := context.WithTimeout(ctx, drainTime)
	defer cancel()
	pause(ctx, drains.SettleDelay)
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

// drainOrder is one call of an operator; begun is when it arrived, by the clock that counts sleep.
type drainOrder struct {
	node    *Node
	zone    string
	drained bool
	begun   time.Duration
}

// tryOnce reads the state and writes by it; written is false if another order came in between.
func (o *drainOrder) tryOnce(ctx context.Context) (written bool, err error) {
	if err := o.catchUp(ctx); err != nil {
		return false, err
	}
	held, err := o.look()
	if err != nil {
		return false, err
	}
	return o.write(ctx, held)
}

// write proposes the order by what was read.
func (o *drainOrder) write(ctx context.Context, held *wirepb.Object) (written bool, err error) {
	// Looked at after the reading: a process may be stopped at any point before it.
	if ctx.Err() != nil || o.node.now()-o.begun > drains.ReadWindow {
		return false, fault.Unavailable.New("the order could not be looked at in time")
	}
	write, err := drains.NewWrite(o.zone, o.drained, held.GetRevision(), time.Now())
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

// catchUp waits until this node holds what was committed when the order came, for as long as
// there is time to look: where there is no leader, the operator turns to another node sooner.
func (o *drainOrder) catchUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, drains.ReadWindow-(o.node.now()-o.begun))
	defer cancel()
	return o.node.Barrier(ctx)
}

// look returns the zone's object, nil if there is none.
func (o *drainOrder) look() (*wirepb.Object, error) {
	var held *wirepb.Object
	knowledge := drains.ZoneUnknown
	o.node.Read(func(machine *state.Machine) {
		held = machine.Get(v1.KindZoneDrain, o.zone)
		knowledge = drains.ZoneStatusOf(machine, o.node.settings.Position().Zones.Zones(), o.zone)
	})
	switch {
	case held != nil || knowledge == drains.ZoneKnown:
		return held, nil
	case knowledge == drains.ZonesNotReported:
		return nil, fault.Unavailable.New("no zone is known yet")
	}
	return nil, fault.InvalidField("zone", "%q is not a zone of this cluster", o.zone)
}

// logWritten tells that an order was committed. An earlier one that can't be decoded counts as
// another order: only the line in the log says less.
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

// stallGuard is a StallWatch for concurrent use.
type stallGuard struct {
	mutex sync.Mutex
	watch drains.StallDetector
}

func (g *stallGuard) run(now time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.watch.Tick(now)
}

func (g *stallGuard) stalled(now time.Duration) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.watch.Stalled(now)
}

// watchStalls runs on a goroutine of its own: the loop of the log waits for its disk.
func (n *Node) watchStalls(ctx context.Context) {
	ticker := time.NewTicker(drains.StallCheckInterval)
	defer ticker.Stop()
	for {
		n.stalls.run(n.now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
