package placement

import (
	"time"

	v1 "github.com/weldline/weldline/api/v1"
)

// Tier is the storage tier in which a machine has a checkpoint.
type Tier string

// Storage tiers, fastest first.
const (
	TierMemory Tier = "memory"
	TierDisk   Tier = "disk"
	TierRemote Tier = "remote"
)

// TierSpeeds are the load bandwidths of the tiers, in bytes per second.
type TierSpeeds struct {
	Memory, Disk, Remote float64
}

// DefaultTierSpeeds are assumed until loads have been observed. They err on the fast side: an
// estimate that is too slow refuses requests that could have been served.
var DefaultTierSpeeds = TierSpeeds{Memory: 32e9, Disk: 8e9, Remote: 4e9}

// Of returns the bandwidth of a tier in bytes per second. Unknown tiers count as TierRemote.
func (s TierSpeeds) Of(tier Tier) float64 {
	switch tier {
	case TierMemory:
		return s.Memory
	case TierDisk:
		return s.Disk
	}
	return s.Remote
}

// LoadTime returns the time to load the given number of bytes from a tier.
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

// Machine is a declared machine with its observed state.
type Machine struct {
	Name string
	Zone string
	// Region is empty if the region of the zone is unknown.
	Region           string
	Accelerators     int
	AcceleratorBytes int64
	Incarnation      uint64
	// Schedulable is set for a live machine that accepts new replicas.
	Schedulable bool
	// Drained is set for a live machine in a drained zone. It accepts no replicas, and keeps those
	// that it has until the drain ends.
	Drained bool
	// Lost is set for a machine whose reports have timed out.
	Lost bool
	// Tiers holds the tier of each checkpoint that is cached on the machine.
	Tiers map[string]Tier
	// Fence is the highest fencing token that the engine has accepted.
	Fence uint64
	// Pool is the pool of a registered machine; empty if the machine is not registered.
	Pool string
	// Software is the version of the machine's software; empty if unknown.
	Software string
	// ReducedFor is the remaining time for which the machine has reduced capacity, because it is
	// warming up or has reported a limit. ReducedRate is its capacity until then, in requests per
	// second.
	ReducedFor  time.Duration
	ReducedRate float64
}

// Replica is a replica record with the state that its engine reports.
type Replica struct {
	Name     string
	Revision uint64
	Spec     *v1.ReplicaSpec
	// Observed is set if the engine has reported after the decision reached it, under the
	// incarnation of the replica.
	Observed bool
	// Restarted is set if the engine runs under a later incarnation.
	Restarted bool
	// EnginePhase is the phase that the engine reports; empty if it does not report the replica.
	EnginePhase string
	// Remaining is the remaining load time that the engine reports.
	Remaining time.Duration
	Running   int
}

// Phases reported by engines.
const (
	EngineLoading   = "loading"
	EngineReady     = "ready"
	EngineFailed    = "failed"
	EngineUnloading = "unloading"
)

// Demand is the demand for a version, summed over all routers.
type Demand struct {
	Waiting  int
	Running  int
	Arrivals uint64
	// Work is the running total of the requested work, in tokens.
	Work uint64
	// FirstTokenTarget is the shortest requested time until the start of an answer; 0 if no
	// request states one.
	FirstTokenTarget time.Duration
	OldestWait       time.Duration
	Priority         int32
	// Constrained is the part of the demand that only some machines may serve, by constraint.
	Constrained []ConstrainedDemand
	// Regions is the number of waiting and running requests by the region of their routers; nil if
	// no region is known.
	Regions map[string]float64
}

// Input is the complete input of a decision.
type Input struct {
	Now      time.Time
	Versions map[string]*Version
	Machines map[string]*Machine
	Replicas []*Replica
	Demand   map[string]*Demand
	// StoreLoadsPerSecond and StoreConcurrentLoads are the declared limits of the weight store; 0
	// leaves the configured limits in force.
	StoreLoadsPerSecond  float64
	StoreConcurrentLoads int
	// LoadCrashes holds the versions whose loads have crashed machines.
	LoadCrashes map[string]LoadCrashes
}

// ActionKind is the kind of change of a replica record.
type ActionKind string

const (
	// ActionLoad creates a record in phase Loading.
	ActionLoad ActionKind = "load"
	// ActionReady moves a record to Ready.
	ActionReady ActionKind = "ready"
	// ActionUnload moves a record to Unloading.
	ActionUnload ActionKind = "unload"
	// ActionRemove deletes a record and frees its reservation.
	ActionRemove ActionKind = "remove"
)

// Action is one change of a replica record.
type Action struct {
	Kind ActionKind
	// Replica is the record to change; nil for ActionLoad.
	Replica *Replica
	// Spec is the new record for ActionLoad.
	Spec *v1.ReplicaSpec
	// Reason is logged and used as a metric label.
	Reason string
	// CrashedDuringLoad is set if the machine of the replica crashed while it loaded the version.
	CrashedDuringLoad bool
}

// Estimate tells routers when a version that requests wait for may be ready.
type Estimate struct {
	Version string
	// ReadyIn is the expected time until a replica is ready, including queued work.
	ReadyIn time.Duration
	// EarliestIn is the minimum time until a replica is ready. Deadlines are checked against this
	// bound, since queued work may finish earlier than expected.
	EarliestIn time.Duration
	// Refused is set if the version cannot be loaded; Reason states why.
	Refused bool
	Reason  string
}

// Decision is the result of Decide.
type Decision struct {
	Actions   []Action
	Estimates []Estimate
}
