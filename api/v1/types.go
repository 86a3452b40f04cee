// Package v1 defines the resources that operators declare and the records
// that weldline keeps beside them.
//
// Every resource has metadata, a spec that operators write and a status that
// weldline writes. Sizes are in bytes, durations are Go duration strings
// ("1.5s"), rates are per second.
package v1

import (
	"encoding/json"
	"time"
)

// APIVersion is the version of the resource types in this package.
const APIVersion = "weldline/v1"

// Kind names a type of resource.
type Kind string

// The kinds of resources. Replica and Suspect are written by weldline only.
const (
	KindModel        Kind = "Model"
	KindModelVersion Kind = "ModelVersion"
	KindAdapter      Kind = "Adapter"
	KindService      Kind = "Service"
	KindLimit        Kind = "Limit"
	KindMachine      Kind = "Machine"
	KindReplica      Kind = "Replica"
	KindPool         Kind = "Pool"
	KindRoute        Kind = "Route"
	KindDeclaration  Kind = "Declaration"
	KindTenant       Kind = "Tenant"
	KindSuspect      Kind = "Suspect"
	KindZoneDrain    Kind = "ZoneDrain"
)

// Kinds lists all kinds; a kind comes after those it may refer to.
var Kinds = []Kind{KindModel, KindModelVersion, KindAdapter, KindService, KindLimit, KindMachine, KindReplica, KindPool, KindRoute, KindDeclaration, KindTenant, KindSuspect, KindZoneDrain}

// Duration is a time span written as a Go duration string.
type Duration time.Duration

// MarshalJSON writes the duration as a string such as "250ms".
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a duration string.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	*d = Duration(value)
	return nil
}

// Metadata identifies a resource.
type Metadata struct {
	// Name is unique within the kind: lower-case letters, digits, "-" and ".".
	Name string `json:"name"`
	// ResourceVersion is the store revision of the last write, in decimal.
	// In a write it makes the write conditional; "0" means "must not exist".
	ResourceVersion string `json:"resourceVersion,omitempty"`
	// Generation counts changes of the spec. Set by weldline.
	Generation uint64 `json:"generation,omitempty"`
	// Labels are free for operators.
	Labels map[string]string `json:"labels,omitempty"`
}

// Resource is a resource of any kind with its spec still encoded.
type Resource struct {
	APIVersion string          `json:"apiVersion"`
	Kind       Kind            `json:"kind"`
	Metadata   Metadata        `json:"metadata"`
	Spec       json.RawMessage `json:"spec"`
	Status     json.RawMessage `json:"status,omitempty"`
}

// List is a list of resources at one revision of the store.
type List struct {
	Kind            Kind       `json:"kind"`
	ResourceVersion string     `json:"resourceVersion"`
	Items           []Resource `json:"items"`
}

// ModelSpec declares a model that callers may name.
type ModelSpec struct {
	// DefaultVersion is the ModelVersion that serves the model. Required
	// before the model can be served.
	DefaultVersion string `json:"defaultVersion,omitempty"`
	// MinReplicas are kept loaded at all times. Default 0.
	MinReplicas int `json:"minReplicas,omitempty"`
	// MaxReplicas bounds the replicas of the model. Default 2.
	MaxReplicas int `json:"maxReplicas,omitempty"`
}

