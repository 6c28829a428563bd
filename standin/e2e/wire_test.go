package e2e

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"cactustray/control"
	"cactustray/control/meter"
	"cactustray/control/rpc"
	"cactustray/identity"
	"cactustray/liveness"
	"cactustray/liveness/heartbeat"
	"cactustray/standin/layout"

	"github.com/shoenig/test/must"
)

// fixedResponder stands in for a balancer's control state and gives every call the same
// answer.
type fixedResponder struct{ answer heartbeat.Answer }

func (r *fixedResponder) Handle(_ time.Time, message control.Message) {
	switch m := message.(type) {
	case heartbeat.ReportReceived:
		answer := r.answer
		answer.Believed = m.Fact
		m.Reply <- answer
	case heartbeat.FactsReceived:
		m.Reply <- heartbeat.SpreadAnswer{Self: m.Sender, Sender: m.Sender}
	}
}

func (r *fixedResponder) Tick(time.Time, time.Duration) {}

// countingConn counts the bytes read and written on a connection.
type countingConn struct {
	net.Conn
	transferred *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.transferred.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.transferred.Add(int64(n))
	return n, err
}

// countingClient is a client of a balancer's control port, over HTTP/2 and mutual TLS,
// that counts the bytes on its connections.
type countingClient struct {
	client      *heartbeat.Client
	transferred atomic.Int64
}

func newCountingClient(tb testing.TB, answer heartbeat.Answer) *countingClient {
	d, err := layout.Write(tb.TempDir(), layout.Size{Balancers: 1, Services: []string{"orders"}, Backends: 1})
	must.NoError(tb, err)
	b := d.Balancers[0]
	id, err := identity.Load(identity.Files(b.TLS))
	must.NoError(tb, err)
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	loop := control.NewLoop(time.Hour)
	path, handler := heartbeat.NewServer(loop).Handler()
	mux := http.NewServeMux()
	mux.Handle(path, identity.Require(handler, identity.Balancer))
	go func() { _ = loop.Run(ctx, &fixedResponder{answer: answer}) }()
	go func() { _ = rpc.Serve(ctx, b.Control, id, new(meter.Meter), mux) }()
	c := new(countingClient)
	client := rpc.NewClient(id)
	client.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		return &countingConn{Conn: conn, transferred: &c.transferred}, err
	}
	c.client = heartbeat.NewClient(client, rpc.BaseURL(b.Control.String()))
	return c
}

// reportBytesPerCall reports the bytes of a call on an open connection, sent and received.
func (c *countingClient) reportBytesPerCall(b *testing.B, call func() error) {
	for call() != nil {
		b.Log("waiting for the server")
	}
	const warm = 20
	for range warm {
		must.NoError(b, call())
	}
	before := c.transferred.Load()
	b.ResetTimer()
	for range b.N {
		must.NoError(b, call())
	}
	b.ReportMetric(float64(c.transferred.Load()-before)/float64(b.N), "wire-B/op")
}

// BenchmarkHeartbeat measures a heartbeat whose answer leaves the paths unchanged, and one
// whose answer lists as many balancers as an agent can have.
func BenchmarkHeartbeat(b *testing.B) {
	report := heartbeat.Report{Fact: liveness.Fact{Subject: 1 << 60, Incarnation: 1 << 30, Version: 3, State: liveness.Ready}, Service: 1 << 61, Ticket: 70, Paths: 1 << 62}
	answers := map[string]heartbeat.Answer{"same paths": {Ticket: 70}, "new paths": {Ticket: 70}}
	long := answers["new paths"]
	for i := range liveness.MaxPaths {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 2, byte(i)}), 7001)
		long.Balancers = append(long.Balancers, liveness.BalancerAddresses{Datagram: address, Control: address})
	}
	answers["new paths"] = long
	for name, answer := range answers {
		b.Run(name, func(b *testing.B) {
			c := newCountingClient(b, answer)
			c.reportBytesPerCall(b, func() error {
				_, err := c.client.Send(context.Background(), report)
				return err
			})
		})
	}
}

// BenchmarkSpread measures a call that gossips no facts, and one with 77 facts.
func BenchmarkSpread(b *testing.B) {
	for name, count := range map[string]int{"0 facts": 0, "77 facts": 77} {
		b.Run(name, func(b *testing.B) {
			batch := liveness.Batch{Self: liveness.Fact{Subject: 1 << 60, Incarnation: 1 << 30, State: liveness.Ready}}
			for i := range count {
				batch.Facts = append(batch.Facts, liveness.Fact{Subject: liveness.Subject(1<<60 + i), Incarnation: 1 << 30, Version: 1, State: liveness.Ready, Suspected: true})
			}
			c := newCountingClient(b, heartbeat.Answer{})
			c.reportBytesPerCall(b, func() error {
				_, err := c.client.Spread(context.Background(), batch)
				return err
			})
		})
	}
}
