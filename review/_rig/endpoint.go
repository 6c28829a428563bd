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

const (
	firstResend = 200 * time.Millisecond
	lastResend  = 1600 * time.Millisecond
	maxResends  = 8
	// queueLength is how many requests an endpoint queues beside those that it works on.
	queueLength = 12
)

// endpointFlow is what an endpoint knows of a flow.
type endpointFlow struct {
	seq        uint32 // of the endpoint's SYN+ACK
	open       bool
	ended      bool
	takenAt    time.Time // when the first opening packet arrived that the endpoint took
	openedAt   time.Time // when the end of the handshake arrived
	sent, next uint32    // the endpoint's next sequence number, and the client's
	unacked    []byte    // the last answer, until the client has acknowledged it
	resends    int
}

// endpoint is a stand-in for an endpoint (PROTOCOL.md, "Flows" and "Endpoints"). It works on as
// many requests at once as it has slots, in order of arrival.
type endpoint struct {
	id, service string
	born        int64 // as its entry states it
	slots       int
	work        time.Duration
	outbound    netip.AddrPort
	socket      *net.UDPConn
	rec         *record

	mu      sync.Mutex
	flows   map[flowKey]*endpointFlow
	busy    int
	queue   []func()
	exited  bool
	runs    map[string]int
	runAt   map[string]time.Time
	resets  map[flowKey]int // resets that the endpoint itself sent
	reached map[flowKey]int // packets of flows that it holds
	foreign map[flowKey]int // packets of flows that it does not hold
	unsound int
}

func startEndpoint(id, service string, born time.Time, slots int, work time.Duration, app, outbound netip.AddrPort, rec *record) (*endpoint, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(app))
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		id: id, service: service, born: born.UnixMilli(), slots: slots, work: work, outbound: outbound, socket: socket, rec: rec,
		flows: make(map[flowKey]*endpointFlow), runs: make(map[string]int), runAt: make(map[string]time.Time),
		resets: make(map[flowKey]int), reached: make(map[flowKey]int), foreign: make(map[flowKey]int),
	}
	go e.serve()
	return e, nil
}

// entry is what the endpoint writes of itself to the store.
func (e *endpoint) entry(zone, state string, seq int) map[string]any {
	return map[string]any{
		"service": e.service, "address": e.socket.LocalAddr().String(), "zone": zone, "version": "v1", "capacity": e.slots,
		"state": state, "cold-left-ms": 0, "seq": seq, "born": e.born,
	}
}

// exit ends the endpoint as its process's end does: whatever it holds is gone.
func (e *endpoint) exit() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.exited, e.queue = true, nil
	_ = e.socket.Close()
}

func (e *endpoint) serve() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := e.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		e.mu.Lock()
		e.handle(buffer[:n])
		e.mu.Unlock()
	}
}

func (e *endpoint) send(p packet) { _, _ = e.socket.WriteToUDPAddrPort(p.encode(), e.outbound) }

// bounce returns a packet that the endpoint cannot take.
func (e *endpoint) bounce(p packet) {
	p.flags |= flagBounced
	e.send(p)
}

func (e *endpoint) handle(datagram []byte) {
	p, sound, ownReset := decode(datagram)
	if !sound || ownReset || p.has(flagBounced) || p.has(flagSYN) && p.has(flagACK) {
		e.unsound++
		e.rec.add("%s: unsound packet from %v", e.id, p.src)
		return
	}
	key := flowKey{client: p.src, route: p.dst}
	f := e.flows[key]
	if p.has(flagSYN) {
		if f == nil {
			f = &endpointFlow{seq: rand.Uint32(), takenAt: time.Now(), next: p.seq + 1}
			f.sent = f.seq + 1
			e.flows[key] = f
			e.rec.add("%s: takes the opening packet of %v (copy %d)", e.id, key.client, p.ack)
		}
		e.send(packet{dst: key.client, src: key.route, flags: flagSYN | flagACK, seq: f.seq, ack: p.seq + 1})
		return
	}
	if f != nil && !f.open && p.ack == f.seq+1 {
		f.open, f.openedAt = true, time.Now()
		e.rec.add("%s: flow %v is open", e.id, key.client)
	}
	switch {
	case f == nil || !f.open && !f.ended:
		e.foreign[key]++
		e.bounce(p)
	case f.ended:
		if p.has(flagFIN) {
			e.send(packet{dst: key.client, src: key.route, flags: flagACK, seq: f.sent, ack: p.seq + 1})
		} else if len(p.data) > 0 {
			e.resets[key]++
			e.send(packet{dst: key.client, src: key.route, flags: flagRST, seq: p.ack})
		}
	default:
		e.reached[key]++
		e.onFlow(key, f, p)
	}
}

