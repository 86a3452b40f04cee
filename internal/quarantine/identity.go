package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/weldline/weldline/internal/fault"
)

// identityBytes is the length of an Identity. A caller chooses what is hashed; to find two
// requests with one identity takes about 2^64 hashes.
const identityBytes = 16

// Identity tells a request by what it is, whichever router it comes to and under whatever
// id: the same on every node and in every life of one.
type Identity [identityBytes]byte

// Content is what makes two sends the same request. Ids, deadlines, priorities and other
// headers differ from one send to the next.
type Content struct {
	// Tenant is the caller's, empty where callers show no key. Their network address is no
	// part of it: one caller may come from many, and many through one proxy.
	Tenant string
	Method string
	Host   string
	// Target is the escaped path with the query.
	Target string
	Body   []byte
}

// Identify returns the identity of a request.
func Identify(content Content) Identity {
	digest := sha256.New()
	for _, part := range []string{content.Tenant, content.Method, content.Host, content.Target} {
		// The length keeps the end of one part apart from the beginning of the next.
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = digest.Write(length[:])
		_, _ = digest.Write([]byte(part))
	}
	_, _ = digest.Write(content.Body)
	return Identity(digest.Sum(nil)[:identityBytes])
}

// LoadIdentity is the identity of the loads of a model version, as an order to engines.
func LoadIdentity(version string) Identity {
	return Identify(Content{Method: "LOAD", Target: version})
}

// String is the identity in hexadecimal, as it stands in logs and names of records.
func (i Identity) String() string {
	return hex.EncodeToString(i[:])
}

// ParseIdentity reads what String wrote.
func ParseIdentity(text string) (Identity, error) {
	decoded, err := hex.DecodeString(text)
	if err != nil {
		return Identity{}, fault.InvalidField("identity", "%q is not hexadecimal", text)
	}
	return IdentityFromBytes(decoded)
}

// IdentityFromBytes reads an identity from its bytes.
func IdentityFromBytes(encoded []byte) (Identity, error) {
	if len(encoded) != identityBytes {
		return Identity{}, fault.InvalidField("identity", "has %d bytes, not %d", len(encoded), identityBytes)
	}
	return Identity(encoded), nil
}
