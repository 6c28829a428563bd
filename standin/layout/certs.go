package layout

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"cactustray/identity"
)

const validity = 24 * time.Hour

// Authority is the certificate authority of one deployment.
type Authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority creates an authority and writes its certificate to dir.
func NewAuthority(dir string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := certificate("authority")
	template.IsCA = true
	template.KeyUsage = x509.KeyUsageCertSign
	template.BasicConstraintsValid = true
	raw, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(raw)
	if err != nil {
		return nil, err
	}
	a := &Authority{dir: dir, cert: cert, key: key}
	return a, writePEM(a.file("ca.pem"), "CERTIFICATE", raw)
}

func (a *Authority) file(name string) string { return filepath.Join(a.dir, name) }

// Node writes the certificate and key of one of the system's processes.
func (a *Authority) Node(peer identity.Peer) (identity.Files, error) {
	template := certificate(peer.Name)
	template.URIs = []*url.URL{peer.URI()}
	return a.sign(string(peer.Role)+"-"+peer.Name, template)
}

// Service writes the certificate and key that a service presents to callers.
func (a *Authority) Service(name string, ip net.IP) (identity.Files, error) {
	template := certificate(name)
	template.DNSNames = []string{name}
	template.IPAddresses = []net.IP{ip}
	return a.sign("service-"+name, template)
}

func (a *Authority) sign(name string, template *x509.Certificate) (identity.Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return identity.Files{}, err
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	if err != nil {
		return identity.Files{}, err
	}
	files := identity.Files{
		Certificate: a.file(name + ".pem"),
		Key:         a.file(name + ".key"),
		CA:          a.file("ca.pem"),
	}
	if err := writePEM(files.Certificate, "CERTIFICATE", raw); err != nil {
		return identity.Files{}, err
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return identity.Files{}, err
	}
	return files, writePEM(files.Key, "PRIVATE KEY", secret)
}

func certificate(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(validity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

func writePEM(file, kind string, raw []byte) error {
	return os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600)
}
