package v1

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/weldline/weldline/internal/fault"
)

// RouteKind determines whether requests of a route may be retried.
type RouteKind string

// The kinds of routes.
const (
	// RouteRepeatable marks idempotent requests, which may run more than once.
	RouteRepeatable RouteKind = "Repeatable"
	// RouteUnrepeatable marks requests that run at most once.
	RouteUnrepeatable RouteKind = "Unrepeatable"
	// RouteStream marks requests with a stream of events as response. They run at
	// most once, unless the route is resumable.
	RouteStream RouteKind = "Stream"
)

// RouteSpec declares which pools serve the requests for a host and path prefix.
type RouteSpec struct {
	// Host is matched with the request's host. Required.
	Host string `json:"host"`
	// PathPrefix must begin and end with a slash; the longest match wins.
	PathPrefix string    `json:"pathPrefix"`
	Kind       RouteKind `json:"kind"`
	// Timeout bounds a request, from its arrival to the end of the response. Required.
	Timeout Duration `json:"timeout"`
	// TargetLatency is the response time within which a response has its full value.
	TargetLatency Duration `json:"targetLatency,omitempty"`
	// Priority orders requests under overload, highest first. Default 0.
	Priority int32 `json:"priority,omitempty"`
	// Targets receive requests in proportion to their weights. Required.
	Targets []RouteTarget `json:"targets"`
	// MaxAttempts bounds the machines that a request is sent to. Default 1.
	MaxAttempts int `json:"maxAttempts,omitempty"`
	// Resumable allows a stream to continue on another machine.
	Resumable bool `json:"resumable,omitempty"`
	// Anonymous allows requests without a tenant's key.
	Anonymous bool `json:"anonymous,omitempty"`
	// Affinity prefers machines that have the prompt's prefix in their cache.
	Affinity bool `json:"affinity,omitempty"`
	// FirstByteLimit bounds the time to the first byte of the response; 0: only
	// the deadline applies.
	FirstByteLimit Duration `json:"firstByteLimit,omitempty"`
	// PauseTarget is the target for the longest pause between events of a stream.
	PauseTarget Duration `json:"pauseTarget,omitempty"`
	// AllowedRegions restricts the route's requests to machines in these regions; empty: all. If
	// the tenant has a list too, both apply.
	AllowedRegions []string `json:"allowedRegions,omitempty"`
}

// RouteTarget is a pool with its weight in a route.
type RouteTarget struct {
	Pool   string `json:"pool"`
	Weight int    `json:"weight"`
}

// Repeatable reports whether a request of the route may run more than once.
func (s *RouteSpec) Repeatable() bool {
	return s.Kind == RouteRepeatable || s.Kind == RouteStream && s.Resumable
}

func (s *RouteSpec) setDefaults() {
	if s.MaxAttempts == 0 {
		s.MaxAttempts = 1
	}
}

func (s *RouteSpec) validate() error {
	if err := requireText("spec.host", s.Host); err != nil {
		return err
	}
	if !strings.HasPrefix(s.PathPrefix, "/") || !strings.HasSuffix(s.PathPrefix, "/") {
		return fault.InvalidField("spec.pathPrefix", "%q must begin and end with a slash", s.PathPrefix)
	}
	switch s.Kind {
	case RouteRepeatable, RouteUnrepeatable, RouteStream:
	default:
		return fault.InvalidField("spec.kind", "%q is not a kind of route", string(s.Kind))
	}
	if s.Timeout <= 0 || s.Timeout > maxDeadline {
		return fault.InvalidField("spec.timeout", "must be above 0s and at most %s", time.Duration(maxDeadline))
	}
	return firstError(requireTexts("spec.allowedRegions", s.AllowedRegions), s.validateTargets())
}

func (s *RouteSpec) validateTargets() error {
	total := 0
	for position, target := range s.Targets {
		field := "spec.targets[" + strconv.Itoa(position) + "]"
		if err := requireText(field+".pool", target.Pool); err != nil {
			return err
		}
		if target.Weight < 0 {
			return fault.InvalidField(field+".weight", "must not be negative")
		}
		total += target.Weight
	}
	if total == 0 {
		return fault.InvalidField("spec.targets", "the weights add up to 0")
	}
	return requireRange("spec.maxAttempts", int64(s.MaxAttempts), 1, 100)
}

// References implements Spec.
func (s *RouteSpec) References() []Reference {
	references := make([]Reference, 0, len(s.Targets))
	for position, target := range s.Targets {
		field := "spec.targets[" + strconv.Itoa(position) + "].pool"
		references = append(references, Reference{Field: field, Kind: KindPool, Name: target.Pool})
	}
	return references
}

