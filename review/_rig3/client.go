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

// client is a machine of clients: an address from which flows are opened.
type client struct {
	socket *net.UDPConn
	ip     netip.Addr
	router *router
	record *record

	mu       sync.Mutex
	nextPort uint16
	flows    map[netip.AddrPort]*clientFlow // by the client's end
}

// clientFlow is a flow at its client.
type clientFlow struct {
	client   *client
	key      flowKey
	incoming chan packet
	seq, ack uint32
	openedAt time.Time
}

func newClient(ip netip.Addr, port uint16, r *router, rec *record) (*client, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, port)))
	if err != nil {
		return nil, err
	}
	c := &client{socket: socket, ip: ip, router: r, record: rec, nextPort: 20000, flows: make(map[netip.AddrPort]*clientFlow)}
	go c.serve()
	return c, nil
}

func (c *client) serve() {
	b := make([]byte, maxDatagram+1)
	for {
		n, _, err := c.socket.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, signed, ok := decode(b[:n])
		if !ok {
			continue
		}
		if !signed && !(p.has(flagRst) && len(p.data) == 0 && b[0]|b[1]|b[2]|b[3] == 0) {
			c.record.add("client %s got a packet that its sender did not write so", p.dst)
			continue
		}
		if !signed {
			p.flags |= systemReset
		}
		c.mu.Lock()
		f := c.flows[p.dst]
		c.mu.Unlock()
		if f != nil && f.key.route == p.src {
			select {
			case f.incoming <- p:
			default:
			}
		}
	}
}

// systemReset marks a reset of the system's own; no packet has this flag.
const systemReset = 128

type result string

const (
	answered     result = "answered"
	resetBy      result = "reset by the system"
	endpointEnds result = "reset by the endpoint"
	gaveUp       result = "not answered"
)

func (f *clientFlow) send(p packet) {
	p.src, p.dst = f.key.client, f.key.route
	f.client.router.send(f.client.socket, f.key, p.encode())
}

// open opens a flow to a route: nil if there was no acceptance, with the reason.
func (c *client) open(route netip.AddrPort) (*clientFlow, result) {
	c.mu.Lock()
	c.nextPort++
	f := &clientFlow{client: c, key: flowKey{netip.AddrPortFrom(c.ip, c.nextPort), route}, incoming: make(chan packet, 64), seq: rand.Uint32()}
	c.flows[f.key.client] = f
	c.mu.Unlock()
	begun := time.Now()
	for copies, until := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		f.send(packet{flags: flagSyn, seq: f.seq, ack: uint32(copies)})
		timeout := time.After(time.Until(begun.Add(until)))
	wait:
		for {
			select {
			case p := <-f.incoming:
				switch {
				case p.has(flagRst):
					c.forget(f)
					return nil, resetBy
				case p.has(flagSyn) && p.has(flagAck):
					f.seq++
					f.ack, f.openedAt = p.seq+1, time.Now()
					return f, answered
				}
			case <-timeout:
				break wait
			}
		}
	}
	c.forget(f)
	return nil, gaveUp
}

func (c *client) forget(f *clientFlow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.flows, f.key.client)
}

// request sends a request on the flow and returns its end. Resets of the system's own count only
// within 76,800 of the client's last ack.
func (f *clientFlow) request(id string, limit time.Duration) (result, string) {
	data := fmt.Appendf(nil, "POST /confirm HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", f.key.route, requestIDHeader, id)
	deadline := time.After(limit)
	pause := 200 * time.Millisecond
	p := packet{flags: flagAck, seq: f.seq, ack: f.ack, data: data}
	f.send(p)
	again := time.NewTimer(pause)
	defer again.Stop()
	acknowledged := false
	for {
		select {
		case got := <-f.incoming:
			switch {
			case got.has(flagSyn):
			case got.has(flagRst) && got.has(systemReset):
				if d := int32(got.seq - f.ack); d < 76800 && d > -76800 {
					f.client.forget(f)
					return resetBy, ""
				}
			case got.has(flagRst):
				f.client.forget(f)
				return endpointEnds, ""
			case len(got.data) > 0 && got.seq == f.ack:
				f.seq += uint32(len(data))
				f.ack += uint32(len(got.data))
				f.send(packet{flags: flagAck, seq: f.seq, ack: f.ack})
				_, body, _ := strings.Cut(string(got.data), "\r\n\r\n")
				return answered, body
			case got.ack == f.seq+uint32(len(data)):
				acknowledged = true
			}
		case <-again.C:
			if !acknowledged {
				f.send(p)
			}
			pause = min(2*pause, 1600*time.Millisecond)
			again.Reset(pause)
		case <-deadline:
			f.client.forget(f)
			return gaveUp, ""
		}
	}
}

// close ends the flow.
func (f *clientFlow) close() {
	f.send(packet{flags: flagFin | flagAck, seq: f.seq, ack: f.ack})
	f.client.forget(f)
}
