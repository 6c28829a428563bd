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

// answering is a balancer's control state that answers every call alike.
type answering struct{ answer heartbeat.Answer }

func (a *answering) Handle(_ time.Time, message control.Message) {
	switch m := message.(type) {
	case heartbeat.Heard:
		answer := a.answer
		answer.Believed = m.Fact
		m.Reply <- answer
	case heartbeat.Passed:
		m.Reply <- heartbeat.Beliefs{Self: m.Sender, Sender: m.Sender}
	}
}

func (a *answering) Tick(time.Time, time.Duration) {}

// countedConn counts what crosses a connection, in bytes.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// wire is a client of a balancer's control port whose bytes are counted, over
// HTTP/2 and mutual TLS.
type wire struct {
	client *heartbeat.Client
	bytes  atomic.Int64
}

func newWire(tb testing.TB, answer heartbeat.Answer) *wire {
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
	go func() { _ = loop.Run(ctx, &answering{answer: answer}) }()
	go func() { _ = rpc.Serve(ctx, b.Control, id, new(meter.Meter), mux) }()
	w := new(wire)
	client := rpc.NewClient(id)
	client.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		return &countedConn{Conn: conn, bytes: &w.bytes}, err
	}
	w.client = heartbeat.NewClient(client, rpc.Base(b.Control.String()))
	return w
}

// perCall returns the bytes of one call on an open connection, both ways.
func (w *wire) perCall(b *testing.B, call func() error) {
	for call() != nil {
		b.Log("waiting for the server")
	}
	const warm = 20
	for range warm {
		must.NoError(b, call())
	}
	before := w.bytes.Load()
	b.ResetTimer()
	for range b.N {
		must.NoError(b, call())
	}
	b.ReportMetric(float64(w.bytes.Load()-before)/float64(b.N), "wire-B/op")
}

func BenchmarkHeartbeat(b *testing.B) {
	report := heartbeat.Report{Fact: liveness.Fact{Subject: 1 << 60, Incarnation: 1 << 30, Version: 3, State: liveness.Ready}, Service: 1 << 61, Ticket: 70, Paths: 1 << 62}
	answers := map[string]heartbeat.Answer{"same paths": {Ticket: 70}, "new paths": {Ticket: 70}}
	long := answers["new paths"]
	for i := range liveness.MaxPaths {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 2, byte(i)}), 7001)
		long.Balancers = append(long.Balancers, liveness.Peer{Datagram: address, Control: address})
	}
	answers["new paths"] = long
	for name, answer := range answers {
		b.Run(name, func(b *testing.B) {
			w := newWire(b, answer)
			w.perCall(b, func() error {
				_, err := w.client.Send(context.Background(), report)
				return err
			})
		})
	}
}

func BenchmarkSpread(b *testing.B) {
	for name, count := range map[string]int{"0 facts": 0, "77 facts": 77} {
		b.Run(name, func(b *testing.B) {
			batch := liveness.Batch{Self: liveness.Fact{Subject: 1 << 60, Incarnation: 1 << 30, State: liveness.Ready}}
			for i := range count {
				batch.Facts = append(batch.Facts, liveness.Fact{Subject: liveness.Subject(1<<60 + i), Incarnation: 1 << 30, Version: 1, State: liveness.Ready, Suspected: true})
			}
			w := newWire(b, heartbeat.Answer{})
			w.perCall(b, func() error {
				_, err := w.client.Spread(context.Background(), batch)
				return err
			})
		})
	}
}
