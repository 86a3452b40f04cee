// Package engine defines the HTTP protocol between weldline and a model engine,
// except for inference, which uses the OpenAI API.
//
//	POST /v1/orders                       fenced orders: load, unload, change role
//	GET  /v1/report                       load, replicas, cached checkpoints
//	GET  /v1/events?after=N               cache events; may be delayed or lost
//	POST /v1/requests/{id}/cancel         cancel a request
//	GET  /v1/requests/{id}/stream?from=N  resume a stream at a token
package engine

// Headers of requests to an engine and of its responses.
const (
	// HeaderRequestID identifies a request. The response repeats it.
	HeaderRequestID = "X-Request-Id"
	// HeaderReplica names the replica to run the request on.
	HeaderReplica = "X-Weldline-Replica"
	// HeaderOutcome is OutcomeNotRun on a response if the request did not run.
	HeaderOutcome = "X-Weldline-Outcome"
	// HeaderPriority orders requests in the engine, highest first.
	HeaderPriority = "X-Weldline-Priority"
	// HeaderAdapter names the adapter to apply.
	HeaderAdapter = "X-Weldline-Adapter"
	// HeaderIdempotencyKey identifies an unrepeatable request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// OutcomeNotRun is the value of HeaderOutcome.
	OutcomeNotRun = "not-run"
)

// OrderKind is the operation of an order.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order is a fenced order. An engine refuses an order for another incarnation, and
// an order with a fence below the highest accepted one, unless it has already been
// executed.
type Order struct {
	Kind        OrderKind `json:"kind"`
	Replica     string    `json:"replica"`
	Fence       uint64    `json:"fence"`
	Incarnation uint64    `json:"incarnation"`

	// The fields up to MaxConcurrent are for loads.
	Version             string `json:"version,omitempty"`
	Checkpoint          string `json:"checkpoint,omitempty"`
	WeightBytes         int64  `json:"weightBytes,omitempty"`
	Accelerators        []int  `json:"accelerators,omitempty"`
	BytesPerAccelerator int64  `json:"bytesPerAccelerator,omitempty"`
	CacheBytes          int64  `json:"cacheBytes,omitempty"`
	MaxConcurrent       int    `json:"maxConcurrent,omitempty"`

	// Role is the new role of a role change: "mixed", "prefill" or "decode".
	Role string `json:"role,omitempty"`
}

// OrderResult is the response to an order.
type OrderResult struct {
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"`
	// Fence is the highest fence that the engine has accepted.
	Fence uint64 `json:"fence"`
}

// The reasons for which orders are refused.
const (
	ReasonStaleFence  = "stale-fence"
	ReasonIncarnation = "other-incarnation"
	ReasonNoMemory    = "no-memory"
	ReasonStopping    = "stopping"
)

// The phases of a replica on its engine.
const (
	PhaseLoading   = "loading"
	PhaseReady     = "ready"
	PhaseFailed    = "failed"
	PhaseUnloading = "unloading"
)

// Report is the state of an engine. It may be out of date.
type Report struct {
	Machine     string          `json:"machine"`
	Incarnation uint64          `json:"incarnation"`
	Fence       uint64          `json:"fence"`
	Running     int             `json:"running"`
	Queued      int             `json:"queued"`
	Replicas    []ReplicaReport `json:"replicas"`
	// Checkpoints are cached in memory or on disk.
	Checkpoints      []CheckpointReport `json:"checkpoints"`
	Accelerators     int                `json:"accelerators"`
	AcceleratorBytes int64              `json:"acceleratorBytes"`
}

// ReplicaReport is the state of one replica.
type ReplicaReport struct {
	Replica         string   `json:"replica"`
	Version         string   `json:"version"`
	Phase           string   `json:"phase"`
	RemainingMillis int64    `json:"remainingMillis,omitempty"`
	Running         int      `json:"running"`
	Adapters        []string `json:"adapters,omitempty"`
	Reason          string   `json:"reason,omitempty"`
}

// CheckpointReport names the fastest tier that has a checkpoint cached.
type CheckpointReport struct {
	Checkpoint string `json:"checkpoint"`
	Tier       string `json:"tier"`
}

// CacheEvent reports that a prefix was added to or evicted from a replica's cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Replica  string `json:"replica"`
	// Prefix is the hash of the prompt's first block.
	Prefix  uint64 `json:"prefix"`
	Evicted bool   `json:"evicted,omitempty"`
}

// CacheEvents is the response to a request for events. Lost events are gaps in the
// sequence.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Last   uint64       `json:"last"`
}