// PoolSpec declares a pool of self-registering machines.
type PoolSpec struct {
	// MaxConnections bounds the connections to one machine from all routers
	// together; 0: no limit.
	MaxConnections int `json:"maxConnections,omitempty"`
	// Engine is set if weldline places models on the machines.
	Engine *EngineSpec `json:"engine,omitempty"`
	// Warming is set if machines have a lower request rate while they warm up.
	Warming *WarmingSpec `json:"warming,omitempty"`
}

// WarmingSpec limits the request rate of a machine that warms up: after its start, and whenever
// it reports that it does.
type WarmingSpec struct {
	// StartTime is the expected warm-up time after a start. It is informative only: machines
	// report the remaining time themselves.
	StartTime Duration `json:"startTime"`
	// RequestsPerSecond bounds the request rate of a machine that warms up, from all routers
	// together. Required, above 0.
	RequestsPerSecond float64 `json:"requestsPerSecond"`
}

func (s *WarmingSpec) validate() error {
	if s == nil {
		return nil
	}
	if s.StartTime < 0 {
		return fault.InvalidField("spec.warming.startTime", "must not be negative")
	}
	if !(s.RequestsPerSecond > 0) { // Also rejects NaN.
		return fault.InvalidField("spec.warming.requestsPerSecond", "must be above 0")
	}
	return nil
}

// EngineSpec describes the engines on a pool's machines.
type EngineSpec struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int `json:"slots"`
	// CacheTokens is the capacity of an engine's KV cache.
	CacheTokens int64 `json:"cacheTokens,omitempty"`
	// MemoryBytes is the memory for weights and adapters together.
	MemoryBytes int64 `json:"memoryBytes"`
	// AdapterSlots is the maximum number of loaded adapters.
	AdapterSlots int `json:"adapterSlots,omitempty"`
	// StoreLoadsPerSecond is the rate limit of the weight store.
	StoreLoadsPerSecond float64 `json:"storeLoadsPerSecond,omitempty"`
}

func (s *PoolSpec) setDefaults() {}

func (s *PoolSpec) validate() error {
	err := firstError(requireRange("spec.maxConnections", int64(s.MaxConnections), 0, 1_000_000), s.Warming.validate())
	if err != nil || s.Engine == nil {
		return err
	}
	if s.Engine.StoreLoadsPerSecond < 0 {
		return fault.InvalidField("spec.engine.storeLoadsPerSecond", "must not be negative")
	}
	return firstError(
		requireRange("spec.engine.slots", int64(s.Engine.Slots), 1, 100_000),
		requireRange("spec.engine.memoryBytes", s.Engine.MemoryBytes, 1, maxBytes),
		requireRange("spec.engine.adapterSlots", int64(s.Engine.AdapterSlots), 0, 100_000),
	)
}

// References implements Spec.
func (s *PoolSpec) References() []Reference { return nil }

// DeclarationSpec describes the document that declares the routes and pools.
type DeclarationSpec struct {
	// Version is the document's version; the highest wins.
	Version        uint64 `json:"version"`
	MaxHeaderBytes int64  `json:"maxHeaderBytes,omitempty"`
	MaxBodyBytes   int64  `json:"maxBodyBytes,omitempty"`
	// HeaderTimeout bounds the time to receive the headers of a request.
	HeaderTimeout Duration `json:"headerTimeout,omitempty"`
	// IdleTimeout bounds the idle time of a caller's connection.
	IdleTimeout Duration `json:"idleTimeout,omitempty"`
}

func (s *DeclarationSpec) setDefaults() {}

func (s *DeclarationSpec) validate() error {
	return firstError(
		requireNotNegative("spec.headerTimeout", s.HeaderTimeout),
		requireNotNegative("spec.idleTimeout", s.IdleTimeout),
		requireRange("spec.maxHeaderBytes", s.MaxHeaderBytes, 0, maxBytes),
		requireRange("spec.maxBodyBytes", s.MaxBodyBytes, 0, maxBytes),
	)
}

// References implements Spec.
func (s *DeclarationSpec) References() []Reference { return nil }

// ValidateRoutes returns an error if two routes have the same host and prefix.
func ValidateRoutes(routes map[string]*RouteSpec) error {
	names := make([]string, 0, len(routes))
	for name := range routes {
		names = append(names, name)
	}
	sort.Strings(names)
	owners := make(map[string]string, len(routes))
	for _, name := range names {
		key := routes[name].Host + routes[name].PathPrefix
		if other, exists := owners[key]; exists {
			return fault.InvalidField("spec.pathPrefix", "routes %s and %s share host and prefix", other, name)
		}
		owners[key] = name
	}
	return nil
}
