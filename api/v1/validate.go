package v1

import (
	"bytes"
	"encoding/json"
	"math"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"time"

	"github.com/weldline/weldline/internal/fault"
)

const (
	maxNameLength       = 120
	maxAccelerators     = 64
	maxReplicasPerModel = 1000
	defaultMaxReplicas  = 2
	defaultConcurrent   = 16
	defaultDeadline     = Duration(30 * time.Second)
	// DefaultColdStartWeight is the default of ServiceSpec.ColdStartWeight.
	DefaultColdStartWeight = 30
	maxDeadline            = Duration(24 * time.Hour)
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// Spec is a decoded spec of any kind.
type Spec interface {
	// setDefaults sets unset fields to their defaults.
	setDefaults()
	// validate checks all fields without regard to other resources.
	validate() error
	// References returns the resources that the spec refers to.
	References() []Reference
}

// Reference is a reference from a field of a spec to another resource.
type Reference struct {
	Field string
	Kind  Kind
	Name  string
	// Optional allows the referenced resource to be missing. If it exists, it can't
	// be deleted while it is referenced.
	Optional bool
}

// IsReferenceable reports whether specs can refer to resources of a kind. Machines and replicas, the most
// numerous resources, are excluded.
func (k Kind) IsReferenceable() bool {
	switch k {
	case KindModel, KindModelVersion, KindService, KindPool:
		return true
	}
	return false
}

// newSpec returns an empty spec, or nil for an unknown kind.
func newSpec(kind Kind) Spec {
	switch kind {
	case KindModel:
		return &ModelSpec{}
	case KindModelVersion:
		return &ModelVersionSpec{}
	case KindAdapter:
		return &AdapterSpec{}
	case KindService:
		return &ServiceSpec{}
	case KindLimit:
		return &LimitSpec{}
	case KindMachine:
		return &MachineSpec{}
	case KindReplica:
		return &ReplicaSpec{}
	case KindPool:
		return &PoolSpec{}
	case KindRoute:
		return &RouteSpec{}
	case KindDeclaration:
		return &DeclarationSpec{}
	case KindTenant:
		return &TenantSpec{}
	case KindSuspect:
		return &SuspectSpec{}
	case KindZoneDrain:
		return &ZoneDrainSpec{}
	}
	return nil
}

// DecodeSpec decodes a spec, sets defaults and validates it. Unknown fields are
// rejected.
func DecodeSpec(kind Kind, data []byte) (Spec, error) {
	spec := newSpec(kind)
	if spec == nil {
		return nil, fault.InvalidField("kind", "unknown kind %q", string(kind))
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(spec); err != nil {
		return nil, fault.InvalidField("spec", "%s", err.Error())
	}
	spec.setDefaults()
	if err := spec.validate(); err != nil {
		return nil, err
	}
	return spec, nil
}

// Normalize validates a resource and replaces its spec by one with defaults set.
func Normalize(resource *Resource) (Spec, error) {
	if resource.APIVersion != APIVersion {
		return nil, fault.InvalidField("apiVersion", "must be %q, not %q", APIVersion, resource.APIVersion)
	}
	if err := validateName("metadata.name", resource.Metadata.Name); err != nil {
		return nil, err
	}
	if _, err := ParseRevision(resource.Metadata.ResourceVersion); err != nil {
		return nil, err
	}
	spec, err := DecodeSpec(resource.Kind, resource.Spec)
	if err != nil {
		return nil, err
	}
	resource.Spec, err = json.Marshal(spec)
	if err != nil {
		return nil, fault.Internal.Wrap(err, "encoding a spec")
	}
	return spec, nil
}

// ParseRevision parses a resourceVersion. It returns nil for an empty one.
func ParseRevision(text string) (*uint64, error) {
	if text == "" {
		return nil, nil
	}
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, fault.InvalidField("metadata.resourceVersion", "must be a decimal number, not %q", text)
	}
	return &revision, nil
}

func validateName(field, name string) error {
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		return fault.InvalidField(field, "%q is not a name: use at most %d of a-z, 0-9, '-' and '.'", name, maxNameLength)
	}
	return nil
}

