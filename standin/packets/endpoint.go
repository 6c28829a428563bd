package packets

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// flowKey identifies a flow by the caller's and the service's address.
type flowKey struct{ caller, service netip.AddrPort }

// endpointFlow is a flow that an endpoint holds.
type endpointFlow struct {
	sequence uint32
	open     bool
}

// Endpoint is a backend server that speaks the packet protocol. Each request and each answer
// is one packet. It is safe for concurrent use.
type Endpoint struct {
	Name    string
	Service string

	socket   *net.UDPConn
	outbound netip.AddrPort
	// served is closed once the endpoint no longer reads from its socket.
	served chan struct{}

	mu           sync.Mutex
	flows        map[flowKey]*endpointFlow
	runs         map[string]int
	unresponsive bool
	full         bool
	opened       int
	unknownFlow  int
	corrupted    int
}

// NewEndpoint starts an endpoint that receives packets at an address and sends its packets to
// outbound, an address of its agent.
func NewEndpoint(name, service string, at, outbound netip.AddrPort) (*Endpoint, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	return start(name, service, socket, outbound), nil
}

func start(name, service string, socket *net.UDPConn, outbound netip.AddrPort) *Endpoint {
	e := &Endpoint{
		Name: name, Service: service, socket: socket, outbound: outbound, served: make(chan struct{}),
		flows: make(map[flowKey]*endpointFlow), runs: make(map[string]int),
	}
	go e.serve()
	return e
}

// Replace ends the endpoint and starts another one on its socket, without the endpoint's flows.
// The socket stays open because its address could not be bound again at once: a process that is
// being started holds a copy of each socket until it executes its program.
func (e *Endpoint) Replace(name, service string) (*Endpoint, error) {
	if err := e.socket.SetReadDeadline(time.Now()); err != nil {
		return nil, err
	}
	<-e.served
	if err := e.socket.SetReadDeadline(time.Time{}); err != nil {
		return nil, err
	}
	return start(name, service, e.socket, e.outbound), nil
}

// Address returns the address at which the endpoint receives packets.
func (e *Endpoint) Address() netip.AddrPort {
	return e.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Close closes the endpoint's socket, after which it no longer serves.
func (e *Endpoint) Close() { _ = e.socket.Close() }

// Crash drops all flows, as a restart of the endpoint does.
func (e *Endpoint) Crash() { e.set(func() { e.flows = make(map[flowKey]*endpointFlow) }) }

// SetUnresponsive makes the endpoint ignore all packets, or answer them again.
func (e *Endpoint) SetUnresponsive(unresponsive bool) {
	e.set(func() { e.unresponsive = unresponsive })
}

// SetFull makes the endpoint refuse new flows: it returns their opening packets with
// flagReturned.
func (e *Endpoint) SetFull(full bool) { e.set(func() { e.full = full }) }

func (e *Endpoint) set(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
}

// Counts are the counters of an endpoint.
type Counts struct {
	// Opened counts the flows opened, UnknownFlow the packets for flows that the endpoint
	// does not hold, Corrupted the packets with a wrong checksum or flags that no caller sends.
	Opened, UnknownFlow, Corrupted int
	// Runs counts the runs of each request, by its id.
	Runs map[string]int
}

// Counts returns a copy of the endpoint's counters.
func (e *Endpoint) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := Counts{Opened: e.opened, UnknownFlow: e.unknownFlow, Corrupted: e.corrupted, Runs: make(map[string]int)}
	for id, n := range e.runs {
		c.Runs[id] = n
	}
	return c
}

func (e *Endpoint) serve() {
	defer close(e.served)
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

// handle processes one datagram and returns the datagrams that the endpoint sends for it.
func (e *Endpoint) handle(datagram []byte) [][]byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, valid := decode(datagram)
	if e.unresponsive {
		return nil
	}
	if !valid || p.has(flagReturned) || p.has(flagOpen) && p.has(flagAcknowledge) {
		e.corrupted++
		return nil
	}
	key := flowKey{caller: p.from, service: p.to}
	f := e.flows[key]
	if p.has(flagOpen) {
		return e.accept(key, f, p)
	}
	if f != nil && !f.open && p.acknowledged == f.sequence+1 {
		f.open = true
		e.opened++
	}
	switch {
	case f == nil || !f.open:
		e.unknownFlow++
		p.flags |= flagReturned
		return [][]byte{p.encode()}
	case p.has(flagFinish):
		return [][]byte{e.reply(key, p, flagFinish|flagAcknowledge, "")}
	case len(p.data) > 0:
		return [][]byte{e.reply(key, p, flagAcknowledge, e.run(string(p.data)))}
	}
	return nil
}

// accept answers an opening packet.
func (e *Endpoint) accept(key flowKey, f *endpointFlow, p packet) [][]byte {
	if f == nil && e.full {
		p.flags |= flagReturned
		return [][]byte{p.encode()}
	}
	if f == nil {
		f = &endpointFlow{sequence: rand.Uint32()}
		e.flows[key] = f
	}
	accepted := packet{to: key.caller, from: key.service, flags: flagOpen | flagAcknowledge, sequence: f.sequence, acknowledged: p.sequence + 1}
	return [][]byte{accepted.encode()}
}

func (e *Endpoint) reply(key flowKey, p packet, flags byte, data string) []byte {
	r := packet{to: key.caller, from: key.service, flags: flags, sequence: p.acknowledged, acknowledged: p.sequence + uint32(len(p.data)), data: []byte(data)}
	return r.encode()
}

// run runs a request and returns its answer; a retransmitted request is answered and not run
// again.
func (e *Endpoint) run(request string) string {
	_, rest, _ := strings.Cut(request, RequestIDHeader+": ")
	id, _, _ := strings.Cut(rest, "\r\n")
	if e.runs[id] == 0 {
		e.runs[id]++
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nEndpoint: %s\r\nRequest: %s\r\n\r\n", e.Name, id)
}

// RequestIDHeader is the header that carries a request's id.
const RequestIDHeader = "X-Cactustray-Request-Id"
