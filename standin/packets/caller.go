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
	// openWait is the pause before the first copy of an opening packet; each later
	// one is twice as long, and after the third the caller gives up.
	openWait = 200 * time.Millisecond
	// retransmitAfter is the first pause before a packet is sent again.
	retransmitAfter = 200 * time.Millisecond
	// retransmitMost is the longest one.
	retransmitMost = 1600 * time.Millisecond
	// inboxSize bounds the packets that wait for a flow.
	inboxSize = 64
)

// Router hands callers' packets to balancers that are in rotation: the same one
// for all packets of a flow, as long as it stays.
type Router struct {
	balancers []netip.AddrPort
	health    []netip.AddrPort
	client    *http.Client

	mu    sync.Mutex
	ready []bool
}

// NewRouter returns a router over balancers and the addresses of their health
// checks, which Check asks.
func NewRouter(balancers, health []netip.AddrPort) *Router {
	return &Router{balancers: balancers, health: health, ready: make([]bool, len(balancers)), client: &http.Client{Timeout: time.Second}}
}

// Check asks every balancer once whether it is ready, and returns how many are.
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

// Run checks twice a second until the context ends.
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

// route returns the balancer for a flow, by rendezvous hashing.
func (r *Router) route(ends flowEnds) netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best netip.AddrPort
	highest := uint64(0)
	for i, balancer := range r.balancers {
		if !r.ready[i] {
			continue
		}
		h := fnv.New64a()
		fmt.Fprint(h, balancer, ends.caller, ends.service)
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

// NewCaller returns a caller with an address, which takes packets where it binds its
// socket.
func NewCaller(ip netip.Addr, at netip.AddrPort, router *Router) (*Caller, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	c := &Caller{router: router, socket: socket, ip: ip, flows: make(map[netip.AddrPort]*Flow), port: 1024}
	go c.serve()
	return c, nil
}

// Close ends the caller.
func (c *Caller) Close() { _ = c.socket.Close() }

func (c *Caller) serve() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, genuine := decode(buffer[:n])
		c.mu.Lock()
		f := c.flows[p.to]
		c.mu.Unlock()
		if !genuine || f == nil || p.from != f.ends.service {
			continue
		}
		select {
		case f.inbox <- p:
		default: // as a full socket does
		}
	}
}

// Flow is one flow of a caller; one goroutine uses it.
type Flow struct {
	caller       *Caller
	ends         flowEnds
	inbox        chan packet
	sequence     uint32
	acknowledged uint32
}

// ResetError reports that a flow was reset.
type ResetError struct{ Open bool }

func (e *ResetError) Error() string { return fmt.Sprintf("flow reset, open: %v", e.Open) }

// SilentError reports that nothing answered in time.
type SilentError struct{ Open bool }

func (e *SilentError) Error() string { return fmt.Sprintf("no answer, open: %v", e.Open) }

// Open opens a flow to a service's address. It fails with *ResetError or
// *SilentError.
func (c *Caller) Open(service netip.AddrPort) (*Flow, error) {
	c.mu.Lock()
	c.port++
	f := &Flow{
		caller: c, inbox: make(chan packet, inboxSize), sequence: uint32(c.port) << 16,
		ends: flowEnds{caller: netip.AddrPortFrom(c.ip, c.port), service: service},
	}
	c.flows[f.ends.caller] = f
	c.mu.Unlock()
	for number, wait := range []time.Duration{openWait, 2 * openWait, 4 * openWait} {
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

// Balancer returns where the router sends the flow's packets now.
func (f *Flow) Balancer() netip.AddrPort { return f.caller.router.route(f.ends) }

// Reset returns a reset of the flow as the system may send it.
func (f *Flow) Reset() []byte {
	reset := packet{flags: flagReset, to: f.ends.caller, from: f.ends.service}
	raw := reset.encode()
	binary.BigEndian.PutUint32(raw, 0)
	return raw
}

// Request sends a request and returns the name of the endpoint that ran it. It
// fails with *ResetError or *SilentError.
func (f *Flow) Request(id string, limit time.Duration) (endpoint string, err error) {
	data := []byte("GET / HTTP/1.1\r\n" + RequestIDHeader + ": " + id + "\r\n\r\n")
	end := time.Now().Add(limit)
	for wait := retransmitAfter; time.Now().Before(end); wait = min(2*wait, retransmitMost) {
		f.send(packet{flags: flagAcknowledge, sequence: f.sequence, acknowledged: f.acknowledged, data: data})
		again := time.Now().Add(wait)
		for time.Now().Before(again) && time.Now().Before(end) {
			p, ok := f.receive(min(time.Until(again), time.Until(end)))
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
	p.to, p.from = f.ends.service, f.ends.caller
	if balancer := f.caller.router.route(f.ends); balancer.IsValid() {
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
