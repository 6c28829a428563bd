package exchange

import (
	"context"
	"net"
	"net/netip"
)

// CountFunc counts bytes sent to or received from a balancer.
type CountFunc func(peer netip.Addr, bytes int)

// dialer returns a function that opens connections whose bytes are counted.
func dialer(count CountFunc) func(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		counted := &countedConn{Conn: conn, count: count}
		if peer, err := netip.ParseAddrPort(address); err == nil {
			counted.peer = peer.Addr()
		}
		return counted, nil
	}
}

type countedConn struct {
	net.Conn
	peer  netip.Addr
	count CountFunc
}

// Read reads from the connection and counts the bytes read.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count(c.peer, n)
	return n, err
}

// Write writes to the connection and counts the bytes written.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count(c.peer, n)
	return n, err
}
