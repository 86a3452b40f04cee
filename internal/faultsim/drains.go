package faultsim

import (
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/drains"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// drainTimeout is how long the operator waits for a response. It covers message delays, undetected
	// stalls and the time to read the zone state.
	drainTimeout     = responseTimeout
	maxDrainAttempts = 5
	// drainReplyLossRatio is the number of responses of which one is treated as lost, so that accepted
	// orders are resent.
	drainReplyLossRatio = 4
	// drainGrace is the time after the acknowledgement of a drain during which requests may still
	// arrive.
	drainGrace = propagationTimeout
)

// drainer is an operator that drains and undrains zones, one order at a time. Its process never fails.
type drainer struct {
	process
	queue []zoneOrder
	busy  bool
}

// zoneOrder is an order to drain or undrain a zone.
type zoneOrder struct {
	zone    string
	drained bool
}

// drainZone orders a drain, and an undrain when the fault heals.
func (s *simulation) drainZone(target int) func() {
	if s.drainer == nil {
		s.drainer = &drainer{process: s.newProcess("drainer", zones[0])}
		s.drainer.markUp()
	}
	zone := zones[target%len(zones)]
	s.drainer.order(zoneOrder{zone, true})
	return func() { s.drainer.order(zoneOrder{zone, false}) }
}

func (d *drainer) order(next zoneOrder) {
	d.queue = append(d.queue, next)
	if !d.busy {
		d.startNext()
	}
}

func (d *drainer) startNext() {
	d.busy = len(d.queue) > 0
	if !d.busy {
		return
	}
	order := d.queue[0]
	d.queue = d.queue[1:]
	d.sim.checks.recordDrainOrder(order)
	d.send(order, maxDrainAttempts)
}

// send sends the order to random control nodes until one acknowledges it or all attempts are used.
func (d *drainer) send(order zoneOrder, attempts int) {
	if attempts == 0 {
		d.startNext()
		return
	}
	target := d.sim.controls[d.sim.random.IntN(controlCount)]
	call(&d.process, &target.process, drainTimeout, func(reply func(bool)) {
		target.drainZone(order, reply)
	}, func(accepted, answered bool) {
		lost := d.sim.random.IntN(drainReplyLossRatio) == 0
		if !answered || !accepted || lost {
			d.after(resendDelay, func() { d.send(order, attempts-1) })
			return
		}
		d.sim.checks.recordDrainAcknowledgement(order)
		d.after(resendDelay, d.startNext)
	})
}

// drainZone handles a drain order.
func (c *controlNode) drainZone(order zoneOrder, done func(accepted bool)) {
	begun := c.clock()
	if c.stallDetector.Stalled(begun) && !c.acceptsLateDrains() {
		done(false)
		return
	}
	c.after(drains.SettleDelay, func() { c.tryDrain(order, begun, done) })
}

func (c *controlNode) tryDrain(order zoneOrder, begun time.Duration, done func(accepted bool)) {
	c.linearizableRead(func() {
		if c.clock()-begun > drains.ReadWindow && !c.acceptsLateDrains() {
			done(false)
			return
		}
		revision := c.member.State.Get(v1.KindZoneDrain, order.zone).GetRevision()
		write, err := drains.NewWrite(order.zone, order.drained, revision, c.wall())
		if err != nil {
			done(false)
			return
		}
		if c.acceptsLateDrains() {
			write.ExpectedRevision = nil
		}
		command := &wirepb.Command{Body: &wirepb.Command_Write{Write: &wirepb.WriteCommand{Writes: []*wirepb.ObjectWrite{write}}}}
		c.submit(command, func(answer commandReply) {
			if answer.err == nil && answer.result.GetCode() == wirepb.ResultCode_RESULT_CODE_CONFLICT {
				c.tryDrain(order, begun, done)
				return
			}
			done(answer.err == nil && answer.result.GetCode() == wirepb.ResultCode_RESULT_CODE_OK)
		})
	})
}

func (c *controlNode) acceptsLateDrains() bool {
	return c.sim.mutation == MutationLateDrains
}

// drainRecord is the last order acknowledged for a zone.
type drainRecord struct {
	drained        bool
	acknowledgedAt time.Duration
	// acknowledged is false while an order is in progress.
	acknowledged bool
}

func (c *checks) recordDrainOrder(order zoneOrder) {
	c.drains[order.zone] = drainRecord{}
}

func (c *checks) recordDrainAcknowledgement(order zoneOrder) {
	c.drains[order.zone] = drainRecord{drained: order.drained, acknowledgedAt: c.sim.Now(), acknowledged: true}
}

// checkDrains checks that acknowledged orders are committed and stay so until the next order.
func (c *checks) checkDrains() {
	for _, zone := range zones {
		record := c.drains[zone]
		if !record.acknowledged {
			continue
		}
		spec, exists := c.reference.Spec(v1.KindZoneDrain, zone).(*v1.ZoneDrainSpec)
		if drained := exists && spec.Drained; drained != record.drained {
			c.violate(CheckDrains, "%s: drained is %t, %t was acknowledged at %s", zone, drained, record.drained, record.acknowledgedAt)
		}
	}
}

// checkDrainedZone checks a request that runs on a machine and was sent by a connected router.
func (c *checks) checkDrainedZone(m *machine, router *routerNode) {
	record := c.drains[m.zone]
	if !record.acknowledged || !record.drained {
		return
	}
	now := c.sim.Now()
	inContact := now-router.lastDigest < contactTimeout
	if inContact && c.activeFaults == 0 && now-record.acknowledgedAt > drainGrace && now-c.healedAt > leavingGrace {
		c.violate(CheckDrains, "%s received work from %s %s after the drain of %s was acknowledged", m.name, router.name, now-record.acknowledgedAt, m.zone)
	}
}
