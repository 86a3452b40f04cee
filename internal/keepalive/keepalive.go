// Package keepalive decides how long idle replicas are kept and which versions are prewarmed. A
// policy returns an index for each replica: the value of keeping it, in accelerators. An
// accelerator is kept while the indices of its replicas add up to at least one. ColdStartWeight
// sets how many accelerator-seconds of idling one second of cold start is worth. All functions take
// the time as an argument.
package keepalive

import (
	"math"
	"time"
)

// VersionProfile holds the properties of a version that determine its index.
type VersionProfile struct {
	Version string
	// Accelerators is the number of accelerators that a replica occupies.
	Accelerators int
	// LoadTime is the expected duration of a cold start.
	LoadTime time.Duration
	// ColdStartWeight is in accelerator-seconds per second of cold start.
	ColdStartWeight float64
}

// coldStartCost is the cost of a cold start in accelerator-seconds.
func (p VersionProfile) coldStartCost() float64 {
	return p.ColdStartWeight * p.LoadTime.Seconds()
}

// BreakEven returns the idle time that costs as much as one cold start.
func (p VersionProfile) BreakEven() time.Duration {
	return time.Duration(p.coldStartCost() / float64(max(1, p.Accelerators)) * float64(time.Second))
}

const (
	// Always is the index of a replica that must be kept.
	Always = math.MaxFloat64
	// Never is the index of a replica that must be unloaded, even on a shared accelerator.
	Never = -1.0
)

// Policy rates replicas. Implementations are not safe for concurrent use.
type Policy interface {
	// Name returns the name of the policy in settings and reports.
	Name() string
	// RecordUse records that a version was in use at the given time.
	RecordUse(version string, now time.Time)
	// Index returns the value of keeping an idle replica, in accelerators, or Always or Never.
	Index(profile VersionProfile, idle time.Duration, now time.Time) float64
	// PrewarmIndex returns the value of loading a version without demand, in accelerators.
	PrewarmIndex(profile VersionProfile, now time.Time) float64
}

// Names lists the policies that New accepts.
var Names = []string{"adaptive", "ski-rental", "fixed-10m", "none", "always-loaded", "resident"}

// New returns the policy of the given name, or nil if it is unknown.
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
		// Replicas are unloaded only by evictions.
		return fixed{name: name, timeout: math.MaxInt64}
	case "always-loaded":
		return fixed{name: name, timeout: math.MaxInt64, prewarm: Always}
	}
	return nil
}

// NewFixed returns a policy that keeps every idle replica for the same time.
func NewFixed(timeout time.Duration) Policy {
	return fixed{name: "fixed-" + timeout.String(), timeout: timeout}
}

// KeepIf returns the index of a policy that only decides between keeping and unloading.
func KeepIf(keep bool) float64 {
	if keep {
		return Always
	}
	return Never
}

// fixed keeps every idle replica for the same time.
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

// skiRental keeps an idle replica until idling has cost as much as a cold start.
type skiRental struct{}

func (skiRental) Name() string                                   { return "ski-rental" }
func (skiRental) RecordUse(string, time.Time)                    {}
func (skiRental) PrewarmIndex(VersionProfile, time.Time) float64 { return 0 }
func (skiRental) Index(profile VersionProfile, idle time.Duration, _ time.Time) float64 {
	return KeepIf(idle <= profile.BreakEven())
}
