package faultsim

import (
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/drains"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// drainPatience is how long the operator of drains waits for an answer: for longer than a
	// message may be late, a process stalled unnoticed, and an order looked at.
	drainPatience = answerTimeout
	// maxDrainTries is how often the operator gives an order before giving it up.
	maxDrainTries = 5
	// drainAnswersLost is the one of how many answers that gets lost on its way to the operator,
	// so that orders are given again though they were taken.
	drainAnswersLost = 4
	// drainGrace is how long after the acknowledgement of a drain requests may still arrive.
	drainGrace = inForceWithin
)

// drainer is an operator who drains zones and ends that, one order after the other. It is a
// process that never fails.
type drainer struct {
	process
	queue []zoneOrder
	busy  bool
}

// zoneOrder is an order about a zone.
type zoneOrder struct {
	zone    string
	drained bool
}

// drainZone orders a drain, and the end of it once the fault heals.
func (w *world) drainZone(target int) func() {
	if w.drainer == nil {
		w.drainer = &drainer{process: w.newProcess("drainer", zones[0])}
		w.drainer.begin()
	}
	zone := zones[target%len(zones)]
	w.drainer.order(zoneOrder{zone, true})
	return func() { w.drainer.order(zoneOrder{zone, false}) }
}

func (d *drainer) order(next zoneOrder) {
	d.queue = append(d.queue, next)
	if !d.busy {
		d.next()
	}
}

func (d *drainer) next() {
	d.busy = len(d.queue) > 0
	if !d.busy {
		return
	}
	order := d.queue[0]
	d.queue = d.queue[1:]
	d.world.checks.drainOrdered(order)
	d.send(order, maxDrainTries)
}

// send gives the order to one control node after the other, until one acknowledges it or the
// operator gives up.
func (d *drainer) send(order zoneOrder, tries int) {
	if tries == 0 {
		d.next()
		return
	}
	target := d.world.controls[d.world.random.IntN(controlCount)]
	call(&d.process, &target.process, drainPatience, func(reply func(bool)) {
		target.drainZone(order, reply)
	}, func(taken, answered bool) {
		lost := d.world.random.IntN(drainAnswersLost) == 0
		if !answered || !taken || lost {
			d.after(resendDelay, func() { d.send(order, tries-1) })
			return
		}
		d.world.checks.drainAcknowledged(order)
		d.after(resendDelay, d.next)
	})
}

// drainZone takes an order as control nodes do.
func (c *controlNode) drainZone(order zoneOrder, done func(taken bool)) {
	begun := c.clock()
	if c.stalls.Stalled(begun) && !c.takesLateDrains() {
		done(false)
		return
	}
	c.after(drains.SettleDelay, func() { c.tryDrain(order, begun, done) })
}

func (c *controlNode) tryDrain(order zoneOrder, begun time.Duration, done func(taken bool)) {
	c.confirmedRead(func() {
		if c.clock()-begun > drains.ReadWindow && !c.takesLateDrains() {
			done(false)
			return
		}
		revision := c.member.State.Get(v1.KindZoneDrain, order.zone).GetRevision()
		write, err := drains.NewWrite(order.zone, order.drained, revision, c.wall())
		if err != nil {
			done(false)
			return
		}
		if c.takesLateDrains() {
			write.ExpectedRevision = nil
		}
		command := &wirepb.Command{Body: &wirepb.Command_Write{Write: &wirepb.WriteCommand{Writes: []*wirepb.ObjectWrite{write}}}}
		c.submit(command, func(answer outcome) {
			if answer.err == nil && answer.result.GetCode() == wirepb.ResultCode_RESULT_CODE_CONFLICT {
				c.tryDrain(order, begun, done)
				return
			}
			done(answer.err == nil && answer.result.GetCode() == wirepb.ResultCode_RESULT_CODE_OK)
		})
	})
}

func (c *controlNode) takesLateDrains() bool {
	return c.world.mutation == MutationLateDrains
}

// drainTruth is what the operator was told last of a zone.
type drainTruth struct {
	drained bool
	// since is when it was acknowledged; settled is not set while an order is under way.
	since   time.Duration
	settled bool
}

func (c *checks) drainOrdered(order zoneOrder) {
	c.drains[order.zone] = drainTruth{}
}

func (c *checks) drainAcknowledged(order zoneOrder) {
	c.drains[order.zone] = drainTruth{drained: order.drained, since: c.world.Now(), settled: true}
}

// drainsHold checks that what was acknowledged is in the log, until the next order.
func (c *checks) drainsHold() {
	for _, zone := range zones {
		told := c.drains[zone]
		if !told.settled {
			continue
		}
		spec, held := c.truth.Spec(v1.KindZoneDrain, zone).(*v1.ZoneDrainSpec)
		if drained := held && spec.Drained; drained != told.drained {
			c.violate(CheckDrains, "%s: drained is %t, %t was acknowledged at %s", zone, drained, told.drained, told.since)
		}
	}
}

// ranInZone checks a request that runs on a machine, sent by a router in contact in calm times.
func (c *checks) ranInZone(m *machine, router *routerNode) {
	told := c.drains[m.zone]
	if !told.settled || !told.drained {
		return
	}
	now := c.world.Now()
	inContact := now-router.lastDigest < contact
	if inContact && c.busy == 0 && now-told.since > drainGrace && now-c.quietSince > leavingGrace {
		c.violate(CheckDrains, "%s got work from %s %s after the drain of %s", m.name, router.name, now-told.since, m.zone)
	}
}
