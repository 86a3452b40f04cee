// Package engine defines the HTTP protocol between weldline and a model
// engine. Inference follows the OpenAI API; this package holds the rest.
//
//	POST /v1/orders                fenced orders to load, unload, change role
//	GET  /v1/report                load, replicas, cached checkpoints
//	GET  /v1/events?after=N        cache events, late and with gaps
//	POST /v1/requests/{id}/cancel  stop a request
//	GET  /v1/requests/{id}/stream?from=N  resume a stream at a token
package engine

// Header names of requests from a router to an engine and of the answers.
const (
	// HeaderRequestID identifies one request; the answer repeats it.
	HeaderRequestID = "X-Request-Id"
	// HeaderReplica names the replica that shall run the request.
	HeaderReplica = "X-Weldline-Replica"
	// HeaderOutcome is "not-run" on an answer that proves that the request
	// did not run.
	HeaderOutcome = "X-Weldline-Outcome"
	// HeaderPriority orders requests in the engine; higher first.
	HeaderPriority = "X-Weldline-Priority"
	// HeaderAdapter names the adapter to apply.
	HeaderAdapter = "X-Weldline-Adapter"
	// HeaderIdempotencyKey names an unrepeatable request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// OutcomeNotRun is the value of HeaderOutcome.
	OutcomeNotRun = "not-run"
)

// OrderKind is what an order asks for.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order is a fenced order. An engine refuses an order for another
// incarnation, or whose fence is below the highest that it has accepted,
// unless the order is already carried out.
type Order struct {
	Kind        OrderKind `json:"kind"`
	Replica     string    `json:"replica"`
	Fence       uint64    `json:"fence"`
	Incarnation uint64    `json:"incarnation"`

	// For loads.
	Version             string `json:"version,omitempty"`
	Checkpoint          string `json:"checkpoint,omitempty"`
	WeightBytes         int64  `json:"weightBytes,omitempty"`
	Accelerators        []int  `json:"accelerators,omitempty"`
	BytesPerAccelerator int64  `json:"bytesPerAccelerator,omitempty"`
	CacheBytes          int64  `json:"cacheBytes,omitempty"`
	MaxConcurrent       int    `json:"maxConcurrent,omitempty"`

	// Role is for role changes: "mixed", "prefill" or "decode".
	Role string `json:"role,omitempty"`
}

// OrderResult answers an order.
type OrderResult struct {
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"`
	// Fence is the highest that the engine has accepted.
	Fence uint64 `json:"fence"`
}

// Reasons for which orders are refused.
const (
	ReasonStaleFence  = "stale-fence"
	ReasonIncarnation = "other-incarnation"
	ReasonNoMemory    = "no-memory"
	ReasonStopping    = "stopping"
)

// Phases of a replica on its engine.
const (
	PhaseLoading   = "loading"
	PhaseReady     = "ready"
	PhaseFailed    = "failed"
	PhaseUnloading = "unloading"
)

// Report is an engine's state, which may lag.
type Report struct {
	Machine     string          `json:"machine"`
	Incarnation uint64          `json:"incarnation"`
	Fence       uint64          `json:"fence"`
	Running     int             `json:"running"`
	Queued      int             `json:"queued"`
	Replicas    []ReplicaReport `json:"replicas"`
	// Checkpoints are those cached in memory or on disk.
	Checkpoints      []CheckpointReport `json:"checkpoints"`
	Accelerators     int                `json:"accelerators"`
	AcceleratorBytes int64              `json:"acceleratorBytes"`
}

// ReplicaReport is one replica in a Report.
type ReplicaReport struct {
	Replica         string   `json:"replica"`
	Version         string   `json:"version"`
	Phase           string   `json:"phase"`
	RemainingMillis int64    `json:"remainingMillis,omitempty"`
	Running         int      `json:"running"`
	Adapters        []string `json:"adapters,omitempty"`
	Reason          string   `json:"reason,omitempty"`
}

// CheckpointReport is the fastest tier of one cached checkpoint.
type CheckpointReport struct {
	Checkpoint string `json:"checkpoint"`
	Tier       string `json:"tier"`
}

// CacheEvent tells of a prefix that entered or left a replica's cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Replica  string `json:"replica"`
	// Prefix is the hash of the prompt's first block.
	Prefix  uint64 `json:"prefix"`
	Evicted bool   `json:"evicted,omitempty"`
}

// CacheEvents answers a request for events. Gaps show in the sequence.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Last   uint64       `json:"last"`
}
