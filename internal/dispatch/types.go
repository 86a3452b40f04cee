package dispatch

import (
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/places"
)

// Request is a caller's request for a model version, or for an adapter of it. Of the requests that wait
// for a version, those with a higher Priority come first.
type Request struct {
	// ID is unique among the waiting requests.
	ID       uint64
	Version  string
	Adapter  string
	Priority int32
	Arrived  time.Time
	Deadline time.Time
	// PrefixHash is a hash of the beginning of the prompt; 0 if there is none.
	PrefixHash uint64
	// Avoid is a replica that just failed the request.
	Avoid string
	// TriedMachines must not get the request again.
	TriedMachines []string
	// Work is the request's processing cost in tokens; PrefixWork is the part that a cached prompt
	// prefix saves.
	Work, PrefixWork float64
	// CrossRegionPenalty is how much less outstanding work a target in another region must have to
	// be preferred, in tokens; 0 if distance is ignored.
	CrossRegionPenalty float64
	// TTFTTarget is the targeted time to first token; 0 if there is none.
	TTFTTarget time.Duration
	// Allowed constrains the regions that may serve the request.
	Allowed places.Constraint
	// Software is the version of the software that must serve the request; empty for any.
	Software string
	// Forwardable is set if another router may serve the request. Such a request is not granted to a
	// machine without a path from this router.
	Forwardable bool
	// Forwarded is set if the request came from another router, which has counted its demand.
	Forwarded bool
	// outstandingWork is the work that the machine has not processed yet.
	outstandingWork float64
	// QueueDeadline ends the request's time in the queue before its Deadline; zero if Deadline
	// applies.
	QueueDeadline time.Time
}

// Target is a replica that may get requests.
type Target struct {
	Replica       string
	Version       string
	Machine       string
	Endpoint      string
	MaxConcurrent int
	// Adapters are those loaded on the replica, if adapters are placed like models.
	Adapters []string
	Zone     string
	// Region is empty if unknown.
	Region string
	// Proximity is the distance from the router.
	Proximity places.Proximity
	// Fixed is set for a machine outside of the leader's placement: its replicas can't be loaded
	// elsewhere.
	Fixed bool
	// Software is the version of the software that the machine runs; empty if unknown.
	Software string
	// Suspect is set if the machine has been silent for a while. Such targets get requests only if
	// there are no others.
	Suspect bool
}

// Grant sends a request to a target. It must be released.
type Grant struct {
	Request *Request
	Target  Target
	// Waited is set if the request was queued.
	Waited bool
}

// RefusalReason is why a request was refused. All refused requests are "not run".
type RefusalReason string

const (
	// RefusedDeadline: the deadline passed, or can't be met.
	RefusedDeadline RefusalReason = "deadline"
	// RefusedOverload: the queue is full of requests that are served earlier.
	RefusedOverload RefusalReason = "overload"
	// RefusedZoneDrained: the replicas are in drained zones, and no other is expected in time.
	RefusedZoneDrained RefusalReason = v1.ReasonZoneDrained
	// RefusedNotLoadable: no machine can hold the model.
	RefusedNotLoadable RefusalReason = "not-loadable"
	// RefusedWarming: the machines are warming up and get no more requests for now.
	RefusedWarming RefusalReason = "warming"
	// RefusedLimited: the machines have rate limits and get no more requests for now.
	RefusedLimited RefusalReason = "limited"
	// RefusedBackoff: the machines asked this router to back off.
	RefusedBackoff RefusalReason = "resting"
	// RefusedSoftware: no machine of the pool runs the version of the software that the request needs.
	RefusedSoftware RefusalReason = "software"
	// RefusedStopping: this node may stop before the request is answered.
	RefusedStopping RefusalReason = "stopping"
	// RefusedUnreachable: this router has no path to a machine that could serve the request.
	RefusedUnreachable RefusalReason = "unreachable"
	// RefusedRegion: no machine in the allowed regions may serve the request any more.
	RefusedRegion RefusalReason = "no-allowed-region"
)

// throttlingDetails are the details of refusals for machines that exist but get no more requests
// for now.
var throttlingDetails = map[RefusalReason]string{
	RefusedWarming: "the machines that could take it warm up",
	RefusedLimited: "the machines that could take it limit how many requests they take",
	RefusedBackoff: "the machines that could take it are overloaded and asked for a rest",
}

// Refusal ends a waiting request.
type Refusal struct {
	Request *Request
	Reason  RefusalReason
	Detail  string
	// RetryAfter is when a retry may succeed; 0 if unknown.
	RetryAfter time.Duration
}

// Outcome is the result of an event.
type Outcome struct {
	Grants   []Grant
	Refusals []Refusal
}

// TargetChanges is an incremental or full update of the targets.
type TargetChanges struct {
	// Full is set if Targets replaces all targets.
	Full bool
	// Targets are new or changed.
	Targets []Target
	// Removed names replicas.
	Removed []string
	// Drained are targets in drained zones. They get no requests, but explain why a version has no
	// target.
	Drained []Target
}

// Estimate is the leader's estimate of when a version is ready.
type Estimate struct {
	// ReadyAt is the expected time, EarliestAt the earliest possible one.
	ReadyAt, EarliestAt time.Time
	// Refused is set if the version can't be loaded.
	Refused bool
	Reason  string
}

// Demand is the reported demand for a version, or for the part of it for one adapter or under one
// region constraint.
type Demand struct {
	Version string
	Adapter string
	// Allowed is the region constraint of the requests, if any, and Software the version of the software
	// that must serve them.
	Allowed  places.Constraint
	Software string
	Waiting  int
	Running  int
	Arrivals uint64
	// Work is the total work of all requests so far, in tokens.
	Work uint64
	// TTFTTarget is the shortest one requested; 0 if there is none.
	TTFTTarget time.Duration
	// OldestWait is the age of the longest-waiting request.
	OldestWait time.Duration
	Priority   int32
}
