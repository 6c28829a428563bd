// Package fabric is a stand-in for the network fabric: it sprays every datagram
// of a caller at random over the balancers, and says in a PROXY version 2
// header who sent it.
package fabric

import (
	"context"
	"math/rand/v2"
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
	// Balancers are the balancers' edges.
	Balancers []netip.AddrPort `json:"balancers"`
}

// Fabric sprays datagrams.
type Fabric struct {
	balancers atomic.Pointer[[]netip.AddrPort]
	back      *net.UDPConn
	sockets   map[netip.AddrPort]*net.UDPConn
}

// New binds the fabric's sockets.
func New(s Settings) (*Fabric, error) {
	f := &Fabric{sockets: make(map[netip.AddrPort]*net.UDPConn)}
	f.SetBalancers(s.Balancers)
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

// SetBalancers changes whom datagrams are sprayed over.
func (f *Fabric) SetBalancers(balancers []netip.AddrPort) { f.balancers.Store(&balancers) }

// Run sprays until the context ends.
func (f *Fabric) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, f.close)
	defer stop()
	for address, socket := range f.sockets {
		group.Go(func() error { return f.spray(ctx, address, socket) })
	}
	group.Go(func() error { return f.deliver(ctx) })
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
		balancers := *f.balancers.Load()
		to := balancers[rand.IntN(len(balancers))]
		_, _ = f.back.WriteToUDPAddrPort(append(header, buffer[:n]...), to)
	}
}

func (f *Fabric) deliver(ctx context.Context) error {
	buffer := make([]byte, datagram.MaxDatagram)
	for {
		n, _, err := f.back.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		edge, payload, ok := datagram.ParseEdge(buffer[:n])
		socket := f.sockets[edge.Source]
		if !ok || socket == nil {
			continue
		}
		_, _ = socket.WriteToUDPAddrPort(payload, edge.Destination)
	}
}
