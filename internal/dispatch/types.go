package dispatch

import (
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/places"
)

// Request is a request for a replica.
type Request struct {
	// ID is unique among the requests that wait.
	ID       uint64
	Version  string
	Adapter  string
	Priority int32
	Arrived  time.Time
	Deadline time.Time
	// PrefixHash is a hash of the prompt's beginning; 0 if there is none.
	PrefixHash uint64
	// Avoid names a replica that just failed the request.
	Avoid string
	// TriedMachines are the machines that the request must not go to again.
	TriedMachines []string
	// Work is what the request asks of a machine, in tokens; Shared is the
	// part of it that is spared where the prompt's beginning is cached.
	Work, PrefixWork float64
	// CrossRegionPenalty is how much less work a target in another region must have before it to be
	// preferred, in tokens; 0 where places don't matter.
	CrossRegionPenalty float64
	// TTFTTarget is within which the answer should begin; 0 if that is open.
	TTFTTarget time.Duration
	// Allowed says in which regions the request may be served.
	Allowed places.Constraint
	// outstanding is the work that the request's machine has not done yet.
	outstanding float64
	// QueueDeadline is until when the request waits for a place; zero for as long
	// as its deadline allows.
	QueueDeadline time.Time
}

// Target is a replica that may get requests.
type Target struct {
	Replica  string
	Version  string
	Machine  string
	Endpoint string
	// MaxConcurrent is how many requests the replica runs at once.
	MaxConcurrent int
	// Adapters that the replica holds, where these are placed like models.
	Adapters []string
	// Zone is where the target's machine stands.
	Zone string
	// Region is where the target is served from; empty where that is not known.
	Region string
	// Nearness is how near the target is to the router.
	Nearness places.Proximity
	// Fixed is set for a machine that serves by itself: no replica of it can be loaded elsewhere.
	Fixed bool
	// Suspect targets get requests only if there are no others: their machine
	// has been silent for a while.
	Suspect bool
}

// Grant lets a request go to a target. It must be released.
type Grant struct {
	Request *Request
	Target  Target
	// Waited is set where the request had to wait for a replica.
	Waited bool
}

// RefusalReason says why a request is refused. All are "not run".
type RefusalReason string

// The reasons for refusals.
const (
	// RefusedDeadline: the deadline passed, or can't be met.
	RefusedDeadline RefusalReason = "deadline"
	// RefusedOverload: too many wait, and others come first.
	RefusedOverload RefusalReason = "overload"
	// RefusedZoneDrained: what could serve the request stands in drained zones, and nothing
	// else is expected to in time.
	RefusedZoneDrained RefusalReason = v1.ReasonZoneDrained
	// RefusedNotLoadable: no machine can hold the model.
	RefusedNotLoadable RefusalReason = "not-loadable"
	// RefusedWarming: the machines that could take it warm up, and get no more for now.
	RefusedWarming RefusalReason = "warming"
	// RefusedLimited: the machines that could take it name a limit, and get no more for now.
	RefusedLimited RefusalReason = "limited"
	// RefusedBackoff: the machines that could take it asked this router for a rest.
	RefusedBackoff RefusalReason = "resting"
	// RefusedRegion: no machine may serve the request any more.
	RefusedRegion RefusalReason = "no-allowed-region"
)

// detailsOfPaced describe the refusals where machines are there and take no more for now.
var detailsOfPaced = map[RefusalReason]string{
	RefusedWarming: "the machines that could take it warm up",
	RefusedLimited: "the machines that could take it limit how many requests they take",
	RefusedBackoff: "the machines that could take it are overloaded and asked for a rest",
}

// Refusal ends a request that waited.
type Refusal struct {
	Request *Request
	Reason  RefusalReason
	Detail  string
	// RetryAfter is when a next try may be served; 0 if that is not known.
	RetryAfter time.Duration
}

// Outcome is what follows from an event.
type Outcome struct {
	Grants   []Grant
	Refusals []Refusal
}

// TargetChanges are what is new in the replicas that may get requests.
type TargetChanges struct {
	// Full is set where Targets are all that there are.
	Full bool
	// Targets are those that are new or have changed, by name.
	Targets []Target
	// Removed names the replicas that get nothing any more.
	Removed []string
	// Drained would be targets if their zones were not drained. They get nothing; that they are
	// there tells why a version has no target.
	Drained []Target
}

// Estimate is the leader's estimate for a version.
type Estimate struct {
	// ReadyAt is when a replica is expected to be ready, EarliestAt when it is at best.
	ReadyAt, EarliestAt time.Time
	// Refused is set where the version can't be loaded; Reason says why.
	Refused bool
	Reason  string
}

// Demand is what a router reports of one version, of one of its adapters, or of the requests for
// it under one constraint; these are parts of the version's.
type Demand struct {
	Version string
	Adapter string
	// Allowed binds the requests that are told of, where it binds any.
	Allowed  places.Constraint
	Waiting  int
	Running  int
	Arrivals uint64
	// Work is what all requests so far asked of machines, in tokens.
	Work uint64
	// TTFTTarget is the shortest time within which a request wanted its answer to
	// begin; 0 if none said.
	TTFTTarget time.Duration
	// OldestWait is the age of the request that waits longest.
	OldestWait time.Duration
	Priority   int32
}
