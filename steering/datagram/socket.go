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

// Listen binds a UDP socket, with a receive buffer for bursts. It fails with
// *SocketError.
func Listen(address netip.AddrPort) (*net.UDPConn, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, &SocketError{Address: address.String(), Cause: err}
	}
	_ = socket.SetReadBuffer(socketBuffer) // the kernel may limit it to less
	return socket, nil
}

const (
	// MaxPacket is the largest datagram of the packet roles, in bytes: a caller's packet
	// in its envelope is smaller.
	MaxPacket = 2048
	// errorPause is the pause after a socket error, so that a persistent error
	// does not cause a busy loop.
	errorPause = 20 * time.Millisecond
)

// Receive calls handle with each datagram until the context is cancelled, then
// closes the socket. The datagram in buffer, of at most size bytes, follows headroom
// unused bytes, and buffer is reused for the next datagram. onError is called with the address
// and the error when reading from the socket fails.
func Receive(ctx context.Context, socket *net.UDPConn, headroom, size int, onError func(socket string, err error), handle func(buffer []byte, from netip.AddrPort)) error {
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	buffer := make([]byte, headroom+size)
	for {
		n, from, err := socket.ReadFromUDPAddrPort(buffer[headroom:])
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			onError(socket.LocalAddr().String(), err)
			control.Sleep(ctx, errorPause)
			continue
		}
		handle(buffer[:headroom+n], from)
	}
}