func requireText(field, value string) error {
	if value == "" {
		return fault.InvalidField(field, "is required")
	}
	return nil
}

// requireTexts checks that no entry of a list is empty.
func requireTexts(field string, values []string) error {
	for position, value := range values {
		if err := requireText(field+"["+strconv.Itoa(position)+"]", value); err != nil {
			return err
		}
	}
	return nil
}

func requireRange(field string, value, low, high int64) error {
	if value < low || value > high {
		return fault.InvalidField(field, "%d is not between %d and %d", value, low, high)
	}
	return nil
}

func requireNotNegative(field string, span Duration) error {
	if span < 0 {
		return fault.InvalidField(field, "a time-out must not be negative")
	}
	return nil
}

func requireQuantity(field string, value float64) error {
	if math.IsNaN(value) || value < 0 || value > maxQuantity {
		return fault.InvalidField(field, "%g is not between 0 and %g", value, maxQuantity)
	}
	return nil
}

const (
	maxBytes = int64(1) << 50
	// maxQuantity bounds rates and bursts so that sums of them stay exact as float64.
	maxQuantity = 1e12
)

func validateEndpoint(field, endpoint string) error {
	parsed, err := url.Parse(endpoint)
	if err != nil || parsed.Scheme != "http" && parsed.Scheme != "https" {
		return fault.InvalidField(field, "%q is not an http or https URL", endpoint)
	}
	if _, err := netip.ParseAddrPort(parsed.Host); err != nil {
		return fault.InvalidField(field, "%q must name an IP address and a port", endpoint)
	}
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *ModelSpec) setDefaults() {
	if s.MaxReplicas == 0 {
		s.MaxReplicas = max(defaultMaxReplicas, s.MinReplicas)
	}
}

func (s *ModelSpec) validate() error {
	return firstError(
		requireRange("spec.minReplicas", int64(s.MinReplicas), 0, maxReplicasPerModel),
		requireRange("spec.maxReplicas", int64(s.MaxReplicas), int64(max(1, s.MinReplicas)), maxReplicasPerModel),
	)
}

// References implements Spec. The default version is optional, since a model is
// declared before its versions.
func (s *ModelSpec) References() []Reference {
	if s.DefaultVersion == "" {
		return nil
	}
	return []Reference{{Field: "spec.defaultVersion", Kind: KindModelVersion, Name: s.DefaultVersion, Optional: true}}
}

func (s *ModelVersionSpec) setDefaults() {
	if s.Accelerators == 0 {
		s.Accelerators = 1
	}
	if s.MaxConcurrent == 0 {
		s.MaxConcurrent = defaultConcurrent
	}
}

func (s *ModelVersionSpec) validate() error {
	return firstError(
		requireText("spec.model", s.Model),
		requireText("spec.checkpoint", s.Checkpoint),
		requireRange("spec.weightBytes", s.WeightBytes, 1, maxBytes),
		requireRange("spec.cacheBytes", s.CacheBytes, 0, maxBytes),
		requireRange("spec.adapterBytes", s.AdapterBytes, 0, maxBytes),
		requireRange("spec.accelerators", int64(s.Accelerators), 1, maxAccelerators),
		requireRange("spec.maxConcurrent", int64(s.MaxConcurrent), 1, 100_000),
		s.validateAdapters(),
	)
}

// validateAdapters checks that adapter names are unique and not empty.
func (s *ModelVersionSpec) validateAdapters() error {
	seen := make(map[string]bool, len(s.Adapters))
	for position, name := range s.Adapters {
		field := "spec.adapters[" + strconv.Itoa(position) + "]"
		if err := requireText(field, name); err != nil {
			return err
		}
		if seen[name] {
			return fault.InvalidField(field, "%q is listed twice", name)
		}
		seen[name] = true
	}
	return nil
}

// References implements Spec.
func (s *ModelVersionSpec) References() []Reference {
	return []Reference{{Field: "spec.model", Kind: KindModel, Name: s.Model}}
}

