// Package meter measures the cost of control: the bytes of a node's calls in both
// directions, and the time that its control goroutine is busy.
package meter

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// Window is the minimum period that rates are averaged over, and half the maximum. The
// period is shorter only until a node has run for that long.
const Window = 10 * time.Second

// Meter counts control traffic. It is safe for concurrent use.
type Meter struct{ bytes atomic.Int64 }

// Add counts bytes sent or received outside a metered connection.
func (m *Meter) Add(bytes int) { m.bytes.Add(int64(bytes)) }

// Bytes returns all bytes counted so far.
func (m *Meter) Bytes() int64 { return m.bytes.Load() }

// Conn returns a connection whose bytes are counted in both directions.
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

// Read reads from the connection and counts the bytes read.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.Add(n)
	return n, err
}

// Write writes to the connection and counts the bytes written.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.Add(n)
	return n, err
}

type countedListener struct {
	net.Listener
	meter *Meter
}

// Accept returns the next connection, whose bytes are counted.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.Conn(conn), nil
}
