// Package identity gives a process its certificate and checks those of others.
// Between the system's processes every connection is mutual TLS; a node's name
// and role stand in its certificate as a URI, cactustray://ROLE/NAME.
package identity

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"sync"
	"time"
)

const (
	// Scheme is the scheme of the URI in a node's certificate.
	Scheme = "cactustray"
	// reloadInterval is how often files are looked at for a change.
	reloadInterval = time.Second
)

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

// PeerError reports a certificate that names no node.
type PeerError struct{ Subject string }

func (e *PeerError) Error() string {
	return fmt.Sprintf("certificate %q names no node of the system", e.Subject)
}

// Identity is a certificate that follows its files. It is safe for concurrent
// use.
type Identity struct {
	files Files

	mu      sync.Mutex
	checked time.Time
	changed time.Time
	cert    *tls.Certificate
	pool    *x509.CertPool
}

// Load reads an identity. It fails with *FileError.
func Load(files Files) (*Identity, error) {
	i := &Identity{files: files}
	if err := i.read(); err != nil {
		return nil, err
	}
	return i, nil
}

func (i *Identity) read() error {
	cert, err := tls.LoadX509KeyPair(i.files.Certificate, i.files.Key)
	if err != nil {
		return &FileError{File: i.files.Certificate, Cause: err}
	}
	pool := x509.NewCertPool()
	if i.files.CA != "" {
		pem, err := os.ReadFile(i.files.CA)
		if err != nil {
			return &FileError{File: i.files.CA, Cause: err}
		}
		pool.AppendCertsFromPEM(pem)
	}
	i.cert, i.pool = &cert, pool
	i.changed = i.modified()
	i.checked = time.Now()
	return nil
}

func (i *Identity) modified() time.Time {
	var latest time.Time
	for _, file := range []string{i.files.Certificate, i.files.Key, i.files.CA} {
		if info, err := os.Stat(file); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// current returns the certificate and the authorities, read anew when the
// files have changed; files that cannot be read leave the old ones in use.
func (i *Identity) current() (*tls.Certificate, *x509.CertPool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if time.Since(i.checked) > reloadInterval {
		i.checked = time.Now()
		if i.modified().After(i.changed) {
			_ = i.read()
		}
	}
	return i.cert, i.pool
}

// CallerTLS returns the configuration towards callers, who show no
// certificate.
func (i *Identity) CallerTLS(protocol string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := i.current()
			return cert, nil
		},
	}
}

// ServerTLS returns the configuration for calls from the system's processes.
func (i *Identity) ServerTLS() *tls.Config {
	base := &tls.Config{MinVersion: tls.VersionTLS13}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		cert, pool := i.current()
		return &tls.Config{
			MinVersion:   tls.VersionTLS13,
			NextProtos:   []string{"h2"},
			Certificates: []tls.Certificate{*cert},
			ClientAuth:   tls.RequireAndVerifyClientCert,
			ClientCAs:    pool,
			VerifyConnection: func(state tls.ConnectionState) error {
				_, err := peerOf(state.PeerCertificates[0])
				return err
			},
		}, nil
	}
	return base
}

// ClientTLS returns the configuration for calls to the system's processes.
// Nodes are reached by IP number, so the certificate's URI stands in for a
// host name.
func (i *Identity) ClientTLS() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{"h2"},
		InsecureSkipVerify: true, // VerifyConnection checks chain and name.
		VerifyConnection:   i.verifyServer,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := i.current()
			return cert, nil
		},
	}
}

func (i *Identity) verifyServer(state tls.ConnectionState) error {
	_, pool := i.current()
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	leaf := state.PeerCertificates[0]
	if _, err := leaf.Verify(x509.VerifyOptions{Roots: pool, Intermediates: intermediates}); err != nil {
		return err
	}
	_, err := peerOf(leaf)
	return err
}

func peerOf(cert *x509.Certificate) (Peer, error) {
	for _, uri := range cert.URIs {
		if uri.Scheme == Scheme && len(uri.Path) > 1 {
			return Peer{Role: Role(uri.Host), Name: uri.Path[1:]}, nil
		}
	}
	return Peer{}, &PeerError{Subject: cert.Subject.String()}
}

type peerKey struct{}

// PeerFrom returns who made the call; ok is false outside of Require.
func PeerFrom(ctx context.Context) (Peer, bool) {
	peer, ok := ctx.Value(peerKey{}).(Peer)
	return peer, ok
}

// Require lets only holders of the given roles through to next.
func Require(next http.Handler, roles ...Role) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		peer, err := peerOf(r.TLS.PeerCertificates[0])
		if err != nil || !allowed(peer.Role, roles) {
			http.Error(w, "role not allowed", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), peerKey{}, peer)))
	})
}

func allowed(role Role, roles []Role) bool {
	for _, r := range roles {
		if r == role {
			return true
		}
	}
	return false
}
