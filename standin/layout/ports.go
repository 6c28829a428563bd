package layout

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"
)

// deployments counts the deployments of this process.
var deployments atomic.Uint32

// ports allocates the addresses of one deployment. Each deployment has its own loopback
// address, so that neither another deployment nor a caller's socket can bind a port between
// its allocation and its use.
type ports struct {
	host  netip.Addr
	taken map[netip.AddrPort]bool
}

// newPorts returns the ports of a new deployment. Its address is derived from the process id
// and the deployment's number, and is never 127.0.0.1.
func newPorts() *ports {
	pid := os.Getpid()
	host := netip.AddrFrom4([4]byte{127, 64 | byte(pid>>8)&0x3f, byte(pid), byte(deployments.Add(1))})
	return &ports{host: host, taken: make(map[netip.AddrPort]bool)}
}

// tcp returns a TCP address with a free port chosen by the kernel.
func (p *ports) tcp() netip.AddrPort {
	return p.pick(func(address string) net.Addr {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			panic(err) // without free loopback ports no test can run
		}
		defer listener.Close()
		return listener.Addr()
	})
}

// udp returns a UDP address with a free port chosen by the kernel.
func (p *ports) udp() netip.AddrPort {
	return p.pick(func(address string) net.Addr {
		socket, err := net.ListenPacket("udp", address)
		if err != nil {
			panic(err) // without free loopback ports no test can run
		}
		defer socket.Close()
		return socket.LocalAddr()
	})
}

// pick binds until the kernel chooses a port that the deployment does not use yet.
func (p *ports) pick(bind func(address string) net.Addr) netip.AddrPort {
	wanted := netip.AddrPortFrom(p.host, 0).String()
	for {
		address := netip.MustParseAddrPort(bind(wanted).String())
		if !p.taken[address] {
			p.taken[address] = true
			return address
		}
	}
}
