package datagram

import (
	"context"
	"net"
	"net/netip"
	"time"

	"cactustray/control"
)

// socketBuffer is the receive buffer of a socket, in bytes.
const socketBuffer = 4 << 20

// Listen binds the UDP socket of an address, with a receive buffer for bursts.
// It fails with *SocketError.
func Listen(address netip.AddrPort) (*net.UDPConn, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, &SocketError{Address: address.String(), Cause: err}
	}
	_ = socket.SetReadBuffer(socketBuffer) // the kernel's own limit may be less
	return socket, nil
}

const (
	// maxDatagram is more than any packet and its envelope have.
	maxDatagram = 2048
	// errorPause is the pause after a socket's error, so that one that lasts
	// does not spin.
	errorPause = 20 * time.Millisecond
)

// Receive calls handle with each datagram until the context ends, then closes
// the socket. buffer has headroom bytes of room before the datagram, and is used
// anew for the next one. failed is told of the socket's errors.
func Receive(ctx context.Context, socket *net.UDPConn, headroom int, failed func(socket string, err error), handle func(buffer []byte, from netip.AddrPort)) error {
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	buffer := make([]byte, headroom+maxDatagram)
	for {
		n, from, err := socket.ReadFromUDPAddrPort(buffer[headroom:])
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			failed(socket.LocalAddr().String(), err)
			control.Sleep(ctx, errorPause)
			continue
		}
		handle(buffer[:headroom+n], from)
	}
}
