package identity

import (
	"crypto/tls"
	"crypto/x509"
)

// callProtocol is the protocol of calls between processes.
const callProtocol = "h2"

// CallerTLS returns the configuration towards callers, who show no
// certificate.
func (i *Identity) CallerTLS(protocol string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return i.now.Load().cert, nil
		},
	}
}

// ServerTLS returns the configuration for calls from the system's processes
// and from operators.
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

// ClientTLS returns the configuration for calls to the system's processes.
// Nodes are reached by IP number, so the certificate's URI stands in for a
// host name.
func (i *Identity) ClientTLS() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{callProtocol},
		InsecureSkipVerify: true, // VerifyConnection checks chain and name.
		VerifyConnection:   i.verifyServer,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return i.now.Load().cert, nil
		},
	}
}

// verifyClient wants a certificate that names anyone; Require checks the role.
func verifyClient(state tls.ConnectionState) error {
	_, err := peerOf(state.PeerCertificates[0])
	return err
}

// verifyServer wants a certificate of a node: an operator's lets nobody answer
// in a node's place.
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
