package v1

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"strconv"

	"github.com/weldline/weldline/internal/fault"
)

// TenantUnit is what a tenant's rate counts.
type TenantUnit string

// The units of a tenant's rate.
const (
	// UnitRequests counts every request as one.
	UnitRequests TenantUnit = "Requests"
	// UnitTokens counts the tokens of a request's prompt and the most of its answer.
	UnitTokens TenantUnit = "Tokens"
)

// KeyHash identifies a caller's key without being one.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a caller's key.
func HashKey(key string) KeyHash {
	return sha256.Sum256([]byte(key))
}

// String returns the hash as a TenantSpec lists it: in hexadecimal.
func (h KeyHash) String() string {
	return hex.EncodeToString(h[:])
}

// fingerprintBytes are enough to tell keys apart in logs, and too few to look one up.
const fingerprintBytes = 4

// Fingerprint is how logs name a key.
func (h KeyHash) Fingerprint() string {
	return hex.EncodeToString(h[:fingerprintBytes])
}

// ParseKeyHash reads a hash as a TenantSpec lists it; it reports whether it is one.
func ParseKeyHash(text string) (hash KeyHash, ok bool) {
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(hash) {
		return KeyHash{}, false
	}
	copy(hash[:], decoded)
	return hash, true
}

// TenantSpec declares a customer that shares the fleet with others. Once a tenant is
// declared, every request needs the key of one, except on anonymous routes.
type TenantSpec struct {
	// KeyHashes are the SHA-256 hashes, in hexadecimal, of the tenant's keys. No two
	// tenants share a key; one without keys is turned away.
	KeyHashes []string `json:"keyHashes,omitempty"`
	// Priority goes before the route's priority; higher first. Default: the route's.
	Priority *int32 `json:"priority,omitempty"`
	// Rate is how much the tenant may ask for in a second at all nodes together, in
	// units of Unit; 0: no limit.
	Rate float64 `json:"rate,omitempty"`
	// Burst is what it may ask for beside the rate at once, in units of Unit.
	Burst float64 `json:"burst,omitempty"`
	// Unit is what Rate and Burst count. Default Requests.
	Unit TenantUnit `json:"unit,omitempty"`
	// PlainTokens is what a request counts, in tokens, that doesn't name its own.
	PlainTokens float64 `json:"plainTokens,omitempty"`
	// AllowedRegions are the only regions whose machines may get the tenant's requests; empty:
	// all. Where a route has a list too, both bind.
	AllowedRegions []string `json:"allowedRegions,omitempty"`
}

// Cost is what a request with so many tokens counts, in units of the tenant's rate.
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
	listed := make(map[string]bool, len(s.KeyHashes))
	for position, text := range s.KeyHashes {
		field := "spec.keyHashes[" + strconv.Itoa(position) + "]"
		hash, ok := ParseKeyHash(text)
		if !ok || hash.String() != text {
			return fault.InvalidField(field, "must be a SHA-256 hash in lower-case hexadecimal")
		}
		if hash == HashKey("") {
			return fault.InvalidField(field, "is the hash of an empty key")
		}
		if listed[text] {
			return fault.InvalidField(field, "is listed twice")
		}
		listed[text] = true
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
	// First and Second are the tenants' names, in order; Position is the key's in the
	// second one's list.
	First, Second string
	Position      int
}

// FindSharedKey refuses tenants that share a key.
func FindSharedKey(tenants map[string]*TenantSpec) *SharedKey {
	names := make([]string, 0, len(tenants))
	for name := range tenants {
		names = append(names, name)
	}
	sort.Strings(names)
	holders := map[string]string{}
	for _, name := range names {
		for position, hash := range tenants[name].KeyHashes {
			if other, held := holders[hash]; held {
				return &SharedKey{First: other, Second: name, Position: position}
			}
			holders[hash] = name
		}
	}
	return nil
}
