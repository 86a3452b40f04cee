// Package v1 defines the resources of the API.
//
// Every resource has metadata, a spec and a status. Operators write the spec, and
// weldline writes the status; Replica and Suspect are written by weldline only.
// Sizes are in bytes, durations are Go duration strings ("1.5s"), rates are per
// second.
package v1

import (
	"encoding/json"
	"time"
)

// APIVersion is the version of the resource types in this package.
const APIVersion = "weldline/v1"

// Kind is the type of a resource.
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

// Kinds lists all kinds, each after those that it may refer to.
var Kinds = []Kind{KindModel, KindModelVersion, KindAdapter, KindService, KindLimit, KindMachine, KindReplica, KindPool, KindRoute, KindDeclaration, KindTenant, KindSuspect, KindZoneDrain}

// Duration is encoded as a Go duration string.
type Duration time.Duration

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler.
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
	// Generation is incremented with each change of the spec. Set by weldline.
	Generation uint64 `json:"generation,omitempty"`
	// Labels are set by operators; weldline does not interpret them.
	Labels map[string]string `json:"labels,omitempty"`
}

// Resource is a resource of any kind, with encoded spec and status.
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

// ModelSpec declares a model that callers can request.
type ModelSpec struct {
	// DefaultVersion is the ModelVersion that serves the model. The model is not
	// served without it.
	DefaultVersion string `json:"defaultVersion,omitempty"`
	// MinReplicas is the number of replicas to keep loaded. Default 0.
	MinReplicas int `json:"minReplicas,omitempty"`
	// MaxReplicas bounds the replicas of the model. Default 2.
	MaxReplicas int `json:"maxReplicas,omitempty"`
}

// ModelVersionSpec declares one checkpoint of a model. It is immutable.
type ModelVersionSpec struct {
	// Model is the versioned Model. Required.
	Model string `json:"model"`
	// Checkpoint is the name of the weights in the weight store. Required.
	Checkpoint string `json:"checkpoint"`
	// WeightBytes is the size of the weights, summed over all accelerators.
	WeightBytes int64 `json:"weightBytes"`
	// CacheBytes is the memory reserved for the KV cache of a replica, summed over
	// its accelerators.
	CacheBytes int64 `json:"cacheBytes"`
	// AdapterBytes is the memory reserved for the adapters of a replica. Default 0.
	AdapterBytes int64 `json:"adapterBytes,omitempty"`
	// Adapters are the names of the version's adapters on registered engines.
	// Default none: adapters are loaded on demand.
	Adapters []string `json:"adapters,omitempty"`
	// Accelerators is the number of accelerators of a replica. Default 1.
	Accelerators int `json:"accelerators,omitempty"`
	// MaxConcurrent bounds the concurrent requests of a replica. Default 16.
	MaxConcurrent int `json:"maxConcurrent,omitempty"`
	// Pool restricts the version to machines that registered for a Pool.
	Pool string `json:"pool,omitempty"`
	// LoadTime, DiskLoadTime and MemoryLoadTime are the durations of a load from
	// the weight store, a machine's disk and its memory. 0: estimated from
	// observed loads.
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
	// WeightBytes is the size in accelerator memory.
	WeightBytes int64 `json:"weightBytes"`
}

// ServiceSpec declares a service of models or of generic back ends.
type ServiceSpec struct {
	// Models lists the models of the service. Exactly one of Models and Backend is
	// required.
	Models []string `json:"models,omitempty"`
	// Backend declares generic back ends.
	Backend *BackendSpec `json:"backend,omitempty"`
	// Priority orders requests under overload, highest first. Default 0.
	Priority int32 `json:"priority,omitempty"`
	// Deadline applies to requests without their own. Default 30s.
	Deadline Duration `json:"deadline,omitempty"`
	// ColdStartWeight is the cost of a second of cold start in idle
	// accelerator-seconds. Default 30.
	ColdStartWeight float64 `json:"coldStartWeight,omitempty"`
}

// BackendSpec declares a pool of HTTP back ends.
type BackendSpec struct {
	// Endpoints are base URLs with IP addresses. Required.
	Endpoints []string `json:"endpoints"`
	// Unrepeatable lists path prefixes whose POST requests run at most once and
	// require an Idempotency-Key.
	Unrepeatable []string `json:"unrepeatable,omitempty"`
}

// LimitSpec limits the requests of a caller to a service.
type LimitSpec struct {
	// Service is the limited Service. Required.
	Service string `json:"service"`
	// Caller is the caller's name; empty: all callers together.
	Caller string `json:"caller,omitempty"`
	// RequestsPerSecond bounds the sustained rate over all nodes; 0: no limit.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	// Burst is the size of the token bucket. Default: the rate.
	Burst int `json:"burst,omitempty"`
	// Concurrent bounds the requests in flight over all nodes; 0: no limit.
	Concurrent int `json:"concurrent,omitempty"`
}

