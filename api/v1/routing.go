package v1

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/weldline/weldline/internal/fault"
)

// RouteKind tells what may be repeated.
type RouteKind string

// The kinds of routes.
const (
	// RouteRepeatable requests may run more than once.
	RouteRepeatable RouteKind = "Repeatable"
	// RouteUnrepeatable requests run at most once.
	RouteUnrepeatable RouteKind = "Unrepeatable"
	// RouteStream requests are answered by a series of events and run at most
	// once, unless the route is resumable.
	RouteStream RouteKind = "Stream"
)

// RouteSpec declares which requests go to which pools.
type RouteSpec struct {
	// Host is the name that the caller asked for. Required.
	Host string `json:"host"`
	// PathPrefix begins and ends with a slash; the longest match wins.
	PathPrefix string    `json:"pathPrefix"`
	Kind       RouteKind `json:"kind"`
	// Timeout is the longest that an attempt of a caller is held. Required.
	Timeout Duration `json:"timeout"`
	// TargetLatency is within which an answer is worth its full value.
	TargetLatency Duration `json:"targetLatency,omitempty"`
	// Priority orders requests under overload; higher first. Default 0.
	Priority int32 `json:"priority,omitempty"`
	// Targets share the requests by weight. Required.
	Targets []RouteTarget `json:"targets"`
	// MaxAttempts is to how many machines one request may go. Default 1.
	MaxAttempts int `json:"maxAttempts,omitempty"`
	// Resumable streams may continue on another machine.
	Resumable bool `json:"resumable,omitempty"`
	// Anonymous routes take requests without a tenant's key.
	Anonymous bool `json:"anonymous,omitempty"`
	// Affinity prefers machines that hold the beginning of the prompt.
	Affinity bool `json:"affinity,omitempty"`
	// FirstByteLimit is for how long callers wait for the first byte of an
	// answer; 0 if only the deadline counts.
	FirstByteLimit Duration `json:"firstByteLimit,omitempty"`
	// PauseTarget is the longest pause between events of a timely stream.
	PauseTarget Duration `json:"pauseTarget,omitempty"`
	// AllowedRegions are the only regions whose machines may get requests of the route; empty:
	// all. Where a tenant has a list too, both bind.
	AllowedRegions []string `json:"allowedRegions,omitempty"`
}

// RouteTarget is a pool's share of a route.
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

// PoolSpec declares a pool of machines that register by themselves.
type PoolSpec struct {
	// MaxConnections is how many connections one machine takes from all
	// routers together; 0: no limit.
	MaxConnections int `json:"maxConnections,omitempty"`
	// Engine is set where the machines hold models that weldline places.
	Engine *EngineSpec `json:"engine,omitempty"`
	// Warming is set where machines bear less for a while after their start.
	Warming *WarmingSpec `json:"warming,omitempty"`
}

// WarmingSpec says what a machine bears while it warms up: for some time after its start, and
// whenever it says so.
type WarmingSpec struct {
	// StartTime is for how long a machine warms up after its start. It is for whoever reads the
	// declaration: a machine says itself for how long it still warms up, and that is what counts.
	StartTime Duration `json:"startTime"`
	// RequestsPerSecond is how many requests it bears meanwhile, from all routers together.
	// Required, above 0.
	RequestsPerSecond float64 `json:"requestsPerSecond"`
}

func (s *WarmingSpec) validate() error {
	if s == nil {
		return nil
	}
	if s.StartTime < 0 {
		return fault.InvalidField("spec.warming.startTime", "must not be negative")
	}
	if !(s.RequestsPerSecond > 0) { // Not a number, too.
		return fault.InvalidField("spec.warming.requestsPerSecond", "must be above 0")
	}
	return nil
}

// EngineSpec describes the engines of a pool's machines.
type EngineSpec struct {
	// Slots is how many requests an engine runs at once.
	Slots int `json:"slots"`
	// CacheTokens is for how many tokens an engine has memory.
	CacheTokens int64 `json:"cacheTokens,omitempty"`
	// MemoryBytes is the room for weights and adapters together.
	MemoryBytes int64 `json:"memoryBytes"`
	// AdapterSlots is how many adapters an engine holds at most.
	AdapterSlots int `json:"adapterSlots,omitempty"`
	// StoreLoadsPerSecond is the rate that the weight store admits.
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

// DeclarationSpec describes the document that declared the routes and pools.
type DeclarationSpec struct {
	// Version of the document; the highest wins.
	Version uint64 `json:"version"`
	// MaxHeaderBytes and MaxBodyBytes bound a caller's request.
	MaxHeaderBytes int64 `json:"maxHeaderBytes,omitempty"`
	MaxBodyBytes   int64 `json:"maxBodyBytes,omitempty"`
	// HeaderTimeout is how long a caller may take to send a request's head.
	HeaderTimeout Duration `json:"headerTimeout,omitempty"`
	// IdleTimeout is how long a caller's connection may rest.
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

// ValidateRoutes refuses routes that share host and prefix.
func ValidateRoutes(routes map[string]*RouteSpec) error {
	names := make([]string, 0, len(routes))
	for name := range routes {
		names = append(names, name)
	}
	sort.Strings(names)
	taken := make(map[string]string, len(routes))
	for _, name := range names {
		place := routes[name].Host + routes[name].PathPrefix
		if other, used := taken[place]; used {
			return fault.InvalidField("spec.pathPrefix", "routes %s and %s share host and prefix", other, name)
		}
		taken[place] = name
	}
	return nil
}
