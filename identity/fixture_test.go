package identity_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cactustray/identity"

	"github.com/shoenig/test/must"
)

// authority is a certificate authority for one test.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	must.NoError(t, err)
	cert, err := x509.ParseCertificate(raw)
	must.NoError(t, err)
	return &authority{t: t, cert: cert, key: key}
}

// files returns the paths of an identity's files in a directory.
func files(dir string) identity.Files {
	return identity.Files{
		Certificate: filepath.Join(dir, "node.pem"),
		Key:         filepath.Join(dir, "node.key"),
		CA:          filepath.Join(dir, "ca.pem"),
	}
}

// write writes the files of an identity that is valid from an hour ago until lasts from
// now. If peer is nil, the certificate has no URI.
func (a *authority) write(to identity.Files, peer *identity.Peer, lasts time.Duration) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(a.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: "node"},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(lasts),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if peer != nil {
		template.URIs = []*url.URL{peer.URI()}
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	must.NoError(a.t, err)
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	must.NoError(a.t, err)
	a.pem(to.Certificate, "CERTIFICATE", raw)
	a.pem(to.Key, "PRIVATE KEY", secret)
	a.pem(to.CA, "CERTIFICATE", a.cert.Raw)
}

func (a *authority) pem(file, kind string, raw []byte) {
	must.NoError(a.t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600))
}

// load writes an identity into a new directory and loads it.
func (a *authority) load(peer *identity.Peer) *identity.Identity {
	to := files(a.t.TempDir())
	a.write(to, peer, time.Hour)
	id, err := identity.Load(to)
	must.NoError(a.t, err)
	return id
}
