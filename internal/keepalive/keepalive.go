// Package keepalive decides how long a replica that serves nobody is kept.
//
// The problem: an idle replica costs accelerator time, and a replica that was
// unloaded too early costs its next caller a cold start. Which is worse is
// for the operator to say: a service's ColdStartWeight is how many
// accelerator-seconds of idling one second of cold start is worth.
//
// The mechanism: for each version the gaps between uses are gathered in a
// histogram of geometric buckets that forgets old gaps. The timeout is the
// bucket edge with the least expected cost,
//
//	E[min(gap, timeout)] * accelerators + P(gap > timeout) * weight * load,
//
// A version with few observed gaps borrows from the ski-rental rule (idle as
// long as the load is worth), which costs at most twice the best in hindsight.
// All functions take the time as an argument.
package keepalive

import (
	"math"
	"time"
)

// Subject is the version that a question is about.
type Subject struct {
	Version string
	// Accelerators that an idle replica occupies.
	Accelerators int
	// LoadTime is the expected cold start.
	LoadTime time.Duration
	// ColdStartWeight is in accelerator-seconds per second of cold start.
	ColdStartWeight float64
}

// Rent is for how long idling costs as much as one cold start.
func (s Subject) Rent() time.Duration {
	seconds := s.ColdStartWeight * s.LoadTime.Seconds() / float64(max(1, s.Accelerators))
	return time.Duration(seconds * float64(time.Second))
}

// Policy says how long an idle replica is kept. Implementations are not safe
// for concurrent use.
type Policy interface {
	// Name is the policy's name in settings and reports.
	Name() string
	// Used records that a version was in use at a time.
	Used(version string, now time.Time)
	// Timeout returns how long a replica may idle.
	Timeout(subject Subject, now time.Time) time.Duration
	// Prewarm reports whether a replica should be loaded before a request.
	Prewarm(subject Subject, now time.Time) bool
}

// Names lists the policies that New knows.
var Names = []string{"adaptive", "ski-rental", "fixed-10m", "none", "always-loaded"}

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
	case "always-loaded":
		return fixed{name: name, timeout: math.MaxInt64, prewarm: true}
	}
	return nil
}

// NewFixed returns a policy that keeps every replica equally long.
func NewFixed(timeout time.Duration) Policy {
	return fixed{name: "fixed-" + timeout.String(), timeout: timeout}
}

// fixed keeps every replica equally long.
type fixed struct {
	name    string
	timeout time.Duration
	prewarm bool
}

func (f fixed) Name() string                             { return f.name }
func (f fixed) Used(string, time.Time)                   {}
func (f fixed) Timeout(Subject, time.Time) time.Duration { return f.timeout }
func (f fixed) Prewarm(Subject, time.Time) bool          { return f.prewarm }

// skiRental idles as long as a cold start is worth.
type skiRental struct{}

func (skiRental) Name() string                                       { return "ski-rental" }
func (skiRental) Used(string, time.Time)                             {}
func (skiRental) Timeout(subject Subject, _ time.Time) time.Duration { return subject.Rent() }
func (skiRental) Prewarm(Subject, time.Time) bool                    { return false }
