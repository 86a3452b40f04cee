// Package keystest issues certificates for tests.
package keystest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/weldline/weldline/internal/keys"
)

// Authority is the certificate authority of a test cluster.
type Authority struct {
	t           *testing.T
	dir         string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

// NewAuthority returns an authority with its files in a temporary directory.
func NewAuthority(t *testing.T) *Authority {
	t.Helper()
	authority := &Authority{t: t, dir: t.TempDir(), serial: 1}
	authority.key = authority.newKey()
	template := authority.template("authority")
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &authority.key.PublicKey, authority.key)
	if err != nil {
		t.Fatal(err)
	}
	if authority.certificate, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	authority.write("authority.pem", "CERTIFICATE", der)
	return authority
}

func (a *Authority) newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	return key
}

func (a *Authority) template(name string) *x509.Certificate {
	a.serial++
	return &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
	}
}

// Issue writes a new certificate for a node and returns its files.
func (a *Authority) Issue(node string) keys.Files {
	a.t.Helper()
	key := a.newKey()
	der, err := x509.CreateCertificate(rand.Reader, a.template(node), a.certificate, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	encoded, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	return keys.Files{
		Certificate: a.write(node+".pem", "CERTIFICATE", der),
		Key:         a.write(node+".key", "EC PRIVATE KEY", encoded),
		Authority:   filepath.Join(a.dir, "authority.pem"),
	}
}

func (a *Authority) write(name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	content := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(path, content, 0o600); err != nil {
		a.t.Fatal(err)
	}
	return path
}
