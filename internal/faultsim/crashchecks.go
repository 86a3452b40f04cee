package faultsim

import (
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/quarantine"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// lateAfter is how long after the third engine ended under a request it may still be sent
	// on, and lateSends how often it may be after that.
	lateAfter = 3 * time.Second
	lateSends = 3
	// crashesAllowed is how many engines may end before lateAfter begins.
	crashesAllowed = 3
)

// crashTruth is what really happened under one request.
type crashTruth struct {
	// lives are the lives of engines that ended while the request was there, and near those
	// that ended just after its connection had been reset, or after a load was over and before
	// anybody was told so: what can be seen of both is the same.
	lives, near map[string]bool
	// thirdAt is when the third ended; 0 before.
	thirdAt time.Duration
	// late counts what was sent on later than lateAfter after that.
	late int
	// whole is set once the request has run to its end.
	whole bool
}

func (c *checks) truthOf(identity quarantine.Identity) *crashTruth {
	held := c.crashes[identity]
	if held == nil {
		held = &crashTruth{lives: map[string]bool{}, near: map[string]bool{}}
		c.crashes[identity] = held
	}
	return held
}

// endedUnder notes an engine that ended while a request was there.
func (c *checks) endedUnder(life string, sent *content) {
	held := c.truthOf(sent.identity)
	held.lives[life] = true
	if len(held.lives) == crashesAllowed && held.thirdAt == 0 {
		held.thirdAt = c.world.Now()
	}
}

// arrived checks a request that ends engines as it reaches one.
func (c *checks) arrived(router *routerNode, sent *content) {
	held := c.truthOf(sent.identity)
	inContact := c.world.Now()-router.lastDigest < contact
	calm := c.busy == 0 && c.world.Now()-c.quietSince > lateAfter
	if !sent.culprit || held.thirdAt == 0 || c.world.Now()-held.thirdAt < lateAfter || !inContact || !calm {
		return
	}
	held.late++
	if held.late > lateSends {
		c.violate(CheckCrashRepeats, "%s sends on a request under which %d engines ended, the third %s ago",
			router.name, len(held.lives), c.world.Now()-held.thirdAt)
	}
}

// suspectSpecs returns what the log holds of requests under which engines ended.
func (c *checks) suspectSpecs() map[string]v1.Spec {
	if !c.world.breaksRuns {
		return nil
	}
	specs := map[string]v1.Spec{}
	for _, object := range c.truth.List(v1.KindSuspect) {
		specs[object.GetName()] = c.truth.Spec(v1.KindSuspect, object.GetName())
	}
	return specs
}

// suspectChanged checks a record of the log against what really happened.
func (c *checks) suspectChanged(event *wirepb.WatchEvent, before v1.Spec) {
	identity, err := quarantine.ParseIdentity(event.GetObject().GetName())
	if err != nil {
		return
	}
	truth := c.truthOf(identity)
	if event.GetDeleted() {
		if held, isSuspect := before.(*v1.SuspectSpec); isSuspect && held.Quarantined && !truth.whole {
			c.violate(CheckQuarantine, "the conviction of %s is gone", identity)
		}
		return
	}
	spec, isSuspect := c.truth.Spec(v1.KindSuspect, event.GetObject().GetName()).(*v1.SuspectSpec)
	if isSuspect && spec.Quarantined && len(truth.lives)+len(truth.near) < quarantine.QuarantineThreshold {
		c.violate(CheckQuarantine, "%s is convicted, %d engines ended under it", identity, len(truth.lives))
	}
}
