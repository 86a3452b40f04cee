// Package keepalive decides how long a replica that serves nobody is kept, and
// which to load before anybody asks.
//
// The problem: an accelerator that holds weights while nothing runs on it costs
// idle hours, and a replica that was unloaded too early costs its next caller a
// cold start. Which is worse is for the operator to say: a service's
// ColdStartWeight is how many accelerator-seconds of idling one second of cold
// start is worth.
//
// The mechanism: a policy gives each replica an index: what keeping it is worth
// now, in accelerators. It is the expected cold start saved for each second of
// idling until the next use, the largest such ratio over all horizons (a
// Gittins index). Replicas share accelerators, so the planner adds up the
// indices of those on one: an accelerator is kept as long as its replicas
// together are worth one accelerator, and a replica worth little stays for
// nothing beside one that is worth much.
//
// The index comes from two sources, whichever is higher: the gaps between a
// version's uses, by how long it has idled; and the rate of its uses at this
// time of day on the days before. Without history a version is worth its cold
// start over the time that it has idled, so that alone it is kept as long as
// idling costs less than loading (the ski-rental rule).
//
// All functions take the time as an argument.
package keepalive

import (
	"math"
	"time"
)

// VersionProfile is the version that a question is about.
type VersionProfile struct {
	Version string
	// Accelerators that a replica occupies.
	Accelerators int
	// LoadTime is the expected cold start.
	LoadTime time.Duration
	// ColdStartWeight is in accelerator-seconds per second of cold start.
	ColdStartWeight float64
}

// coldCost is what a cold start costs, in accelerator-seconds.
func (s VersionProfile) coldCost() float64 {
	return s.ColdStartWeight * s.LoadTime.Seconds()
}

// BreakEven is for how long idling alone costs as much as one cold start.
func (s VersionProfile) BreakEven() time.Duration {
	return time.Duration(s.coldCost() / float64(max(1, s.Accelerators)) * float64(time.Second))
}

const (
	// Always is the index of what must be kept.
	Always = math.MaxFloat64
	// Never is the index of what must go, whatever it shares accelerators
	// with.
	Never = -1.0
)

// Policy says what replicas are worth. Implementations are not safe for
// concurrent use.
type Policy interface {
	// Name is the policy's name in settings and reports.
	Name() string
	// RecordUse records that a version was in use at a time.
	RecordUse(version string, now time.Time)
	// Index returns what a replica that has idled for so long is worth, in
	// accelerators, or Always or Never.
	Index(subject VersionProfile, idle time.Duration, now time.Time) float64
	// PrewarmIndex returns what loading a version that nobody asks for is worth,
	// in accelerators.
	PrewarmIndex(subject VersionProfile, now time.Time) float64
}

// Names lists the policies that New knows.
var Names = []string{"adaptive", "ski-rental", "fixed-10m", "none", "always-loaded", "resident"}

// New returns a policy by name, or nil.
func New(name string) Policy {
	switch name {
	case "adaptive":
		return NewAdaptive()
	case "ski-rental":
		return skiRental{}
	case "fixed-10m":
		return fixed{name: name, timeout: 10 * time.Minute}
	case "none":
		return fixed{name: name}
	case "resident":
		// Nothing is unloaded but to make room.
		return fixed{name: name, timeout: math.MaxInt64}
	case "always-loaded":
		return fixed{name: name, timeout: math.MaxInt64, prewarm: Always}
	}
	return nil
}

// NewFixed returns a policy that keeps every replica equally long.
func NewFixed(timeout time.Duration) Policy {
	return fixed{name: "fixed-" + timeout.String(), timeout: timeout}
}

// KeepIf returns the index of a rule that only knows keeping and unloading.
func KeepIf(keep bool) float64 {
	if keep {
		return Always
	}
	return Never
}

// fixed keeps every replica equally long.
type fixed struct {
	name    string
	timeout time.Duration
	prewarm float64
}

func (f fixed) Name() string                                   { return f.name }
func (f fixed) RecordUse(string, time.Time)                    {}
func (f fixed) PrewarmIndex(VersionProfile, time.Time) float64 { return f.prewarm }
func (f fixed) Index(_ VersionProfile, idle time.Duration, _ time.Time) float64 {
	return KeepIf(idle <= f.timeout)
}

// skiRental idles as long as a cold start is worth.
type skiRental struct{}

func (skiRental) Name() string                                   { return "ski-rental" }
func (skiRental) RecordUse(string, time.Time)                    {}
func (skiRental) PrewarmIndex(VersionProfile, time.Time) float64 { return 0 }
func (skiRental) Index(subject VersionProfile, idle time.Duration, _ time.Time) float64 {
	return KeepIf(idle <= subject.BreakEven())
}
