// Package identity gives a process its certificate and checks those of others.
// Between the system's processes every connection is mutual TLS; a node's name
// and role stand in its certificate as a URI, cactustray://ROLE/NAME.
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

// Role is what a certificate lets its holder do.
type Role string

const (
	// Balancer may exchange tickets and facts.
	Balancer Role = "balancer"
	// Agent may send heartbeats, fetch its ticket and hand work over.
	Agent Role = "agent"
	// Operator may read status.
	Operator Role = "operator"
)

// Peer is who stands at the other end of a connection.
type Peer struct {
	Role Role
	Name string
}

// URI returns the URI that names the peer in its certificate.
func (p Peer) URI() *url.URL {
	return &url.URL{Scheme: Scheme, Host: string(p.Role), Path: "/" + p.Name}
}

// Files are the PEM files of an identity. CA is empty where peers are not
// checked.
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

// NoAuthorityError reports an authority file without a certificate.
type NoAuthorityError struct{}

func (*NoAuthorityError) Error() string { return "no certificate in it" }

// PeerError reports a certificate that names no node, or one whose role may
// not do what was asked.
type PeerError struct{ Subject string }

func (e *PeerError) Error() string {
	return fmt.Sprintf("certificate %q names no node of the system", e.Subject)
}

// loaded is what the files held when they were read; it is immutable.
type loaded struct {
	cert *tls.Certificate
	pool *x509.CertPool
}

// Identity is a certificate and its authorities. Watch follows the files;
// handshakes read the snapshot it publishes. It is safe for concurrent use.
type Identity struct {
	files Files
	now   atomic.Pointer[loaded]
}

// Load reads an identity. It fails with *FileError.
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
