// Package keys holds a process's certificate for connections to other
// processes, operators and callers.
//
// The problem: processes must know each other before they exchange decisions,
// and certificates expire while processes run for months.
//
// The mechanism: every weldline process has a certificate of the cluster's own
// authority and asks for one from the other side (mutual TLS). Peers are
// reached by IP number, so what counts is the authority's signature and the
// node's name in the certificate, which must be the one in the peer's hello.
// The files are read again when they change, at most once a second; a pair
// that can't be read leaves the present one in use.
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/weldline/weldline/internal/fault"
)

// reloadInterval is how often the files are looked at.
const reloadInterval = time.Second

// Files name the PEM files of a process.
type Files struct {
	Certificate string
	Key         string
	// Authority signs the certificates of all processes of the cluster.
	Authority string
}

// Store gives out the present certificate. It is safe for concurrent use.
type Store struct {
	files Files
	now   func() time.Time

	mutex       sync.Mutex
	certificate *tls.Certificate
	authority   *x509.CertPool
	checked     time.Time
	modified    time.Time
}

// Load reads the files.
func Load(files Files) (*Store, error) {
	store := &Store{files: files, now: time.Now}
	if err := store.read(); err != nil {
		return nil, err
	}
	return store, nil
}

func (s *Store) read() error {
	certificate, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return fault.InvalidField("tls.certificate", "can't read the certificate and its key: %s", err.Error())
	}
	authority, err := ReadAuthority(s.files.Authority, "tls.authority")
	if err != nil {
		return err
	}
	s.certificate, s.authority = &certificate, authority
	s.checked = s.now()
	s.modified = s.newest()
	return nil
}

// ReadAuthority reads the certificates of an authority from a PEM file; errors
// name the given field.
func ReadAuthority(path, field string) (*x509.CertPool, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.InvalidField(field, "can't read the authority: %s", err.Error())
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(content) {
		return nil, fault.InvalidField(field, "the file holds no certificate")
	}
	return authority, nil
}

// newest is when one of the files was last changed.
func (s *Store) newest() time.Time {
	var newest time.Time
	for _, path := range []string{s.files.Certificate, s.files.Key, s.files.Authority} {
		if info, err := os.Stat(path); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// present returns the certificate and the authority, read again if the files
// have changed.
func (s *Store) present() (*tls.Certificate, *x509.CertPool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.now().Sub(s.checked) >= reloadInterval {
		s.checked = s.now()
		if !s.newest().Equal(s.modified) {
			_ = s.read() // The present pair stays in use until both files fit.
		}
	}
	return s.certificate, s.authority
}

// PeerServer is for connections that other processes open.
func (s *Store) PeerServer() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAnyClientCert,
		GetCertificate:   func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.certificateNow(), nil },
		VerifyConnection: s.verifyPeer,
	}
}

// PeerClient is for connections to other processes.
func (s *Store) PeerClient() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The name of an IP number says nothing; verifyPeer checks the chain.
		InsecureSkipVerify:   true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return s.certificateNow(), nil },
		VerifyConnection:     s.verifyPeer,
	}
}

// PublicServer is for operators and callers, who show no certificate.
func (s *Store) PublicServer() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.certificateNow(), nil },
	}
}

func (s *Store) certificateNow() *tls.Certificate {
	certificate, _ := s.present()
	return certificate
}

// verifyPeer checks that the other side's certificate is of the cluster's
// authority and within its time.
func (s *Store) verifyPeer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return fault.Unauthorized.New("the peer showed no certificate")
	}
	_, authority := s.present()
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: authority, Intermediates: intermediates, CurrentTime: s.now(),
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return fault.Unauthorized.Wrap(err, "the peer's certificate")
	}
	return nil
}

// CheckName checks that a peer's certificate carries the node name that it
// gave in its hello.
func CheckName(state tls.ConnectionState, node string) error {
	if len(state.PeerCertificates) == 0 {
		return fault.Unauthorized.New("the peer showed no certificate")
	}
	certificate := state.PeerCertificates[0]
	if certificate.Subject.CommonName == node || slices.Contains(certificate.DNSNames, node) {
		return nil
	}
	return fault.Unauthorized.New("the peer calls itself %s, its certificate does not", node)
}