// ModelVersionSpec declares one checkpoint of a model. Its spec can't be
// changed once accepted.
type ModelVersionSpec struct {
	// Model is the Model that this is a version of. Required.
	Model string `json:"model"`
	// Checkpoint is the name of the weights in the weight store. Required.
	Checkpoint string `json:"checkpoint"`
	// WeightBytes is the size of the weights on all accelerators together.
	WeightBytes int64 `json:"weightBytes"`
	// CacheBytes is reserved for the KV cache of a replica, on all of its
	// accelerators together.
	CacheBytes int64 `json:"cacheBytes"`
	// AdapterBytes is reserved for adapters of a replica. Default 0: none.
	AdapterBytes int64 `json:"adapterBytes,omitempty"`
	// Adapters are the names under which registered engines know the adapters of
	// the version. Default none: adapters are loaded once they are asked for.
	Adapters []string `json:"adapters,omitempty"`
	// Accelerators is how many accelerators a replica spans. Default 1.
	Accelerators int `json:"accelerators,omitempty"`
	// MaxConcurrent is how many requests a replica runs at once. Default 16.
	MaxConcurrent int `json:"maxConcurrent,omitempty"`
	// Pool restricts the version to machines that registered for a Pool.
	Pool string `json:"pool,omitempty"`
	// LoadTime, DiskLoadTime and MemoryLoadTime are how long a load takes from
	// the weight store, a machine's disk and its memory. Where they are 0,
	// they are learned.
	LoadTime       Duration `json:"loadTime,omitempty"`
	DiskLoadTime   Duration `json:"diskLoadTime,omitempty"`
	MemoryLoadTime Duration `json:"memoryLoadTime,omitempty"`
}

// AdapterSpec declares a low-rank adapter on a base model.
type AdapterSpec struct {
	// Model is the base Model. Required.
	Model string `json:"model"`
	// Checkpoint is the name of the adapter in the weight store. Required.
	Checkpoint string `json:"checkpoint"`
	// WeightBytes is the size of the adapter in accelerator memory.
	WeightBytes int64 `json:"weightBytes"`
}

// ServiceSpec declares how callers reach models or a generic back end.
type ServiceSpec struct {
	// Models that the service offers. Either Models or Backend is required.
	Models []string `json:"models,omitempty"`
	// Backend makes this a service of generic back ends.
	Backend *BackendSpec `json:"backend,omitempty"`
	// Priority orders requests under overload; higher first. Default 0.
	Priority int32 `json:"priority,omitempty"`
	// Deadline for requests that name none. Default 30s.
	Deadline Duration `json:"deadline,omitempty"`
	// ColdStartWeight is how many accelerator-seconds of idling a second of
	// cold start is worth. Default 30.
	ColdStartWeight float64 `json:"coldStartWeight,omitempty"`
}

// BackendSpec declares a pool of HTTP back ends.
type BackendSpec struct {
	// Endpoints are base URLs with IP addresses. Required.
	Endpoints []string `json:"endpoints"`
	// Unrepeatable lists path prefixes whose POST requests run at most once
	// and need an Idempotency-Key.
	Unrepeatable []string `json:"unrepeatable,omitempty"`
}

// LimitSpec bounds the use of a service by a caller.
type LimitSpec struct {
	// Service is the Service that the limit is for. Required.
	Service string `json:"service"`
	// Caller is the caller's name; empty for all callers together.
	Caller string `json:"caller,omitempty"`
	// RequestsPerSecond is the sustained rate in the whole fleet; 0: no limit.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	// Burst is how many requests may come at once. Default: the rate.
	Burst int `json:"burst,omitempty"`
	// Concurrent bounds requests in flight in the whole fleet; 0: no limit.
	Concurrent int `json:"concurrent,omitempty"`
}

// MachineSpec declares a machine with an engine on it.
type MachineSpec struct {
	// Endpoint is the engine's base URL with an IP address. Required.
	Endpoint string `json:"endpoint"`
	// Zone is where the machine stands. Required.
	Zone string `json:"zone"`
	// Accelerators is how many accelerators the machine has. Required.
	Accelerators int `json:"accelerators"`
	// AcceleratorBytes is the memory of each. Required.
	AcceleratorBytes int64 `json:"acceleratorBytes"`
	// Drain asks that the machine be emptied. Default false.
	Drain bool `json:"drain,omitempty"`
	// Pool is the Pool that the machine registered for; empty for a machine
	// that an operator or the machine list declared.
	Pool string `json:"pool,omitempty"`
	// Slots is how many requests a registered machine runs at once.
	Slots int `json:"slots,omitempty"`
	// StartedMs is when a registered machine started, in Unix milliseconds by its own clock; 0 if
	// it did not say.
	StartedMs int64 `json:"startedMs,omitempty"`
}

