// Package fabric is a stand-in for the network fabric: it sprays every datagram
// of a caller at random over the balancers, and says in a PROXY version 2
// header who sent it.
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

// Settings say where the fabric stands.
type Settings struct {
	// Return is where balancers hand datagrams for callers.
	Return netip.AddrPort `json:"return"`
	// Addresses are the services' addresses, where callers send.
	Addresses []netip.AddrPort `json:"addresses"`
	// Balancers are whom datagrams are sprayed over.
	Balancers []Balancer `json:"balancers"`
	// Seed fixes the choices of the fabric and its faults.
	Seed uint64 `json:"seed,omitempty"`
}

// Balancer is one balancer as the fabric sees it.
type Balancer struct {
	// Edge is where it takes datagrams.
	Edge netip.AddrPort `json:"edge"`
	// Health is where it answers health checks.
	Health netip.AddrPort `json:"health"`
}

// Fabric sprays datagrams.
type Fabric struct {
	balancers []Balancer
	// healthy are the edges that datagrams are sprayed over.
	healthy atomic.Pointer[[]netip.AddrPort]
	back    *net.UDPConn
	sockets map[netip.AddrPort]*net.UDPConn
	faults  *Faults
}

// New binds the fabric's sockets.
func New(s Settings) (*Fabric, error) {
	f := &Fabric{
		balancers: s.Balancers,
		sockets:   make(map[netip.AddrPort]*net.UDPConn),
		faults:    newFaults(s.Seed),
	}
	f.sprayOver(nil)
	back, err := bind(s.Return)
	if err != nil {
		return nil, err
	}
	f.back = back
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

// Faults returns what goes wrong between the fabric and the balancers.
func (f *Fabric) Faults() *Faults { return f.faults }

// sprayOver changes whom datagrams are sprayed over; with nobody healthy it is
// everybody.
func (f *Fabric) sprayOver(healthy []netip.AddrPort) {
	if len(healthy) == 0 {
		for _, b := range f.balancers {
			healthy = append(healthy, b.Edge)
		}
	}
	f.healthy.Store(&healthy)
}

// Run sprays until the context ends.
func (f *Fabric) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, f.close)
	defer stop()
	for address, socket := range f.sockets {
		group.Go(func() error { return f.spray(ctx, address, socket) })
	}
	group.Go(func() error { return f.deliver(ctx) })
	group.Go(func() error { return f.probe(ctx) })
	return group.Wait()
}

func (f *Fabric) close() {
	_ = f.back.Close()
	for _, socket := range f.sockets {
		_ = socket.Close()
	}
}

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
		header, err := datagram.FormatEdge(datagram.Edge{Source: caller, Destination: address})
		if err != nil {
			return err
		}
		healthy := *f.healthy.Load()
		to := healthy[f.faults.pick(len(healthy))]
		raw := append(header, buffer[:n]...)
		f.faults.carry(To, to, func() { _, _ = f.back.WriteToUDPAddrPort(raw, to) })
	}
}

func (f *Fabric) deliver(ctx context.Context) error {
	buffer := make([]byte, datagram.MaxDatagram)
	for {
		n, from, err := f.back.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		edge, payload, ok := datagram.ParseEdge(bytes.Clone(buffer[:n]))
		socket := f.sockets[edge.Source]
		if !ok || socket == nil {
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		f.faults.carry(From, from, func() { _, _ = socket.WriteToUDPAddrPort(payload, edge.Destination) })
	}
}
