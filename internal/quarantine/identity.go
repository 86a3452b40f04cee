package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/weldline/weldline/internal/fault"
)

// identityBytes is the length of an identity. Callers control the hashed content; finding a collision
// takes about 2^64 hashes.
const identityBytes = 16

// Identity is a hash of a request's content, equal on all nodes.
type Identity [identityBytes]byte

// Content is what identifies a request. It excludes IDs, deadlines, priorities and other headers,
// which differ between retries.
type Content struct {
	// Tenant is empty for callers without a key. Network addresses are not used instead: a caller
	// may have many, and many callers may share a proxy.
	Tenant string
	Method string
	Host   string
	// Target is the escaped path and query.
	Target string
	Body   []byte
}

// Identify returns the identity of a request with the given content.
func Identify(content Content) Identity {
	digest := sha256.New()
	for _, part := range []string{content.Tenant, content.Method, content.Host, content.Target} {
		// The length prefix makes the boundaries between parts unambiguous.
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = digest.Write(length[:])
		_, _ = digest.Write([]byte(part))
	}
	_, _ = digest.Write(content.Body)
	return Identity(digest.Sum(nil)[:identityBytes])
}

// LoadIdentity is the identity of the load requests for a model version.
func LoadIdentity(version string) Identity {
	return Identify(Content{Method: "LOAD", Target: version})
}

// PartIdentity is the identity of a prompt part.
func PartIdentity(part string) Identity {
	return Identify(Content{Method: "PART", Target: part})
}

// String returns the identity in hexadecimal, as used in logs and record names.
func (i Identity) String() string {
	return hex.EncodeToString(i[:])
}

// ParseIdentity parses the output of String.
func ParseIdentity(text string) (Identity, error) {
	decoded, err := hex.DecodeString(text)
	if err != nil {
		return Identity{}, fault.InvalidField("identity", "%q is not hexadecimal", text)
	}
	return IdentityFromBytes(decoded)
}

// IdentityFromBytes returns the identity with the given bytes.
func IdentityFromBytes(encoded []byte) (Identity, error) {
	if len(encoded) != identityBytes {
		return Identity{}, fault.InvalidField("identity", "has %d bytes, not %d", len(encoded), identityBytes)
	}
	return Identity(encoded), nil
}
