// Package caller is a stand-in for the services' callers: it sends HTTP/3 requests and reads
// feeds.
package caller

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

const (
	idleTimeout = 30 * time.Second
	keepAlive   = 5 * time.Second
)

// host is the address that callers' sockets are bound to. No process of a deployment binds
// to it, so a caller never takes a deployment's port.
var host = net.IPv4(127, 0, 0, 1)

// Caller is a caller with its own socket and connections.
type Caller struct {
	socket    *quic.Transport
	transport *http3.Transport
	client    *http.Client
}

// New returns a caller that trusts the certificate authorities in a PEM file.
func New(ca string) (*Caller, error) {
	pem, err := os.ReadFile(ca)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(pem)
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: host})
	if err != nil {
		return nil, err
	}
	socket := &quic.Transport{Conn: conn}
	transport := &http3.Transport{
		Dial: func(ctx context.Context, address string, tlsConfig *tls.Config, config *quic.Config) (*quic.Conn, error) {
			to, err := net.ResolveUDPAddr("udp", address)
			if err != nil {
				return nil, err
			}
			return socket.DialEarly(ctx, to, tlsConfig, config)
		},
		TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13},
		QUICConfig: &quic.Config{
			MaxIdleTimeout:          idleTimeout,
			KeepAlivePeriod:         keepAlive,
			DisablePathMTUDiscovery: true,
		},
	}
	return &Caller{socket: socket, transport: transport, client: &http.Client{Transport: transport}}, nil
}

// Do sends one request.
func (c *Caller) Do(r *http.Request) (*http.Response, error) { return c.client.Do(r) }

// Feed reads a feed to its end and returns the number of lines.
func (c *Caller) Feed(ctx context.Context, url string) (int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	lines := 0
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		lines++
	}
	return lines, scanner.Err()
}

// Close closes the caller's connections and its socket.
func (c *Caller) Close() error {
	err := c.transport.Close()
	_ = c.socket.Close()
	_ = c.socket.Conn.Close()
	return err
}
