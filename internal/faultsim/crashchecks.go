package faultsim

import (
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/quarantine"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// crashPropagationTime is the time after the threshold crash within which routers may still send
	// the request, because they have not learned of the crash yet. After that they may send it at most
	// maxLateSends times.
	crashPropagationTime = 3 * time.Second
	maxLateSends         = 3
	// crashThreshold is the number of crashed engines from which a request must be quarantined.
	crashThreshold = 3
)

// crashRecord is what happened to the engines that ran one request.
type crashRecord struct {
	// instances are the engine instances that crashed while running the request. possibleInstances
	// crashed shortly after a connection reset or an unreported end of a load, which routers can't
	// tell from a crash under the request.
	instances, possibleInstances map[string]bool
	// thresholdAt is when the number of crashes reached crashThreshold; 0 before.
	thresholdAt time.Duration
	// lateSends counts the sends later than crashPropagationTime after thresholdAt.
	lateSends int
	completed bool
}

func (c *checks) crashRecordOf(identity quarantine.Identity) *crashRecord {
	record := c.crashes[identity]
	if record == nil {
		record = &crashRecord{instances: map[string]bool{}, possibleInstances: map[string]bool{}}
		c.crashes[identity] = record
	}
	return record
}

// recordCrash records that an engine crashed while running a request.
func (c *checks) recordCrash(instance string, content *requestContent) {
	record := c.crashRecordOf(content.identity)
	record.instances[instance] = true
	if len(record.instances) == crashThreshold && record.thresholdAt == 0 {
		record.thresholdAt = c.sim.Now()
	}
}

// checkPoisonSend limits how often a poison request is sent to engines once it should be quarantined.
func (c *checks) checkPoisonSend(router *routerNode, content *requestContent) {
	record := c.crashRecordOf(content.identity)
	inContact := c.sim.Now()-router.lastDigest < contactTimeout
	calm := c.activeFaults == 0 && c.sim.Now()-c.healedAt > crashPropagationTime
	if !content.isPoison || record.thresholdAt == 0 || c.sim.Now()-record.thresholdAt < crashPropagationTime || !inContact || !calm {
		return
	}
	record.lateSends++
	if record.lateSends > maxLateSends {
		c.violate(CheckCrashRepeats, "%s sent a request that crashed %d engines, the third %s ago",
			router.name, len(record.instances), c.sim.Now()-record.thresholdAt)
	}
}

// suspectSpecs returns the committed suspect records.
func (c *checks) suspectSpecs() map[string]v1.Spec {
	if !c.sim.hasPoison {
		return nil
	}
	specs := map[string]v1.Spec{}
	for _, object := range c.reference.List(v1.KindSuspect) {
		specs[object.GetName()] = c.reference.Spec(v1.KindSuspect, object.GetName())
	}
	return specs
}

// suspectChanged compares a committed suspect record with the crashes that happened.
func (c *checks) suspectChanged(event *wirepb.WatchEvent, before v1.Spec) {
	identity, err := quarantine.ParseIdentity(event.GetObject().GetName())
	if err != nil {
		return
	}
	record := c.crashRecordOf(identity)
	if event.GetDeleted() {
		if previous, isSuspect := before.(*v1.SuspectSpec); isSuspect && previous.Quarantined && !record.completed {
			c.violate(CheckQuarantine, "quarantine of %s removed before the request completed", identity)
		}
		return
	}
	spec, isSuspect := c.reference.Spec(v1.KindSuspect, event.GetObject().GetName()).(*v1.SuspectSpec)
	if isSuspect && spec.Quarantined && len(record.instances)+len(record.possibleInstances) < quarantine.RequestThreshold {
		c.violate(CheckQuarantine, "%s quarantined after %d engine crashes", identity, len(record.instances))
	}
}
