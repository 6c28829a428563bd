package soak

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"cactustray/standin/packets"
)

// direction is the path of datagrams from one host to another.
type direction struct{ from, to int }

// linkFault is what happens to datagrams in a direction; rates are probabilities from 0
// to 1.
type linkFault struct {
	lossRate, duplicationRate float64
	// maxDelay is the longest random delay of a datagram; others can overtake it.
	maxDelay time.Duration
}

var (
	cut   = linkFault{lossRate: 1}
	noisy = linkFault{lossRate: 0.1, duplicationRate: 0.1, maxDelay: 60 * time.Millisecond}
)

// links forwards the datagrams between the machines of a deployment: it binds the addresses
// that the machines use for each other, and sends to those that their daemons bind. It is
// safe for concurrent use.
type links struct {
	deployment *packets.Deployment
	sockets    map[netip.AddrPort]*net.UDPConn

	mu     sync.Mutex
	random *rand.Rand
	// faults lists the active faults of each direction; they may overlap.
	faults map[direction][]linkFault
}

const maxDatagram = 2048 // bytes

// newLinks opens the sockets of balancers, endpoints' machines and callers, and starts to
// forward what arrives there.
func newLinks(d *packets.Deployment, balancers, endpoints []int, seed uint64) (*links, error) {
	l := &links{
		deployment: d, sockets: make(map[netip.AddrPort]*net.UDPConn),
		random: rand.New(rand.NewPCG(seed, 1)), faults: make(map[direction][]linkFault),
	}
	ports := map[string][]int{"peer": append(append([]int(nil), balancers...), endpoints...), "edge": append([]int{packets.CallerHost}, balancers...)}
	var serve []func()
	for port, hosts := range ports {
		for _, host := range hosts {
			socket, err := l.open(host, port)
			if err != nil {
				l.close()
				return nil, err
			}
			serve = append(serve, func() { l.serve(socket, host, d.Bound(host, port)) })
		}
	}
	for _, s := range serve { // after all sockets are open
		go s()
	}
	return l, nil
}

func (l *links) open(host int, port string) (*net.UDPConn, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(l.deployment.Address(host, port)))
	if err == nil {
		l.sockets[l.deployment.Address(host, port)] = socket
	}
	return socket, err
}

func (l *links) close() {
	for _, socket := range l.sockets {
		_ = socket.Close()
	}
}

// serve forwards what is sent to one address of a machine, with the faults of its direction.
func (l *links) serve(socket *net.UDPConn, to int, bound netip.AddrPort) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // ICMP port unreachable for an earlier datagram
		}
		sender := l.advertisedSocket(from)
		if sender == nil {
			sender = socket
		}
		raw := append([]byte(nil), buffer[:n]...)
		for _, delay := range l.copyDelays(direction{hostOf(from), to}) {
			send := func() { _, _ = sender.WriteToUDPAddrPort(raw, bound) }
			if delay == 0 {
				send()
				continue
			}
			time.AfterFunc(delay, send)
		}
	}
}

// advertisedSocket returns the socket at the address that other machines use for the sender,
// or nil.
func (l *links) advertisedSocket(from netip.AddrPort) *net.UDPConn {
	address := netip.AddrPortFrom(netip.MustParseAddr(l.deployment.IP(hostOf(from))), from.Port())
	return l.sockets[address]
}

// hostOf returns the host of an address, or 0 if the address is invalid.
func hostOf(a netip.AddrPort) int {
	if !a.IsValid() {
		return 0
	}
	return int(a.Addr().Unmap().As4()[3])
}

// copyDelays returns the delay of each copy of a datagram; it is empty if the datagram is
// lost.
func (l *links) copyDelays(d direction) []time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	delays := []time.Duration{0}
	for _, f := range l.faults[d] {
		if l.random.Float64() < f.lossRate {
			return nil
		}
		if l.random.Float64() < f.duplicationRate {
			delays = append(delays, 0)
		}
		if f.maxDelay > 0 {
			for i := range delays {
				delays[i] += time.Duration(l.random.Int64N(int64(f.maxDelay)))
			}
		}
	}
	return delays
}

// begin applies a fault to directions until the returned function is called.
func (l *links) begin(f linkFault, directions ...direction) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range directions {
		l.faults[d] = append(l.faults[d], f)
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, d := range directions {
			l.faults[d] = without(l.faults[d], f)
		}
	}
}

// without returns a list without the first element equal to the given one.
func without[T comparable](list []T, element T) []T {
	for i, e := range list {
		if e == element {
			return append(append([]T(nil), list[:i]...), list[i+1:]...)
		}
	}
	return list
}
