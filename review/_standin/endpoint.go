package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// requestIDHeader is the header that carries a request's id.
const requestIDHeader = "X-Cactustray-Request-Id: "

type flowKey struct{ caller, service netip.AddrPort }

func (k flowKey) String() string { return k.caller.String() + "->" + k.service.String() }

// heldFlow is a flow that an endpoint holds.
type heldFlow struct {
	seq  uint32
	open bool
	// answers has the answer of each request that ran, by its sequence number; it is nil
	// while the request runs.
	answers map[uint32][]byte
	closing bool
	closed  bool
}

// endpoint is a backend server that speaks the packet protocol; each request and each answer
// is one packet. It works on slots requests at once, for work each.
type endpoint struct {
	name, service string
	socket        *net.UDPConn
	outbound      netip.AddrPort
	slots         chan struct{}
	work          time.Duration
	record        *record

	mu       sync.Mutex
	flows    map[flowKey]*heldFlow
	runs     map[string]int
	draining bool
	invalid  int
	// openings has the time of each opening packet that arrived.
	openings []time.Time
}

func startEndpoint(name, service string, at, outbound netip.AddrPort, slots int, work time.Duration, r *record) (*endpoint, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		name: name, service: service, socket: socket, outbound: outbound, slots: make(chan struct{}, slots), work: work, record: r,
		flows: make(map[flowKey]*heldFlow), runs: make(map[string]int),
	}
	go e.serve()
	return e, nil
}

func (e *endpoint) serve() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := e.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if reply := e.handle(buffer[:n]); reply != nil {
			e.send(reply)
		}
	}
}

func (e *endpoint) send(datagram []byte) { _, _ = e.socket.WriteToUDPAddrPort(datagram, e.outbound) }

// handle processes one datagram and returns the answer that is sent at once, or nil.
func (e *endpoint) handle(datagram []byte) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, valid, _ := decode(datagram)
	if !valid || p.has(flagBounced) || p.has(flagSyn) && p.has(flagAck) {
		e.invalid++
		return nil
	}
	key := flowKey{caller: p.from, service: p.to}
	f := e.flows[key]
	if p.has(flagSyn) {
		e.openings = append(e.openings, time.Now())
		if f == nil {
			f = &heldFlow{seq: rand.Uint32(), answers: make(map[uint32][]byte)}
			e.flows[key] = f
		}
		return packet{to: p.from, from: p.to, flags: flagSyn | flagAck, seq: f.seq, ack: p.seq + 1}.encode()
	}
	if f != nil && !f.open && p.ack == f.seq+1 {
		f.open = true
	}
	switch {
	case f == nil || !f.open:
		returned := append([]byte(nil), datagram...)
		returned[16] |= flagBounced
		returned[17], returned[18], returned[19] = 0, 0, 0
		return returned
	case p.has(flagReset):
		delete(e.flows, key)
	case p.has(flagFin):
		f.closed = true
		return packet{to: p.from, from: p.to, flags: flagFin | flagAck, seq: p.ack, ack: p.seq + 1}.encode()
	case len(p.data) > 0:
		return e.request(key, f, p)
	}
	return nil
}

// request begins to run a request, or returns the answer of one that ran.
func (e *endpoint) request(key flowKey, f *heldFlow, p packet) []byte {
	if answer, known := f.answers[p.seq]; known {
		return answer
	}
	_, rest, _ := strings.Cut(string(p.data), requestIDHeader)
	id, _, _ := strings.Cut(rest, "\r\n")
	e.runs[id]++
	e.record.line("run", "%s runs %s", e.name, id)
	f.answers[p.seq] = nil
	go e.run(key, f, p, id)
	return nil
}

func (e *endpoint) run(key flowKey, f *heldFlow, p packet, id string) {
	e.slots <- struct{}{}
	time.Sleep(e.work)
	<-e.slots
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Cactustray-Server-Stamp: %s\r\n%s%s\r\nContent-Length: 0\r\n\r\n", e.name, requestIDHeader, id)
	answer := packet{to: key.caller, from: key.service, flags: flagAck, seq: p.ack, ack: p.seq + uint32(len(p.data)), data: []byte(text)}.encode()
	e.mu.Lock()
	f.answers[p.seq] = answer
	e.mu.Unlock()
	e.send(answer)
}

// holds reports whether the endpoint holds a flow that is open.
func (e *endpoint) holds(key flowKey) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.flows[key]
	return f != nil && f.open && !f.closed
}
