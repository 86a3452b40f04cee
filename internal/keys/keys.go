// Package keys provides the TLS configurations of a process and reloads its
// certificate when the files change.
//
// Processes of a cluster authenticate each other by mutual TLS with certificates
// of the cluster's own authority. Peers are addressed by IP, so the node name in
// the certificate is checked against the peer's hello. If the changed files can't
// be read, the previous certificate stays in use.
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

// reloadInterval is the minimum time between two checks of the files.
const reloadInterval = time.Second

// Files name the PEM files of a process.
type Files struct {
	Certificate string
	Key         string
	// Authority signs the certificates of all processes of the cluster.
	Authority string
}

// Store provides the current certificate. It is safe for concurrent use.
type Store struct {
	files Files
	now   func() time.Time

	mutex       sync.Mutex
	certificate *tls.Certificate
	authority   *x509.CertPool
	checked     time.Time
	modified    time.Time
}

// Load reads the files and returns a Store for them.
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
	s.modified = s.lastModified()
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
		return nil, fault.InvalidField(field, "the file contains no certificate")
	}
	return authority, nil
}

// lastModified returns the latest modification time of the files.
func (s *Store) lastModified() time.Time {
	var latest time.Time
	for _, path := range []string{s.files.Certificate, s.files.Key, s.files.Authority} {
		if info, err := os.Stat(path); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// current returns the certificate and the authority. It reloads them if the files
// have changed.
func (s *Store) current() (*tls.Certificate, *x509.CertPool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.now().Sub(s.checked) >= reloadInterval {
		s.checked = s.now()
		if !s.lastModified().Equal(s.modified) {
			_ = s.read() // On failure the previous pair stays in use.
		}
	}
	return s.certificate, s.authority
}

// PeerServer returns the configuration for connections from other processes.
func (s *Store) PeerServer() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13, ClientAuth: tls.RequireAnyClientCert,
		GetCertificate:   func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.currentCertificate(), nil },
		VerifyConnection: s.verifyPeer,
	}
}

// PeerClient returns the configuration for connections to other processes.
func (s *Store) PeerClient() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// Peers are addressed by IP; verifyPeer verifies the chain.
		InsecureSkipVerify:   true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return s.currentCertificate(), nil },
		VerifyConnection:     s.verifyPeer,
	}
}

// PublicServer returns the configuration for connections from operators and
// callers, who have no certificate.
func (s *Store) PublicServer() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.currentCertificate(), nil },
	}
}

func (s *Store) currentCertificate() *tls.Certificate {
	certificate, _ := s.current()
	return certificate
}

// verifyPeer checks that the peer's certificate is valid and was issued by the
// cluster's authority.
func (s *Store) verifyPeer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return fault.Unauthorized.New("the peer sent no certificate")
	}
	_, authority := s.current()
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

// CheckName checks that a peer's certificate was issued for the node name in its
// hello.
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