// MachineSpec declares a machine with an engine.
type MachineSpec struct {
	// Endpoint is the engine's base URL with an IP address. Required.
	Endpoint string `json:"endpoint"`
	// Zone is the zone in which the machine runs. Required.
	Zone string `json:"zone"`
	// Accelerators is the number of accelerators. Required.
	Accelerators int `json:"accelerators"`
	// AcceleratorBytes is the memory of each accelerator. Required.
	AcceleratorBytes int64 `json:"acceleratorBytes"`
	// Drain requests that all replicas be moved off the machine. Default false.
	Drain bool `json:"drain,omitempty"`
	// Pool is the Pool of a self-registered machine; empty for a machine declared by
	// an operator or the machine list.
	Pool string `json:"pool,omitempty"`
	// Slots is the number of requests that a registered machine runs concurrently.
	Slots int `json:"slots,omitempty"`
	// StartedMs is the start time reported by a registered machine, in Unix milliseconds by its
	// own clock; 0: not reported.
	StartedMs int64 `json:"startedMs,omitempty"`
	// Software is the version of the software that a registered machine runs; empty if it did not
	// report one. It never changes: a machine that runs another version has another record.
	Software string `json:"software,omitempty"`
}

// MachinePhase is the lifecycle phase of a machine.
type MachinePhase string

// The phases of a machine.
const (
	MachineLive    MachinePhase = "Live"
	MachineLeaving MachinePhase = "Leaving"
	MachineLost    MachinePhase = "Lost"
	MachineGone    MachinePhase = "Gone"
)

// MachineStatus is the status of a Machine.
type MachineStatus struct {
	Phase MachinePhase `json:"phase"`
	// Incarnation is the last recorded incarnation of the engine process.
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Reason is a description of why the machine is not live.
	Reason string `json:"reason,omitempty"`
}

// DecodeMachineStatus decodes a machine's status. If it can't be decoded, for example because a later
// release wrote it, the machine counts as lost and gets no new replicas.
func DecodeMachineStatus(encoded []byte) MachineStatus {
	status := MachineStatus{}
	if len(encoded) > 0 && json.Unmarshal(encoded, &status) != nil {
		return MachineStatus{Phase: MachineLost}
	}
	return status
}

// IsInUse reports whether a machine may get requests: it is neither leaving nor gone. Callers use a
// lost machine only if there is no live one.
func (p MachinePhase) IsInUse() bool {
	return p == MachineLive || p == MachineLost
}

// Rank orders the phases of a registered machine, which never returns to a phase
// of lower rank. A lost machine has the rank of a live one, as it may return.
func (p MachinePhase) Rank() int {
	switch p {
	case MachineLeaving:
		return 1
	case MachineGone:
		return 2
	}
	return 0
}

// ReplicaPhase is the lifecycle phase of a replica.
type ReplicaPhase string

// The phases of a replica. Memory is reserved in all of them.
const (
	// ReplicaLoading means that the load is decided and ordered.
	ReplicaLoading ReplicaPhase = "Loading"
	// ReplicaReady means that the engine has confirmed the load.
	ReplicaReady ReplicaPhase = "Ready"
	// ReplicaUnloading means that the unload is decided and ordered. Routers send
	// no new requests; the engine frees the memory when the running ones have ended.
	ReplicaUnloading ReplicaPhase = "Unloading"
)

// ReplicaSpec is the decision to load a replica of a model version on a machine.
type ReplicaSpec struct {
	Model       string `json:"model"`
	Version     string `json:"version"`
	Checkpoint  string `json:"checkpoint"`
	Machine     string `json:"machine"`
	Incarnation uint64 `json:"incarnation"`
	// Accelerators are the indexes of the reserved accelerators.
	Accelerators []int `json:"accelerators"`
	// BytesPerAccelerator is the memory reserved on each of them.
	BytesPerAccelerator int64        `json:"bytesPerAccelerator"`
	WeightBytes         int64        `json:"weightBytes"`
	CacheBytes          int64        `json:"cacheBytes"`
	MaxConcurrent       int          `json:"maxConcurrent"`
	Phase               ReplicaPhase `json:"phase"`
	// Tier is the storage tier of the checkpoint when the load was decided.
	Tier string `json:"tier,omitempty"`
	// Adopted is set if the model was on the machine before weldline decided to
	// load it.
	Adopted bool `json:"adopted,omitempty"`
}

// ReplicaStatus is the status of a Replica.
type ReplicaStatus struct {
	// Adapters are the names of the loaded adapters.
	Adapters []string `json:"adapters,omitempty"`
}

// ReplicaAdapters returns the adapters in an encoded ReplicaStatus, or nil if it
// can't be decoded.
func ReplicaAdapters(status []byte) []string {
	decoded := ReplicaStatus{}
	if len(status) == 0 || json.Unmarshal(status, &decoded) != nil {
		return nil
	}
	return decoded.Adapters
}
