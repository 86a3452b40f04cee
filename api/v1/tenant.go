package v1

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"strconv"

	"github.com/weldline/weldline/internal/fault"
)

// TenantUnit is the unit of a tenant's rate.
type TenantUnit string

// The units of a tenant's rate.
const (
	// UnitRequests counts every request as one.
	UnitRequests TenantUnit = "Requests"
	// UnitTokens counts the tokens of the prompt and the maximum of the response.
	UnitTokens TenantUnit = "Tokens"
)

// KeyHash is the SHA-256 hash of a caller's key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash under which a key is declared in TenantSpec.KeyHashes. The key is hashed as it
// is, without salt or normalization.
func HashKey(key string) KeyHash {
	return sha256.Sum256([]byte(key))
}

// String returns the hash in hexadecimal, as in TenantSpec.KeyHashes.
func (h KeyHash) String() string {
	return hex.EncodeToString(h[:])
}

// fingerprintBytes is enough to distinguish keys in logs, but not to identify a key.
const fingerprintBytes = 4

// Fingerprint returns a prefix of the hash for use in logs.
func (h KeyHash) Fingerprint() string {
	return hex.EncodeToString(h[:fingerprintBytes])
}

// ParseKeyHash parses a hash in hexadecimal. ok is false if the text is not a valid hash.
func ParseKeyHash(text string) (hash KeyHash, ok bool) {
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(hash) {
		return KeyHash{}, false
	}
	copy(hash[:], decoded)
	return hash, true
}

// TenantSpec declares a tenant. Once any tenant is declared, every request requires a
// tenant's key, except on anonymous routes.
type TenantSpec struct {
	// KeyHashes are the SHA-256 hashes of the tenant's keys, in hexadecimal. No two
	// tenants may share a key; all requests of a tenant without keys are rejected.
	KeyHashes []string `json:"keyHashes,omitempty"`
	// Priority overrides the route's priority. Default: the route's.
	Priority *int32 `json:"priority,omitempty"`
	// Rate is the limit per second over all nodes, in units of Unit; 0: no limit.
	Rate float64 `json:"rate,omitempty"`
	// Burst is the size of the token bucket, in units of Unit.
	Burst float64 `json:"burst,omitempty"`
	// Unit is the unit of Rate and Burst. Default Requests.
	Unit TenantUnit `json:"unit,omitempty"`
	// PlainTokens is the cost in tokens of a request that doesn't state its own.
	PlainTokens float64 `json:"plainTokens,omitempty"`
	// AllowedRegions restricts the tenant's requests to machines in these regions; empty: all. If
	// the route has a list too, both apply.
	AllowedRegions []string `json:"allowedRegions,omitempty"`
}

// Cost returns the cost of a request in units of the tenant's rate. tokens is 0 if the
// request doesn't state its tokens.
func (s *TenantSpec) Cost(tokens float64) float64 {
	switch {
	case s.Unit != UnitTokens:
		return 1
	case tokens > 0:
		return tokens
	}
	return s.PlainTokens
}

func (s *TenantSpec) setDefaults() {
	if s.Unit == "" {
		s.Unit = UnitRequests
	}
}

func (s *TenantSpec) validate() error {
	seen := make(map[string]bool, len(s.KeyHashes))
	for position, text := range s.KeyHashes {
		field := "spec.keyHashes[" + strconv.Itoa(position) + "]"
		hash, ok := ParseKeyHash(text)
		if !ok || hash.String() != text {
			return fault.InvalidField(field, "must be a SHA-256 hash in lower-case hexadecimal")
		}
		if hash == HashKey("") {
			return fault.InvalidField(field, "is the hash of an empty key")
		}
		if seen[text] {
			return fault.InvalidField(field, "is listed twice")
		}
		seen[text] = true
	}
	if s.Unit != UnitRequests && s.Unit != UnitTokens {
		return fault.InvalidField("spec.unit", "%q is not a unit", string(s.Unit))
	}
	return firstError(
		requireQuantity("spec.rate", s.Rate),
		requireQuantity("spec.burst", s.Burst),
		requireQuantity("spec.plainTokens", s.PlainTokens),
		requireTexts("spec.allowedRegions", s.AllowedRegions),
	)
}

// References implements Spec.
func (s *TenantSpec) References() []Reference { return nil }

// SharedKey is a key that two tenants list.
type SharedKey struct {
	// First and Second are the tenants' names in sorted order. Position is the index of
	// the key in the list of Second.
	First, Second string
	Position      int
}

// FindSharedKey returns a key that two tenants share, or nil.
func FindSharedKey(tenants map[string]*TenantSpec) *SharedKey {
	names := make([]string, 0, len(tenants))
	for name := range tenants {
		names = append(names, name)
	}
	sort.Strings(names)
	owners := map[string]string{}
	for _, name := range names {
		for position, hash := range tenants[name].KeyHashes {
			if other, exists := owners[hash]; exists {
				return &SharedKey{First: other, Second: name, Position: position}
			}
			owners[hash] = name
		}
	}
	return nil
}
