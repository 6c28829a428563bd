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

type flowKey struct{ client, route netip.AddrPort }

type heldFlow struct {
	seq      uint32 // initial sequence number
	next     uint32 // sequence number of the next byte to the client
	expected uint32 // sequence number of the client's next byte
	acked    uint32
	open     bool
	answer   []byte // the last packet with data, until it is acknowledged
}

// endpoint is a stand-in for an endpoint. Requests and answers are one packet each.
type endpoint struct {
	name, service string
	address       netip.AddrPort
	outbound      netip.AddrPort
	socket        *net.UDPConn
	record        *record
	slots         chan struct{}
	work          time.Duration
	born          int64

	mu    sync.Mutex
	flows map[flowKey]*heldFlow
	ended bool
}

func newEndpoint(name, service string, at, outbound netip.AddrPort, slots int, work time.Duration, r *record) (*endpoint, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		name: name, service: service, address: at, outbound: outbound, socket: socket, record: r, work: work,
		slots: make(chan struct{}, slots), flows: make(map[flowKey]*heldFlow), born: time.Now().UnixMilli(),
	}
	go e.serve()
	return e, nil
}

// entry returns what the endpoint writes about itself.
func (e *endpoint) entry(zone, state string, seq int) map[string]any {
	return map[string]any{
		"service": e.service, "address": e.address.String(), "zone": zone, "version": "1", "capacity": cap(e.slots),
		"state": state, "cold-left-ms": 0, "born": e.born, "seq": seq,
	}
}

// end ends the endpoint: what it works on is lost.
func (e *endpoint) end() {
	e.mu.Lock()
	e.ended = true
	e.mu.Unlock()
	_ = e.socket.Close()
}

func (e *endpoint) serve() {
	b := make([]byte, maxDatagram+1)
	for {
		n, _, err := e.socket.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if p, signed, ok := decode(b[:n]); ok {
			e.take(p, signed)
		}
	}
}

func (e *endpoint) send(p packet) { _, _ = e.socket.WriteToUDPAddrPort(p.encode(), e.outbound) }

func (e *endpoint) take(p packet, signed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := flowKey{p.src, p.dst}
	f := e.flows[key]
	switch {
	case !signed || p.has(flagBounced) || p.has(flagSyn) && p.has(flagAck):
		e.record.add("%s got a packet that its sender did not write so", e.name)
	case p.has(flagSyn):
		if f == nil {
			s := rand.Uint32()
			f = &heldFlow{seq: s, next: s + 1, acked: s + 1, expected: p.seq + 1}
			e.flows[key] = f
		}
		e.send(packet{src: p.dst, dst: p.src, flags: flagSyn | flagAck, seq: f.seq, ack: f.expected})
	case f == nil || !f.open && p.ack != f.seq+1:
		p.flags |= flagBounced
		e.send(p)
	case p.has(flagRst):
		delete(e.flows, key)
	default:
		f.open = true
		e.data(key, f, p)
	}
}

// data handles a packet of an open flow.
func (e *endpoint) data(key flowKey, f *heldFlow, p packet) {
	if int32(p.ack-f.acked) > 0 {
		f.acked = p.ack
		if f.acked == f.next {
			f.answer = nil
		}
	}
	if p.has(flagFin) {
		e.send(packet{src: key.route, dst: key.client, flags: flagFin | flagAck, seq: f.next, ack: p.seq + 1})
		return
	}
	if len(p.data) == 0 {
		return
	}
	if p.seq != f.expected { // sent again
		if f.answer != nil {
			e.send(packet{src: key.route, dst: key.client, flags: flagAck, seq: f.next - uint32(len(f.answer)), ack: f.expected, data: f.answer})
		} else {
			e.send(packet{src: key.route, dst: key.client, flags: flagAck, seq: f.next, ack: f.expected})
		}
		return
	}
	f.expected += uint32(len(p.data))
	_, rest, _ := strings.Cut(string(p.data), requestIDHeader+": ")
	id, _, _ := strings.Cut(rest, "\r\n")
	go e.run(key, f, id)
}

const requestIDHeader = "X-Cactustray-Request-Id"

func (e *endpoint) run(key flowKey, f *heldFlow, id string) {
	e.slots <- struct{}{}
	defer func() { <-e.slots }()
	if e.isEnded() {
		return
	}
	e.record.ran(id, e.name)
	time.Sleep(e.work)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		e.record.add("%s ended while it worked on %s", e.name, id)
		return
	}
	body := id + " by " + e.name
	f.answer = fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Cactustray-Server-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", e.name, len(body), body)
	f.next += uint32(len(f.answer))
	e.send(packet{src: key.route, dst: key.client, flags: flagAck, seq: f.next - uint32(len(f.answer)), ack: f.expected, data: f.answer})
}

func (e *endpoint) isEnded() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ended
}

// holds reports whether the endpoint holds the client's flow, open.
func (e *endpoint) holds(key flowKey) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.flows[key]
	return !e.ended && f != nil && f.open
}
