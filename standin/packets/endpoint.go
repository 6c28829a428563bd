package packets

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
)

// flowEnds names a flow by the caller's end and the service's address.
type flowEnds struct{ caller, service netip.AddrPort }

// held is a flow at an endpoint.
type held struct {
	sequence uint32
	open     bool
	ended    bool
}

// Endpoint is a backend server that speaks the packet protocol. Each request is
// one packet, each answer one more. It is safe for concurrent use.
type Endpoint struct {
	Name    string
	Service string

	socket   *net.UDPConn
	outbound netip.AddrPort

	mu      sync.Mutex
	flows   map[flowEnds]*held
	runs    map[string]int
	dark    bool
	full    bool
	opened  int
	strange int
	forged  int
}

// NewEndpoint starts an endpoint that takes packets at an address and sends to
// outbound.
func NewEndpoint(name, service string, at, outbound netip.AddrPort) (*Endpoint, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	e := &Endpoint{
		Name: name, Service: service, socket: socket, outbound: outbound,
		flows: make(map[flowEnds]*held), runs: make(map[string]int),
	}
	go e.serve()
	return e, nil
}

// Address returns where the endpoint takes packets.
func (e *Endpoint) Address() netip.AddrPort {
	return e.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Close ends the endpoint.
func (e *Endpoint) Close() { _ = e.socket.Close() }

// Crash loses all flows at once; the endpoint goes on as a new one.
func (e *Endpoint) Crash() { e.set(func() { e.flows = make(map[flowEnds]*held) }) }

// SetDark makes the endpoint leave everything unanswered.
func (e *Endpoint) SetDark(dark bool) { e.set(func() { e.dark = dark }) }

// SetFull makes the endpoint give opening packets back.
func (e *Endpoint) SetFull(full bool) { e.set(func() { e.full = full }) }

func (e *Endpoint) set(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

// Counts are what an endpoint has seen.
type Counts struct {
	// Opened is how many flows opened, Strange how many packets came for flows
	// that it does not hold, Forged how many that their sender did not write.
	Opened, Strange, Forged int
	// Runs is how often each request ran.
	Runs map[string]int
}

// Counts returns what the endpoint has seen.
func (e *Endpoint) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := Counts{Opened: e.opened, Strange: e.strange, Forged: e.forged, Runs: make(map[string]int)}
	for id, n := range e.runs {
		c.Runs[id] = n
	}
	return c
}

func (e *Endpoint) serve() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := e.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		for _, reply := range e.handle(buffer[:n]) {
			_, _ = e.socket.WriteToUDPAddrPort(reply, e.outbound)
		}
	}
}

// handle takes one datagram in and returns what the endpoint sends.
func (e *Endpoint) handle(datagram []byte) [][]byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, genuine := decode(datagram)
	if e.dark {
		return nil
	}
	if !genuine || p.has(flagBounced) || p.has(flagOpen) && p.has(flagAcknowledge) {
		e.forged++
		return nil
	}
	ends := flowEnds{caller: p.from, service: p.to}
	h := e.flows[ends]
	if p.has(flagOpen) {
		return e.accept(ends, h, p)
	}
	if h != nil && !h.open && p.acknowledged == h.sequence+1 {
		h.open = true
		e.opened++
	}
	switch {
	case h == nil || !h.open:
		e.strange++
		p.flags |= flagBounced
		return [][]byte{p.encode()}
	case p.has(flagFinish):
		h.ended = true
		return [][]byte{e.reply(ends, p, flagFinish|flagAcknowledge, "")}
	case len(p.data) > 0:
		return [][]byte{e.reply(ends, p, flagAcknowledge, e.run(string(p.data)))}
	}
	return nil
}

func (e *Endpoint) accept(ends flowEnds, h *held, p packet) [][]byte {
	if h == nil && e.full {
		p.flags |= flagBounced
		return [][]byte{p.encode()}
	}
	if h == nil {
		h = &held{sequence: rand.Uint32()}
		e.flows[ends] = h
	}
	accepted := packet{to: ends.caller, from: ends.service, flags: flagOpen | flagAcknowledge, sequence: h.sequence, acknowledged: p.sequence + 1}
	return [][]byte{accepted.encode()}
}

func (e *Endpoint) reply(ends flowEnds, p packet, flags byte, data string) []byte {
	r := packet{to: ends.caller, from: ends.service, flags: flags, sequence: p.acknowledged, acknowledged: p.sequence + uint32(len(p.data)), data: []byte(data)}
	return r.encode()
}

// run works on a request; a copy of its packet is answered, and not run again.
func (e *Endpoint) run(request string) string {
	_, rest, _ := strings.Cut(request, RequestIDHeader+": ")
	id, _, _ := strings.Cut(rest, "\r\n")
	if e.runs[id] == 0 {
		e.runs[id]++
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nEndpoint: %s\r\nRequest: %s\r\n\r\n", e.Name, id)
}

// RequestIDHeader names a request's id in its head.
const RequestIDHeader = "X-Cactustray-Request-Id"
