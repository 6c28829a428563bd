// Package meter counts what a node spends on control: the bytes of its calls,
// both ways, and the time its control goroutine is busy.
package meter

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// Window is how far back the rates look, at most twice as far.
const Window = 10 * time.Second

// Meter counts control traffic. It is safe for concurrent use.
type Meter struct{ bytes atomic.Int64 }

// Add counts bytes sent or received outside a metered connection.
func (m *Meter) Add(bytes int) { m.bytes.Add(int64(bytes)) }

// Bytes returns all bytes counted so far.
func (m *Meter) Bytes() int64 { return m.bytes.Load() }

// Conn returns a connection whose bytes are counted, both ways.
func (m *Meter) Conn(conn net.Conn) net.Conn { return &countedConn{Conn: conn, meter: m} }

// Listener returns a listener whose connections are counted.
func (m *Meter) Listener(listener net.Listener) net.Listener {
	return &countedListener{Listener: listener, meter: m}
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a function that opens counted connections.
func (m *Meter) Dialer() DialFunc {
	var dialer net.Dialer
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return m.Conn(conn), nil
	}
}

type countedConn struct {
	net.Conn
	meter *Meter
}

// Read reads and counts.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.Add(n)
	return n, err
}

// Write writes and counts.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.Add(n)
	return n, err
}

type countedListener struct {
	net.Listener
	meter *Meter
}

// Accept returns the next connection, counted.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.Conn(conn), nil
}
