package identity

import (
	"crypto/tls"
	"crypto/x509"
)

// callProtocol is the ALPN protocol of calls between processes.
const callProtocol = "h2"

// CallerTLS returns the server configuration for callers, which present no
// certificate. protocol is the ALPN protocol.
func (i *Identity) CallerTLS(protocol string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return i.now.Load().cert, nil
		},
	}
}

// ServerTLS returns the server configuration for calls from the system's processes and
// from operators.
func (i *Identity) ServerTLS() *tls.Config {
	base := &tls.Config{MinVersion: tls.VersionTLS13}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		now := i.now.Load()
		return &tls.Config{
			MinVersion:       tls.VersionTLS13,
			NextProtos:       []string{callProtocol},
			Certificates:     []tls.Certificate{*now.cert},
			ClientAuth:       tls.RequireAndVerifyClientCert,
			ClientCAs:        now.pool,
			VerifyConnection: verifyClient,
		}, nil
	}
	return base
}

// ClientTLS returns the client configuration for calls to the system's processes. Nodes
// are addressed by IP address, so the URI in the certificate is verified instead of a
// host name.
func (i *Identity) ClientTLS() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{callProtocol},
		InsecureSkipVerify: true, // verifyServer verifies the chain and the URI
		VerifyConnection:   i.verifyServer,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return i.now.Load().cert, nil
		},
	}
}

// verifyClient accepts any certificate that names a peer; Require checks the role.
func verifyClient(state tls.ConnectionState) error {
	_, err := peerOf(state.PeerCertificates[0])
	return err
}

// verifyServer accepts only certificates of nodes, so that the holder of an operator's
// certificate cannot impersonate a node.
func (i *Identity) verifyServer(state tls.ConnectionState) error {
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	leaf := state.PeerCertificates[0]
	if _, err := leaf.Verify(x509.VerifyOptions{Roots: i.now.Load().pool, Intermediates: intermediates}); err != nil {
		return err
	}
	peer, err := peerOf(leaf)
	if err != nil {
		return err
	}
	if peer.Role != Balancer && peer.Role != Agent {
		return &PeerError{Subject: leaf.Subject.String()}
	}
	return nil
}

func peerOf(cert *x509.Certificate) (Peer, error) {
	for _, uri := range cert.URIs {
		if uri.Scheme == Scheme && len(uri.Path) > 1 {
			return Peer{Role: Role(uri.Host), Name: uri.Path[1:]}, nil
		}
	}
	return Peer{}, &PeerError{Subject: cert.Subject.String()}
}
