package main

import (
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// router chooses a balancer for the packets of a flow, as the platform's routers do with the
// hash mode steady.
type router struct {
	balancers, health []netip.AddrPort
	client            *http.Client

	mu     sync.Mutex
	misses []int
}

func newRouter(balancers, health []netip.AddrPort) *router {
	r := &router{balancers: balancers, health: health, client: &http.Client{Timeout: 400 * time.Millisecond}}
	for range balancers {
		r.misses = append(r.misses, maxMisses)
	}
	return r
}

// maxMisses is how many health checks a balancer misses until it is out of rotation.
const maxMisses = 2

// check queries the health of all balancers, and returns how many answered with 200.
func (r *router) check() (ready int) {
	for i, address := range r.health {
		response, err := r.client.Get("http://" + address.String() + "/healthz")
		ok := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		r.mu.Lock()
		if ok {
			r.misses[i] = 0
			ready++
		} else {
			r.misses[i]++
		}
		r.mu.Unlock()
	}
	return ready
}

func (r *router) run() {
	for {
		time.Sleep(500 * time.Millisecond)
		r.check()
	}
}

// route returns the balancer for a flow. All balancers are in the callers' zone: if fewer than half
// of them are in rotation, all are used.
func (r *router) route(key flowKey) netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	inRotation := 0
	for _, misses := range r.misses {
		if misses < maxMisses {
			inRotation++
		}
	}
	useAll := 2*inRotation < len(r.balancers)
	best, highest := 0, uint64(0)
	for i, balancer := range r.balancers {
		if r.misses[i] >= maxMisses && !useAll {
			continue
		}
		h := fnv.New64a()
		fmt.Fprint(h, balancer, key)
		if score := h.Sum64()*0x9e3779b97f4a7c15 | 1; score > highest {
			best, highest = i, score
		}
	}
	return r.balancers[best]
}

// caller opens flows from one IP address.
type caller struct {
	router *router
	socket *net.UDPConn
	ip     netip.Addr

	mu    sync.Mutex
	flows map[netip.AddrPort]*callerFlow
	port  uint16
}

func newCaller(ip netip.Addr, at netip.AddrPort, r *router) (*caller, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	c := &caller{router: r, socket: socket, ip: ip, flows: make(map[netip.AddrPort]*callerFlow), port: 1024}
	go c.serve()
	return c, nil
}

func (c *caller) serve() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := c.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, valid, own := decode(buffer[:n])
		c.mu.Lock()
		f := c.flows[p.to]
		c.mu.Unlock()
		if !valid && !own || f == nil || p.from != f.key.service {
			continue
		}
		select {
		case f.inbox <- received{packet: p, own: own}:
		default: // dropped, as from a full socket buffer
		}
	}
}

type received struct {
	packet
	own bool
}

// callerFlow is one flow. One goroutine at a time uses it.
type callerFlow struct {
	caller   *caller
	key      flowKey
	inbox    chan received
	seq, ack uint32
	isOpen   bool
}

// Failures of an attempt.
var (
	errReset  = errors.New("reset by the load balancer")
	errSilent = errors.New("no answer in time")
)

// resetWindow is how far the sequence number of a reset may be from the caller's last
// acknowledgment while the flow is open.
const resetWindow = 76800

func (f *callerFlow) isReset(p received) bool {
	return p.has(flagReset) && (!f.isOpen || p.seq-f.ack <= resetWindow || f.ack-p.seq <= resetWindow)
}

// open opens a flow: an opening packet, copies after 200 and 600 ms, and the end after 1.4 s.
func (c *caller) open(service netip.AddrPort) (*callerFlow, error) {
	c.mu.Lock()
	c.port++
	f := &callerFlow{
		caller: c, inbox: make(chan received, 64), seq: uint32(c.port) << 16,
		key: flowKey{caller: netip.AddrPortFrom(c.ip, c.port), service: service},
	}
	c.flows[f.key.caller] = f
	c.mu.Unlock()
	for number, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		f.send(packet{flags: flagSyn, seq: f.seq, ack: uint32(number)})
		for end := time.Now().Add(wait); time.Now().Before(end); {
			p, ok := f.receive(time.Until(end))
			switch {
			case ok && f.isReset(p):
				return nil, errReset
			case ok && p.has(flagSyn):
				f.seq++
				f.ack, f.isOpen = p.seq+1, true
				f.send(packet{flags: flagAck, seq: f.seq, ack: f.ack})
				return f, nil
			}
		}
	}
	return nil, errSilent
}

// request sends a request, retransmits it until the time limit, and returns the name of the
// endpoint that answered.
func (f *callerFlow) request(id string, limit time.Duration) (endpoint string, err error) {
	data := []byte("GET / HTTP/1.1\r\n" + requestIDHeader + id + "\r\n\r\n")
	deadline := time.Now().Add(limit)
	for pause := 200 * time.Millisecond; time.Now().Before(deadline); pause = min(2*pause, 1600*time.Millisecond) {
		f.send(packet{flags: flagAck, seq: f.seq, ack: f.ack, data: data})
		for again := time.Now().Add(pause); time.Now().Before(again) && time.Now().Before(deadline); {
			p, ok := f.receive(min(time.Until(again), time.Until(deadline)))
			if ok && f.isReset(p) {
				return "", errReset
			}
			if ok && strings.Contains(string(p.data), requestIDHeader+id+"\r\n") {
				f.seq += uint32(len(data))
				f.ack = p.seq + uint32(len(p.data))
				_, rest, _ := strings.Cut(string(p.data), "Server-Stamp: ")
				endpoint, _, _ := strings.Cut(rest, "\r\n")
				f.send(packet{flags: flagAck, seq: f.seq, ack: f.ack})
				return endpoint, nil
			}
		}
	}
	return "", errSilent
}

func (f *callerFlow) send(p packet) {
	p.to, p.from = f.key.service, f.key.caller
	_, _ = f.caller.socket.WriteToUDPAddrPort(p.encode(), f.caller.router.route(f.key))
}

func (f *callerFlow) receive(wait time.Duration) (received, bool) {
	select {
	case p := <-f.inbox:
		return p, true
	case <-time.After(wait):
		return received{}, false
	}
}