// MachinePhase tells whether a machine may get work.
type MachinePhase string

// The phases of a machine.
const (
	MachineLive    MachinePhase = "Live"
	MachineLeaving MachinePhase = "Leaving"
	MachineLost    MachinePhase = "Lost"
	MachineGone    MachinePhase = "Gone"
)

// MachineStatus is what weldline knows of a machine.
type MachineStatus struct {
	Phase MachinePhase `json:"phase"`
	// Incarnation is the engine process's, as last decided on.
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Reason says in words why the machine is not live.
	Reason string `json:"reason,omitempty"`
}

// DecodeMachineStatus decodes a machine's status. One that can't be read, such as of a later release,
// is that of a lost machine: it gets no new work.
func DecodeMachineStatus(encoded []byte) MachineStatus {
	status := MachineStatus{}
	if len(encoded) > 0 && json.Unmarshal(encoded, &status) != nil {
		return MachineStatus{Phase: MachineLost}
	}
	return status
}

// IsInUse reports whether a machine may get requests, if only where there is no other: it is neither
// leaving nor gone.
func (p MachinePhase) IsInUse() bool {
	return p == MachineLive || p == MachineLost
}

// Rank orders the phases that a registered machine passes through; it never
// goes back to a lower one. Lost is no step: a lost machine may return.
func (p MachinePhase) Rank() int {
	switch p {
	case MachineLeaving:
		return 1
	case MachineGone:
		return 2
	}
	return 0
}

// ReplicaPhase is how far a decided replica has come.
type ReplicaPhase string

// The phases of a replica. Memory is reserved in all of them.
const (
	// ReplicaLoading: the load is decided and ordered.
	ReplicaLoading ReplicaPhase = "Loading"
	// ReplicaReady: the engine confirmed the load.
	ReplicaReady ReplicaPhase = "Ready"
	// ReplicaUnloading: the unload is decided and ordered. Routers send
	// nothing new; the engine finishes what runs and then frees the memory.
	ReplicaUnloading ReplicaPhase = "Unloading"
)

// ReplicaSpec is one decided replica of a model version.
type ReplicaSpec struct {
	Model       string `json:"model"`
	Version     string `json:"version"`
	Checkpoint  string `json:"checkpoint"`
	Machine     string `json:"machine"`
	Incarnation uint64 `json:"incarnation"`
	// Accelerators are the positions of the reserved accelerators.
	Accelerators []int `json:"accelerators"`
	// BytesPerAccelerator is reserved on each of them.
	BytesPerAccelerator int64        `json:"bytesPerAccelerator"`
	WeightBytes         int64        `json:"weightBytes"`
	CacheBytes          int64        `json:"cacheBytes"`
	MaxConcurrent       int          `json:"maxConcurrent"`
	Phase               ReplicaPhase `json:"phase"`
	// Tier is where the checkpoint was when the load was decided.
	Tier string `json:"tier,omitempty"`
	// Adopted is set where the machine held the model before weldline decided
	// on it.
	Adopted bool `json:"adopted,omitempty"`
}

// ReplicaStatus is what weldline knows of a replica.
type ReplicaStatus struct {
	// Adapters that the replica holds, by name.
	Adapters []string `json:"adapters,omitempty"`
}

// ReplicaAdapters returns the adapters that an encoded ReplicaStatus names; none
// if it can't be read.
func ReplicaAdapters(status []byte) []string {
	decoded := ReplicaStatus{}
	if len(status) == 0 || json.Unmarshal(status, &decoded) != nil {
		return nil
	}
	return decoded.Adapters
}
