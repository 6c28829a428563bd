// Package identity loads a process's certificate and verifies those of its peers. All
// connections between the system's processes use mutual TLS. A certificate contains
// the node's role and name as a URI, cactustray://ROLE/NAME.
package identity

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/url"
	"os"
	"sync/atomic"
)

// Scheme is the scheme of the URI in a node's certificate.
const Scheme = "cactustray"

// Role determines what the holder of a certificate may do.
type Role string

const (
	// Balancer may exchange tickets and liveness facts with other balancers.
	Balancer Role = "balancer"
	// Agent may send heartbeats, fetch its ticket and transfer requests.
	Agent Role = "agent"
	// Operator may read status.
	Operator Role = "operator"
)

// Peer identifies the process or operator at the other end of a connection.
type Peer struct {
	Role Role
	Name string
}

// URI returns the URI that names the peer in its certificate.
func (p Peer) URI() *url.URL {
	return &url.URL{Scheme: Scheme, Host: string(p.Role), Path: "/" + p.Name}
}

// Files holds the paths of an identity's PEM files. CA is empty if the identity is not
// used to verify peers.
type Files struct {
	Certificate string
	Key         string
	CA          string
}

// FileError reports an identity file that could not be used.
type FileError struct {
	File  string
	Cause error
}

func (e *FileError) Error() string { return fmt.Sprintf("identity file %s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// NoAuthorityError reports a CA file without a certificate.
type NoAuthorityError struct{}

func (*NoAuthorityError) Error() string { return "no PEM certificate found" }

// PeerError reports a certificate without a URI that names a peer, or with a role that
// may not serve calls.
type PeerError struct{ Subject string }

func (e *PeerError) Error() string {
	return fmt.Sprintf("certificate %q does not identify a permitted peer", e.Subject)
}

// loaded is the content of the files when they were read. It is immutable.
type loaded struct {
	cert *tls.Certificate
	pool *x509.CertPool
}

// Identity holds a certificate and the authorities to verify peers with. Watch reloads
// the files when they change; handshakes use the snapshot that was loaded last. It is
// safe for concurrent use.
type Identity struct {
	files Files
	// now is the snapshot that was loaded last.
	now atomic.Pointer[loaded]
}

// Load reads an identity from its files. The error is a *FileError.
func Load(files Files) (*Identity, error) {
	read, err := files.read()
	if err != nil {
		return nil, err
	}
	i := &Identity{files: files}
	i.now.Store(read)
	return i, nil
}

func (f Files) read() (*loaded, error) {
	cert, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, &FileError{File: f.Certificate, Cause: err}
	}
	pool := x509.NewCertPool()
	if f.CA == "" {
		return &loaded{cert: &cert, pool: pool}, nil
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, &FileError{File: f.CA, Cause: err}
	}
	if !pool.AppendCertsFromPEM(pem) {
		return nil, &FileError{File: f.CA, Cause: &NoAuthorityError{}}
	}
	return &loaded{cert: &cert, pool: pool}, nil
}
