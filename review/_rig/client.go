package main

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// router stands for the platform's routers: it hashes flows steadily over the balancers that are
// in rotation.
type router struct {
	balancers []netip.AddrPort
	ready     []string
	mu        sync.Mutex
	misses    []int
	in        []bool
}

func newRouter(balancers []netip.AddrPort, ready []string) *router {
	return &router{balancers: balancers, ready: ready, misses: make([]int, len(ready)), in: make([]bool, len(ready))}
}

// run probes each balancer twice a second; after two misses it is out of rotation.
func (r *router) run(stop <-chan struct{}) {
	client := &http.Client{Timeout: 400 * time.Millisecond}
	for {
		for i, url := range r.ready {
			response, err := client.Get(url)
			ok := err == nil && response.StatusCode == http.StatusOK
			if err == nil {
				_ = response.Body.Close()
			}
			r.mu.Lock()
			if ok {
				r.misses[i], r.in[i] = 0, true
			} else if r.misses[i]++; r.misses[i] >= 2 {
				r.in[i] = false
			}
			r.mu.Unlock()
		}
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

func (r *router) allIn() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, in := range r.in {
		if !in {
			return false
		}
	}
	return true
}

func (r *router) route(key flowKey) netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	none := true
	for _, in := range r.in {
		none = none && !in
	}
	var best netip.AddrPort
	highest := uint64(0)
	for i, balancer := range r.balancers {
		if !r.in[i] && !none {
			continue
		}
		h := fnv.New64a()
		fmt.Fprint(h, balancer, key.client, key.route)
		if score := h.Sum64()*0x9e3779b97f4a7c15 | 1; score > highest {
			best, highest = balancer, score
		}
	}
	return best
}

// client is a stand-in for a client (PROTOCOL.md, "Flows").
type client struct {
	ip     netip.Addr
	router *router
	socket *net.UDPConn
	rec    *record
	mu     sync.Mutex
	flows  map[netip.AddrPort]*clientFlow
	port   uint16
}

type clientFlow struct {
	client   *client
	key      flowKey
	inbox    chan received
	seq, ack uint32
}

type received struct {
	packet
	ownReset bool
}

func newClient(ip netip.Addr, at netip.AddrPort, r *router, rec *record) (*client, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	c := &client{ip: ip, router: r, socket: socket, rec: rec, flows: make(map[netip.AddrPort]*clientFlow), port: 40000}
	go c.serve()
	return c, nil
}

func (c *client) serve() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, sound, ownReset := decode(buffer[:n])
		c.mu.Lock()
		f := c.flows[p.dst]
		c.mu.Unlock()
		if !sound || f == nil || p.src != f.key.route {
			continue
		}
		select {
		case f.inbox <- received{p, ownReset}:
		default:
		}
	}
}

var (
	errReset   = errors.New("reset")
	errSilent  = errors.New("no answer")
	errRefused = errors.New("said not to have run")
)

// resetWindow is how far a reset's seq may lie from the client's last ack on an open flow.
const resetWindow = 76800

// open opens a flow: a SYN, copies after 200 and 600 ms, and it gives up after 1.4 s.
func (c *client) open(route netip.AddrPort) (*clientFlow, error) {
	c.mu.Lock()
	c.port++
	f := &clientFlow{client: c, key: flowKey{netip.AddrPortFrom(c.ip, c.port), route}, inbox: make(chan received, 64), seq: rand.Uint32()}
	c.flows[f.key.client] = f
	c.mu.Unlock()
	began := time.Now()
	for number, until := range []time.Duration{200, 600, 1400} {
		f.send(packet{flags: flagSYN, seq: f.seq, ack: uint32(number)})
		for {
			p, ok := f.receive(began.Add(until * time.Millisecond))
			switch {
			case !ok:
			case p.has(flagRST):
				f.forget()
				return nil, errReset
			case p.has(flagSYN) && p.has(flagACK) && p.ack == f.seq+1:
				f.seq++
				f.ack = p.seq + 1
				f.send(packet{flags: flagACK, seq: f.seq, ack: f.ack})
				return f, nil
			default:
				continue
			}
			break
		}
	}
	f.forget()
	return nil, errSilent
}

// request sends a request and waits for its answer until the time limit.
func (f *clientFlow) request(id string, limit time.Duration) (server string, err error) {
	data := []byte("POST / HTTP/1.1\r\nHost: x\r\n" + idHeader + id + "\r\nContent-Length: 0\r\n\r\n")
	deadline := time.Now().Add(limit)
	f.client.rec.add("client: sends %s on %v", id, f.key.client)
	for pause := firstResend; time.Now().Before(deadline); pause = min(2*pause, lastResend) {
		f.send(packet{flags: flagACK, seq: f.seq, ack: f.ack, data: data})
		again := time.Now().Add(pause)
		if again.After(deadline) {
			again = deadline
		}
		for {
			p, ok := f.receive(again)
			if !ok {
				break
			}
			if p.has(flagRST) {
				if off := int32(p.seq - f.ack); off > resetWindow || off < -resetWindow {
					f.client.rec.add("client: ignores a reset on %v with another seq", f.key.client)
					continue
				}
				f.client.rec.add("client: RESET on %v while %s waits (the system's own: %v)", f.key.client, id, p.ownReset)
				f.forget()
				return "", errReset
			}
			if p.seq != f.ack || len(p.data) == 0 {
				continue
			}
			f.seq += uint32(len(data))
			f.ack += uint32(len(p.data))
			f.send(packet{flags: flagACK, seq: f.seq, ack: f.ack})
			_, rest, _ := strings.Cut(string(p.data), "Server-Stamp: ")
			server, _, _ = strings.Cut(rest, "\r\n")
			if strings.Contains(string(p.data), "Not-Executed") {
				return server, errRefused
			}
			f.client.rec.add("client: has the answer to %s from %s", id, server)
			return server, nil
		}
	}
	f.client.rec.add("client: gives up %s", id)
	return "", errSilent
}

// finResends are the pauses before the copies of a FIN that is not answered.
var finResends = []time.Duration{200, 400, 800, 1600}

// close closes the flow, and does not wait for the endpoint's FIN.
func (f *clientFlow) close() {
	f.send(packet{flags: flagFIN | flagACK, seq: f.seq, ack: f.ack})
	go func() {
		defer f.forget()
		for _, pause := range finResends {
			until := time.Now().Add(pause * time.Millisecond)
			for {
				p, ok := f.receive(until)
				if !ok {
					break
				}
				if p.has(flagFIN) || p.has(flagRST) {
					f.send(packet{flags: flagACK, seq: f.seq + 1, ack: p.seq + 1})
					return
				}
			}
			f.send(packet{flags: flagFIN | flagACK, seq: f.seq, ack: f.ack})
		}
	}()
}

func (f *clientFlow) forget() {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	delete(f.client.flows, f.key.client)
}

func (f *clientFlow) send(p packet) {
	p.dst, p.src = f.key.route, f.key.client
	if balancer := f.client.router.route(f.key); balancer.IsValid() {
		_, _ = f.client.socket.WriteToUDPAddrPort(p.encode(), balancer)
	}
}

func (f *clientFlow) receive(until time.Time) (received, bool) {
	select {
	case p := <-f.inbox:
		return p, true
	case <-time.After(time.Until(until)):
		return received{}, false
	}
}
