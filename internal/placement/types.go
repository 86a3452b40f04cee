package placement

import (
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// Tier is where a machine finds a checkpoint.
type Tier string

// The tiers, from fast to slow.
const (
	TierMemory Tier = "memory"
	TierDisk   Tier = "disk"
	TierRemote Tier = "remote"
)

// TierSpeeds are bytes per second at which weights reach the accelerators.
type TierSpeeds struct {
	Memory, Disk, Remote float64
}

// DefaultTierSpeeds are assumed until loads have been observed. They are on
// the fast side on purpose: too slow a guess refuses callers who could have
// been served, too fast a one only lets them wait until their deadline.
var DefaultTierSpeeds = TierSpeeds{Memory: 32e9, Disk: 8e9, Remote: 4e9}

// Of returns the speed of a tier.
func (s TierSpeeds) Of(tier Tier) float64 {
	switch tier {
	case TierMemory:
		return s.Memory
	case TierDisk:
		return s.Disk
	}
	return s.Remote
}

// LoadTime returns how long a load of the given size takes from a tier.
func (s TierSpeeds) LoadTime(bytes int64, tier Tier) time.Duration {
	return time.Duration(float64(bytes) / s.Of(tier) * float64(time.Second))
}

// Version is a declared model version that may be loaded.
type Version struct {
	Name            string
	Spec            *v1.ModelVersionSpec
	MinReplicas     int
	MaxReplicas     int
	ColdStartWeight float64
	Priority        int32
}

// Machine is a declared machine as observed.
type Machine struct {
	Name string
	Zone string
	// Region is where the zone lies; empty where that is not known.
	Region           string
	Accelerators     int
	AcceleratorBytes int64
	Incarnation      uint64
	// Schedulable is set for a live machine that may get new replicas.
	Schedulable bool
	// Drained is set for a live machine whose zone is drained: it accepts nothing, and keeps
	// what it holds for the end of the drain.
	Drained bool
	// Lost is set for a machine that has been silent too long.
	Lost bool
	// Tiers holds the checkpoints that are not only remote.
	Tiers map[string]Tier
	// Fence is the highest fence that the engine has accepted.
	Fence uint64
	// Pool is what the machine registered for; empty if it did not register.
	Pool string
	// ReducedFor is for how much longer the machine bears less than usual, as it warms up or names
	// a limit, and ReducedRate how many requests a second it bears until then.
	ReducedFor  time.Duration
	ReducedRate float64
}

// Replica is a decided replica with what its engine reports of it.
type Replica struct {
	Name     string
	Revision uint64
	Spec     *v1.ReplicaSpec
	// Observed is set where the engine answered with the same incarnation
	// as the replica's, after the decision reached it.
	Observed bool
	// Restarted is set where the engine runs under a later incarnation.
	Restarted bool
	// EnginePhase is the engine's own phase; empty if it lists no such replica.
	EnginePhase string
	Remaining   time.Duration
	Running     int
}

// The phases that engines report.
const (
	EngineLoading   = "loading"
	EngineReady     = "ready"
	EngineFailed    = "failed"
	EngineUnloading = "unloading"
)

// Demand is what all routers together ask of a version.
type Demand struct {
	Waiting  int
	Running  int
	Arrivals uint64
	// Work is what all requests so far asked of machines, in tokens.
	Work uint64
	// FirstTokenTarget is the shortest time within which a request wanted its answer to
	// begin; 0 if none said.
	FirstTokenTarget time.Duration
	OldestWait       time.Duration
	Priority         int32
	// Constrained is the part of it that is bound to regions, by constraint.
	Constrained []ConstrainedDemand
	// Regions are the requests that wait or run, by the region of their routers; nil where no
	// region is known.
	Regions map[string]float64
}

// Input is everything that a decision depends on.
type Input struct {
	Now      time.Time
	Versions map[string]*Version
	Machines map[string]*Machine
	Replicas []*Replica
	Demand   map[string]*Demand
	// StoreLoadsPerSecond and StoreConcurrentLoads are the weight store's
	// limits as declared; 0 leaves the configured ones in force.
	StoreLoadsPerSecond  float64
	StoreConcurrentLoads int
	// LoadCrashes has the versions under whose loads machines ended.
	LoadCrashes map[string]LoadCrashes
}

// ActionKind is what to do to a replica record.
type ActionKind string

// The kinds of actions.
const (
	// ActionLoad creates a record in phase Loading.
	ActionLoad ActionKind = "load"
	// ActionReady moves it to Ready.
	ActionReady ActionKind = "ready"
	// ActionUnload moves it to Unloading.
	ActionUnload ActionKind = "unload"
	// ActionRemove deletes it and frees its reservation.
	ActionRemove ActionKind = "remove"
)

// Action is one change of a replica record.
type Action struct {
	Kind ActionKind
	// Replica is the record to change; nil for ActionLoad.
	Replica *Replica
	// Spec is the new record's for ActionLoad.
	Spec *v1.ReplicaSpec
	// Reason says why, for logs and metrics.
	Reason string
	// CrashedDuringLoad is set where the replica's machine ended while it loaded the version.
	CrashedDuringLoad bool
}

// Estimate tells routers when a version that they wait for may be ready.
type Estimate struct {
	Version string
	// ReadyIn is how long it is expected to take, with all that is ahead.
	ReadyIn time.Duration
	// EarliestIn is how long it takes at least: what is ahead may go sooner than
	// expected, and no caller is refused for an expectation.
	EarliestIn time.Duration
	// Refused is set where the version can't be loaded; Reason says why.
	Refused bool
	Reason  string
}

// Decision is what Decide returns.
type Decision struct {
	Actions   []Action
	Estimates []Estimate
}
