package packets

import (
	"context"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	// openTimeout is how long the caller waits for an answer to the first opening packet. It
	// sends up to two copies, each time waiting twice as long, and then gives up.
	openTimeout = 200 * time.Millisecond
	// minRetransmitPause is the pause before the first retransmission; it doubles with each.
	minRetransmitPause = 200 * time.Millisecond
	// maxRetransmitPause is the longest pause between retransmissions.
	maxRetransmitPause = 1600 * time.Millisecond
	// inboxSize is the capacity of a flow's inbox, in packets.
	inboxSize = 64
)

// Router chooses the balancer for callers' packets among those that are ready: the same one
// for all packets of a flow, as long as it is ready.
type Router struct {
	balancers []netip.AddrPort
	health    []netip.AddrPort
	client    *http.Client

	mu    sync.Mutex
	ready []bool
}

// NewRouter returns a router over balancers and the addresses of their health endpoints,
// which Check queries. No balancer is ready before the first Check.
func NewRouter(balancers, health []netip.AddrPort) *Router {
	return &Router{balancers: balancers, health: health, ready: make([]bool, len(balancers)), client: &http.Client{Timeout: time.Second}}
}

// Check queries the health of every balancer once, and returns how many are ready.
func (r *Router) Check() int {
	ready := 0
	for i, address := range r.health {
		response, err := r.client.Get("http://" + address.String() + "/healthz")
		ok := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		if ok {
			ready++
		}
		r.mu.Lock()
		r.ready[i] = ok
		r.mu.Unlock()
	}
	return ready
}

// Run calls Check twice a second until the context ends.
func (r *Router) Run(ctx context.Context) {
	const interval = 500 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.Check()
		}
	}
}

// route returns the balancer for a flow, by rendezvous hashing, or the zero address if none
// is ready.
func (r *Router) route(key flowKey) netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best netip.AddrPort
	highest := uint64(0)
	for i, balancer := range r.balancers {
		if !r.ready[i] {
			continue
		}
		h := fnv.New64a()
		fmt.Fprint(h, balancer, key.caller, key.service)
		if score := h.Sum64()*0x9e3779b97f4a7c15 | 1; score > highest {
			best, highest = balancer, score
		}
	}
	return best
}

// Caller opens flows from one IP address. It is safe for concurrent use.
type Caller struct {
	router *Router
	socket *net.UDPConn
	// ip is the address that flows are opened from.
	ip netip.Addr

	mu    sync.Mutex
	flows map[netip.AddrPort]*Flow
	port  uint16
}

// NewCaller returns a caller that opens flows from ip and receives packets on a socket bound
// to at.
func NewCaller(ip netip.Addr, at netip.AddrPort, router *Router) (*Caller, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	c := &Caller{router: router, socket: socket, ip: ip, flows: make(map[netip.AddrPort]*Flow), port: 1024}
	go c.serve()
	return c, nil
}

// Close closes the caller's socket.
func (c *Caller) Close() { _ = c.socket.Close() }

func (c *Caller) serve() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, valid := decode(buffer[:n])
		c.mu.Lock()
		f := c.flows[p.to]
		c.mu.Unlock()
		if !valid || f == nil || p.from != f.key.service {
			continue
		}
		select {
		case f.inbox <- p:
		default: // dropped, as from a full socket buffer
		}
	}
}

// Flow is one flow of a caller. It must be used by one goroutine at a time.
type Flow struct {
	caller       *Caller
	key          flowKey
	inbox        chan packet
	sequence     uint32
	acknowledged uint32
}

// ResetError reports that a flow was reset; Open is true if it had been opened before.
type ResetError struct{ Open bool }

func (e *ResetError) Error() string { return fmt.Sprintf("flow reset (open: %v)", e.Open) }

// SilentError reports that no answer came in time; Open is true if the flow had been opened
// before.
type SilentError struct{ Open bool }

func (e *SilentError) Error() string { return fmt.Sprintf("no answer on flow (open: %v)", e.Open) }

// Open opens a flow to a service's address. It fails with *ResetError or *SilentError.
func (c *Caller) Open(service netip.AddrPort) (*Flow, error) {
	c.mu.Lock()
	c.port++
	f := &Flow{
		caller: c, inbox: make(chan packet, inboxSize), sequence: uint32(c.port) << 16,
		key: flowKey{caller: netip.AddrPortFrom(c.ip, c.port), service: service},
	}
	c.flows[f.key.caller] = f
	c.mu.Unlock()
	for number, wait := range []time.Duration{openTimeout, 2 * openTimeout, 4 * openTimeout} {
		// An opening packet carries the number of its copy in place of an acknowledgement.
		f.send(packet{flags: flagOpen, sequence: f.sequence, acknowledged: uint32(number)})
		p, ok := f.receive(wait)
		switch {
		case ok && p.has(flagReset):
			return nil, &ResetError{}
		case ok && p.has(flagOpen):
			f.sequence++
			f.acknowledged = p.sequence + 1
			f.send(packet{flags: flagAcknowledge, sequence: f.sequence, acknowledged: f.acknowledged})
			return f, nil
		}
	}
	return nil, &SilentError{}
}

// Balancer returns the balancer that the router now chooses for the flow, or the zero address.
func (f *Flow) Balancer() netip.AddrPort { return f.caller.router.route(f.key) }

// ResetDatagram returns the datagram with which the load balancer resets the flow.
func (f *Flow) ResetDatagram() []byte {
	reset := packet{flags: flagReset, to: f.key.caller, from: f.key.service}
	raw := reset.encode()
	binary.BigEndian.PutUint32(raw, 0)
	return raw
}

// Request sends a request, retransmits it until the timeout, and returns the name of the
// endpoint that ran it. It fails with *ResetError or *SilentError.
func (f *Flow) Request(id string, timeout time.Duration) (endpoint string, err error) {
	data := []byte("GET / HTTP/1.1\r\n" + RequestIDHeader + ": " + id + "\r\n\r\n")
	deadline := time.Now().Add(timeout)
	for wait := minRetransmitPause; time.Now().Before(deadline); wait = min(2*wait, maxRetransmitPause) {
		f.send(packet{flags: flagAcknowledge, sequence: f.sequence, acknowledged: f.acknowledged, data: data})
		retransmitAt := time.Now().Add(wait)
		for time.Now().Before(retransmitAt) && time.Now().Before(deadline) {
			p, ok := f.receive(min(time.Until(retransmitAt), time.Until(deadline)))
			if ok && p.has(flagReset) {
				return "", &ResetError{Open: true}
			}
			if ok && strings.Contains(string(p.data), "Request: "+id+"\r\n") {
				f.sequence += uint32(len(data))
				_, rest, _ := strings.Cut(string(p.data), "Endpoint: ")
				endpoint, _, _ := strings.Cut(rest, "\r\n")
				return endpoint, nil
			}
		}
	}
	return "", &SilentError{Open: true}
}

func (f *Flow) send(p packet) {
	p.to, p.from = f.key.service, f.key.caller
	if balancer := f.caller.router.route(f.key); balancer.IsValid() {
		_, _ = f.caller.socket.WriteToUDPAddrPort(p.encode(), balancer)
	}
}

func (f *Flow) receive(wait time.Duration) (packet, bool) {
	select {
	case p := <-f.inbox:
		return p, true
	case <-time.After(wait):
		return packet{}, false
	}
}
