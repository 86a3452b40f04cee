package dispatch

import (
	"maps"
	"time"

	"github.com/weldline/weldline/internal/ratelimit"
)

// A machine that warms up bears a few requests a second and answers them slowly, so it gets requests only where no
// warm machine has room. A limited machine gets requests like any other, since only its answers show when the limit
// ends. Each request to such machines needs a permit of the leader, which the router requests once the core has
// chosen. A machine for which there is no permit now is held for a moment.

// standing orders the targets of a version: those that come first are used up first.
type standing int

const (
	standsWarm standing = iota
	standsWarming
	// standsSuspect: the machine has been silent for a while.
	standsSuspect
	// standsInDoubt: the same, and it takes a permit, as it may have started anew. It gets requests
	// only where no other machine could take them: the permits are few, mostly for a machine that is
	// down, and a request that asks for one loses its turn where it waits.
	standsInDoubt
)

func (c *Scheduler) standingOf(candidate *target) standing {
	switch {
	case candidate.Suspect && c.warming[candidate.Machine]:
		return standsInDoubt
	case candidate.Suspect:
		return standsSuspect
	case c.warming[candidate.Machine]:
		return standsWarming
	}
	return standsWarm
}

// hasNoneInTouch reports whether all targets that could take a request, free or not, are in doubt.
func (c *Scheduler) hasNoneInTouch(version *versionState, request *Request) bool {
	for _, candidate := range version.targets {
		if c.standingOf(candidate) != standsInDoubt && !c.isExcluded(candidate, request) {
			return false
		}
	}
	return true
}

// SetWarming replaces the machines that warm up.
func (c *Scheduler) SetWarming(warming map[string]bool) {
	c.warming = warming
}

// SetLimited replaces the machines that name a limit. One whose limit has ended or grown is held no
// more.
func (c *Scheduler) SetLimited(limited map[string]ratelimit.Limit) {
	for machine, before := range c.limited {
		after := limited[machine]
		if !after.IsSet || after.PerSecond > before.PerSecond {
			delete(c.held, machine)
		}
	}
	c.limited = limited
}

// isPaced reports whether requests to a machine need permits.
func (c *Scheduler) isPaced(machine string) bool {
	return c.warming[machine] || c.limited[machine].IsSet
}

// Hold gives a machine nothing before a time. Tick gives out its room once that has come.
func (c *Scheduler) Hold(now time.Time, machine string, until time.Time) {
	maps.DeleteFunc(c.held, func(_ string, ends time.Time) bool { return !now.Before(ends) })
	c.held[machine] = until
}

// HoldPermitMachines gives nothing to any machine that takes permits before a time. A request would else go
// from one to the next, however many there are, where there is a permit for none.
func (c *Scheduler) HoldPermitMachines(until time.Time) {
	c.pacedHeld = until
}

func (c *Scheduler) isHeld(now time.Time, machine string) bool {
	return now.Before(c.held[machine]) || now.Before(c.pacedHeld) && c.isPaced(machine)
}

// waitsFor returns the reason why a request waits, if its machines are held or busy because they warm up or are
// limited.
func (c *Scheduler) waitsFor(now time.Time, request *Request) (reason RefusalReason, isPaced bool) {
	version := c.version(request.Version)
	noneInTouch := c.hasNoneInTouch(version, request)
	for _, candidate := range version.targets {
		switch {
		case c.isExcluded(candidate, request) || !noneInTouch && c.standingOf(candidate) == standsInDoubt:
		case c.limited[candidate.Machine].IsSet && c.isHeld(now, candidate.Machine):
			return RefusedLimited, true
		case c.warming[candidate.Machine] || c.isHeld(now, candidate.Machine):
			return RefusedWarming, true
		}
	}
	return "", false
}
