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

// way is one direction between two machines, by their hosts.
type way struct{ from, to int }

// noise is what happens to datagrams on a way, each as a share from 0 to 1.
type noise struct {
	lost, doubled float64
	// delay is the most that a datagram waits; others overtake it.
	delay time.Duration
}

var (
	cut   = noise{lost: 1}
	noisy = noise{lost: 0.1, doubled: 0.1, delay: 60 * time.Millisecond}
)

// links carries the datagrams between the machines of a deployment: it holds the
// addresses that the machines know of each other, and sends on to those that their
// daemons bind. It is safe for concurrent use.
type links struct {
	deployment *packets.Deployment
	sockets    map[netip.AddrPort]*net.UDPConn

	mu     sync.Mutex
	random *rand.Rand
	// faults counts for each way the noises in force: they may overlap.
	faults map[way][]noise
}

const maxDatagram = 2048

// newLinks opens the addresses of balancers, endpoints' machines and callers.
func newLinks(d *packets.Deployment, balancers, endpoints []int, seed uint64) (*links, error) {
	l := &links{
		deployment: d, sockets: make(map[netip.AddrPort]*net.UDPConn),
		random: rand.New(rand.NewPCG(seed, 1)), faults: make(map[way][]noise),
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
	for _, s := range serve { // once all addresses are there
		go s()
	}
	return l, nil
}

func (l *links) open(host int, port string) (*net.UDPConn, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(l.deployment.At(host, port)))
	if err == nil {
		l.sockets[l.deployment.At(host, port)] = socket
	}
	return socket, err
}

func (l *links) close() {
	for _, socket := range l.sockets {
		_ = socket.Close()
	}
}

// serve carries what is sent to one address of a machine.
func (l *links) serve(socket *net.UDPConn, to int, bound netip.AddrPort) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an earlier datagram met a port without a listener
		}
		sender := l.known(from)
		if sender == nil {
			sender = socket
		}
		raw := append([]byte(nil), buffer[:n]...)
		for _, delay := range l.fates(way{hostOf(from), to}) {
			send := func() { _, _ = sender.WriteToUDPAddrPort(raw, bound) }
			if delay == 0 {
				send()
				continue
			}
			time.AfterFunc(delay, send)
		}
	}
}

// known returns the socket whose address others know the sender by, or nil.
func (l *links) known(from netip.AddrPort) *net.UDPConn {
	address := netip.AddrPortFrom(netip.MustParseAddr(l.deployment.IP(hostOf(from))), from.Port())
	return l.sockets[address]
}

// hostOf returns the host of an address, or 0 of none.
func hostOf(a netip.AddrPort) int {
	if !a.IsValid() {
		return 0
	}
	return int(a.Addr().Unmap().As4()[3])
}

// fates returns the delay of each copy of a datagram.
func (l *links) fates(w way) []time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	delays := []time.Duration{0}
	for _, n := range l.faults[w] {
		if l.random.Float64() < n.lost {
			return nil
		}
		if l.random.Float64() < n.doubled {
			delays = append(delays, 0)
		}
		if n.delay > 0 {
			for i := range delays {
				delays[i] += time.Duration(l.random.Int64N(int64(n.delay)))
			}
		}
	}
	return delays
}

// begin puts noise on ways until the returned function is called.
func (l *links) begin(n noise, ways ...way) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range ways {
		l.faults[w] = append(l.faults[w], n)
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, w := range ways {
			l.faults[w] = without(l.faults[w], n)
		}
	}
}

// without returns a list with one of the equal elements removed.
func without[T comparable](list []T, element T) []T {
	for i, e := range list {
		if e == element {
			return append(append([]T(nil), list[:i]...), list[i+1:]...)
		}
	}
	return list
}
