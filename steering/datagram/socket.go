package datagram

import (
	"net"
	"net/netip"
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