// BytesPerAccelerator returns the memory that a replica reserves on each accelerator.
func (s *ModelVersionSpec) BytesPerAccelerator() int64 {
	total := s.WeightBytes + s.CacheBytes + s.AdapterBytes
	count := int64(s.Accelerators)
	return (total + count - 1) / count
}

func (s *AdapterSpec) setDefaults() {}

func (s *AdapterSpec) validate() error {
	return firstError(
		requireText("spec.model", s.Model),
		requireText("spec.checkpoint", s.Checkpoint),
		requireRange("spec.weightBytes", s.WeightBytes, 1, maxBytes),
	)
}

// References implements Spec.
func (s *AdapterSpec) References() []Reference {
	return []Reference{{Field: "spec.model", Kind: KindModel, Name: s.Model}}
}

func (s *ServiceSpec) setDefaults() {
	if s.Deadline == 0 {
		s.Deadline = defaultDeadline
	}
	if s.ColdStartWeight == 0 {
		s.ColdStartWeight = DefaultColdStartWeight
	}
}

func (s *ServiceSpec) validate() error {
	if (len(s.Models) == 0) == (s.Backend == nil) {
		return fault.InvalidField("spec.models", "exactly one of models and backend is required")
	}
	if s.Deadline < 0 || s.Deadline > maxDeadline {
		return fault.InvalidField("spec.deadline", "must be between 0s and %s", time.Duration(maxDeadline))
	}
	if s.ColdStartWeight < 0 {
		return fault.InvalidField("spec.coldStartWeight", "must not be negative")
	}
	if s.Backend == nil {
		return nil
	}
	if len(s.Backend.Endpoints) == 0 {
		return fault.InvalidField("spec.backend.endpoints", "is required")
	}
	for position, endpoint := range s.Backend.Endpoints {
		field := "spec.backend.endpoints[" + strconv.Itoa(position) + "]"
		if err := validateEndpoint(field, endpoint); err != nil {
			return err
		}
	}
	return nil
}

// References implements Spec.
func (s *ServiceSpec) References() []Reference {
	references := make([]Reference, 0, len(s.Models))
	for position, model := range s.Models {
		field := "spec.models[" + strconv.Itoa(position) + "]"
		references = append(references, Reference{Field: field, Kind: KindModel, Name: model})
	}
	return references
}

func (s *LimitSpec) setDefaults() {
	if s.Burst == 0 {
		s.Burst = int(s.RequestsPerSecond + 1)
	}
}

func (s *LimitSpec) validate() error {
	if s.RequestsPerSecond < 0 {
		return fault.InvalidField("spec.requestsPerSecond", "must not be negative")
	}
	return firstError(
		requireText("spec.service", s.Service),
		requireRange("spec.burst", int64(s.Burst), 1, 1_000_000),
		requireRange("spec.concurrent", int64(s.Concurrent), 0, 1_000_000),
	)
}

// References implements Spec.
func (s *LimitSpec) References() []Reference {
	return []Reference{{Field: "spec.service", Kind: KindService, Name: s.Service}}
}

func (s *MachineSpec) setDefaults() {}

func (s *MachineSpec) validate() error {
	endpoint := firstError(
		validateEndpoint("spec.endpoint", s.Endpoint),
		requireText("spec.zone", s.Zone),
	)
	if endpoint != nil || s.Pool != "" && s.Accelerators == 0 {
		return endpoint
	}
	return firstError(
		requireRange("spec.accelerators", int64(s.Accelerators), 1, maxAccelerators),
		requireRange("spec.acceleratorBytes", s.AcceleratorBytes, 1, maxBytes),
	)
}

// References implements Spec.
func (s *MachineSpec) References() []Reference { return nil }

func (s *ReplicaSpec) setDefaults() {}

func (s *ReplicaSpec) validate() error { return nil }

// References implements Spec. A replica has none: it exists until its engine has
// unloaded it, even if the declarations are deleted.
func (s *ReplicaSpec) References() []Reference { return nil }
