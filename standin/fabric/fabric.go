// Package fabric is a stand-in for the network fabric: it sends each datagram of a caller to
// a random healthy balancer, with a PROXY protocol version 2 header that holds the caller's
// address.
package fabric

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"sync/atomic"

	"cactustray/steering/datagram"

	"golang.org/x/sync/errgroup"
)

const socketBuffer = 4 << 20

// Settings holds the fabric's addresses.
type Settings struct {
	// Return is where balancers send datagrams for callers.
	Return netip.AddrPort `json:"return"`
	// Addresses holds the services' addresses, where callers send datagrams.
	Addresses []netip.AddrPort `json:"addresses"`
	// Balancers holds the balancers that callers' datagrams are sent to.
	Balancers []Balancer `json:"balancers"`
	// Seed is the seed of the random choices of the fabric and its faults.
	Seed uint64 `json:"seed,omitempty"`
}

// Balancer is one balancer as the fabric sees it.
type Balancer struct {
	// Edge is where it receives datagrams.
	Edge netip.AddrPort `json:"edge"`
	// Health is where it answers health checks.
	Health netip.AddrPort `json:"health"`
}

// Fabric forwards datagrams between callers and balancers.
type Fabric struct {
	balancers []Balancer
	// healthy holds the edge addresses that callers' datagrams are sent to.
	healthy      atomic.Pointer[[]netip.AddrPort]
	returnSocket *net.UDPConn
	sockets      map[netip.AddrPort]*net.UDPConn
	faults       *Faults
}

// New binds the fabric's sockets.
func New(s Settings) (*Fabric, error) {
	f := &Fabric{
		balancers: s.Balancers,
		sockets:   make(map[netip.AddrPort]*net.UDPConn),
		faults:    newFaults(s.Seed),
	}
	f.setHealthy(nil)
	returnSocket, err := bind(s.Return)
	if err != nil {
		return nil, err
	}
	f.returnSocket = returnSocket
	for _, address := range s.Addresses {
		socket, err := bind(address)
		if err != nil {
			return nil, err
		}
		f.sockets[address] = socket
	}
	return f, nil
}

func bind(address netip.AddrPort) (*net.UDPConn, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	_ = socket.SetReadBuffer(socketBuffer)
	return socket, nil
}

// Faults returns the faults of the links between the fabric and the balancers.
func (f *Fabric) Faults() *Faults { return f.faults }

// setHealthy sets the balancers that datagrams are sent to. If none is healthy, these are
// all balancers.
func (f *Fabric) setHealthy(healthy []netip.AddrPort) {
	if len(healthy) == 0 {
		for _, b := range f.balancers {
			healthy = append(healthy, b.Edge)
		}
	}
	f.healthy.Store(&healthy)
}

// Run forwards datagrams until the context ends.
func (f *Fabric) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, f.close)
	defer stop()
	for address, socket := range f.sockets {
		group.Go(func() error { return f.spray(ctx, address, socket) })
	}
	group.Go(func() error { return f.forwardReplies(ctx) })
	group.Go(func() error { return f.probe(ctx) })
	return group.Wait()
}

func (f *Fabric) close() {
	_ = f.returnSocket.Close()
	for _, socket := range f.sockets {
		_ = socket.Close()
	}
}

// spray forwards the callers' datagrams from one service address to random healthy balancers.
func (f *Fabric) spray(ctx context.Context, address netip.AddrPort, socket *net.UDPConn) error {
	buffer := make([]byte, datagram.MaxDatagram)
	for {
		n, caller, err := socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		caller = netip.AddrPortFrom(caller.Addr().Unmap(), caller.Port())
		header, err := datagram.FormatProxyHeader(datagram.ProxyHeader{Source: caller, Destination: address})
		if err != nil {
			return err
		}
		healthy := *f.healthy.Load()
		to := healthy[f.faults.pick(len(healthy))]
		raw := append(header, buffer[:n]...)
		f.faults.transmit(ToBalancer, to, func() { _, _ = f.returnSocket.WriteToUDPAddrPort(raw, to) })
	}
}

// forwardReplies forwards the balancers' datagrams to callers. It drops those without a valid
// header or with an unknown service address.
func (f *Fabric) forwardReplies(ctx context.Context) error {
	buffer := make([]byte, datagram.MaxDatagram)
	for {
		n, from, err := f.returnSocket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		proxyHeader, payload, ok := datagram.ParseProxyHeader(bytes.Clone(buffer[:n]))
		socket := f.sockets[proxyHeader.Source]
		if !ok || socket == nil {
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		f.faults.transmit(FromBalancer, from, func() { _, _ = socket.WriteToUDPAddrPort(payload, proxyHeader.Destination) })
	}
}