// onFlow handles a packet of an open flow.
func (e *endpoint) onFlow(key flowKey, f *endpointFlow, p packet) {
	if p.has(flagRST) {
		f.ended = true
		return
	}
	if p.ack == f.sent {
		f.unacked = nil
	}
	if len(p.data) > 0 {
		if p.seq != f.next { // a copy of a request that is known
			if f.unacked != nil {
				_, _ = e.socket.WriteToUDPAddrPort(f.unacked, e.outbound)
			}
			return
		}
		f.next += uint32(len(p.data))
		e.request(key, f, string(p.data))
	}
	if p.has(flagFIN) {
		f.ended = true
		e.send(packet{dst: key.client, src: key.route, flags: flagFIN | flagACK, seq: f.sent, ack: p.seq + uint32(len(p.data)) + 1})
	}
}

const idHeader = "X-Cactustray-Request-Id: "

// request takes a request: it runs, waits in the queue, or is rejected.
func (e *endpoint) request(key flowKey, f *endpointFlow, text string) {
	_, rest, _ := strings.Cut(text, idHeader)
	id, _, _ := strings.Cut(rest, "\r\n")
	if e.busy >= e.slots && len(e.queue) >= queueLength {
		e.rec.add("%s: rejects %s", e.id, id)
		e.answer(key, f, id, "503 Service Unavailable\r\nX-Cactustray-Not-Executed: 1")
		return
	}
	run := func() {
		e.busy++
		e.runs[id]++
		e.runAt[id] = time.Now()
		e.rec.add("%s: runs %s", e.id, id)
		time.AfterFunc(e.work, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.busy--
			if e.exited {
				return
			}
			e.answer(key, f, id, "200 OK")
			if len(e.queue) > 0 {
				next := e.queue[0]
				e.queue = e.queue[1:]
				next()
			}
		})
	}
	if e.busy < e.slots {
		run()
	} else {
		e.queue = append(e.queue, run)
	}
}

// answer sends a response, and again until the client has acknowledged it.
func (e *endpoint) answer(key flowKey, f *endpointFlow, id, status string) {
	data := fmt.Appendf(nil, "HTTP/1.1 %s\r\nX-Cactustray-Server-Stamp: %s\r\nAnswers: %s\r\nContent-Length: 0\r\n\r\n", status, e.id, id)
	p := packet{dst: key.client, src: key.route, flags: flagACK, seq: f.sent, ack: f.next, data: data}
	f.sent += uint32(len(data))
	f.unacked, f.resends = p.encode(), 0
	e.rec.add("%s: answers %s: %s", e.id, id, status[:3])
	_, _ = e.socket.WriteToUDPAddrPort(f.unacked, e.outbound)
	e.resendLater(f, f.sent, firstResend)
}

func (e *endpoint) resendLater(f *endpointFlow, sent uint32, pause time.Duration) {
	time.AfterFunc(pause, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.exited || f.unacked == nil || f.sent != sent || f.resends >= maxResends {
			return
		}
		f.resends++
		_, _ = e.socket.WriteToUDPAddrPort(f.unacked, e.outbound)
		e.resendLater(f, sent, min(2*pause, lastResend))
	})
}
