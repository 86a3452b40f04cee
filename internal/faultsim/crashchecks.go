package faultsim

import (
	"cmp"
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
	// crashThreshold is the number of crashed engines from which a request must be quarantined, and
	// partCrashThreshold that from which requests with a prompt part must be.
	crashThreshold     = 3
	partCrashThreshold = 5
	// Companions are ordinary requests that share a prompt part with harmful ones. From companionGrace after the
	// crash at which these had to be quarantined, or the last one, at least minCompanionShare of them must be admitted, of at least minCompanions.
	companionGrace    = 6 * time.Second
	minCompanions     = 20
	minCompanionShare = 0.5
)

func mandatoryThreshold(suspect quarantine.Suspect) int {
	if suspect.Part != "" {
		return partCrashThreshold
	}
	return crashThreshold
}

// crashRecord is what happened to the engines that ran one request, or requests with one prompt part.
type crashRecord struct {
	// instances are the engine instances that crashed while running the request. possibleInstances
	// crashed shortly after a connection reset or an unreported end of a load, which routers can't
	// tell from a crash under the request.
	instances, possibleInstances map[string]bool
	// thresholdAt is when the number of crashes reached the mandatory threshold, and lastCrashAt when the last
	// engine crashed; 0 before.
	thresholdAt, lastCrashAt time.Duration
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
	for _, suspect := range content.suspects() {
		record := c.crashRecordOf(suspect.Identity)
		record.instances[instance] = true
		record.lastCrashAt = c.sim.Now()
		if len(record.instances) == mandatoryThreshold(suspect) && record.thresholdAt == 0 {
			record.thresholdAt = c.sim.Now()
		}
	}
}

// recordCompleted records that an engine completed a request.
func (c *checks) recordCompleted(content *requestContent) {
	for _, suspect := range content.suspects() {
		c.crashRecordOf(suspect.Identity).completed = true
	}
}

// isInContact reports whether a router must know of what was committed a while ago.
func (c *checks) isInContact(router *routerNode) bool {
	return c.sim.Now()-router.lastDigest < contactTimeout && c.activeFaults == 0 && c.sim.Now()-c.healedAt > crashPropagationTime
}

// checkPoisonSend limits how often harmful requests are sent to engines once they should be quarantined.
func (c *checks) checkPoisonSend(router *routerNode, content *requestContent) {
	if content.poison == nil {
		return
	}
	record := c.crashRecordOf(content.poison.Identity)
	if record.thresholdAt == 0 || c.sim.Now()-record.thresholdAt < crashPropagationTime || !c.isInContact(router) {
		return
	}
	record.lateSends++
	if record.lateSends > maxLateSends {
		c.violate(CheckCrashRepeats, "%s sent a request that crashed %d engines, the last that counts %s ago",
			router.name, len(record.instances), c.sim.Now()-record.thresholdAt)
	}
}

// recordAdmission counts the ordinary requests that were refused as quarantined, and those of them that share a
// prompt part with harmful ones.
func (c *checks) recordAdmission(router *routerNode, content *requestContent, refused bool) {
	if content.poison != nil {
		return
	}
	if refused {
		c.healthyRefused++
	}
	if !c.isInContact(router) || !c.hasHarmfulPart(companionGrace) {
		return
	}
	c.companions++
	if refused {
		c.companionsRefused++
	}
}

// hasHarmfulPart reports whether requests with a harmful prompt part still come, long enough after the crash at which the
// part had to be quarantined, or the last one.
func (c *checks) hasHarmfulPart(grace time.Duration) bool {
	for _, poison := range c.poisons {
		record := c.crashRecordOf(poison.Identity)
		since := cmp.Or(record.thresholdAt, record.lastCrashAt)
		if poison.Part != "" && since != 0 && c.sim.Now()-since > grace && c.sim.Now() < poisonEnd {
			return true
		}
	}
	return false
}

// checkCompanions checks that ordinary requests are not refused because of harmful ones.
func (c *checks) checkCompanions() {
	if c.companions >= minCompanions && float64(c.companions-c.companionsRefused) < minCompanionShare*float64(c.companions) {
		c.violate(CheckCompanions, "%d of %d ordinary requests were refused beside a harmful prompt part", c.companionsRefused, c.companions)
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
	suspect := quarantine.Suspect{Identity: identity}
	if isSuspect {
		suspect.Part = spec.PromptPart
	}
	if isSuspect && spec.Quarantined && len(record.instances)+len(record.possibleInstances) < suspect.Threshold() {
		c.violate(CheckQuarantine, "%s quarantined after %d engine crashes", identity, len(record.instances))
	}
}
