package soak

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// streamFault is what happens to the streams through a proxy.
type streamFault int

const (
	// silent: bytes are lost, and connections stay open.
	silent streamFault = iota + 1
	// reset: open connections are reset, and new ones as soon as they are accepted.
	reset
	// slow: bytes are delayed by slowDelay.
	slow
)

const (
	slowDelay   = 300 * time.Millisecond
	dialTimeout = 5 * time.Second
	// silentPollInterval is how often a silenced stream checks whether the fault has ended.
	silentPollInterval = 20 * time.Millisecond
)

// proxy forwards TCP streams from one address to another, with faults. It is safe for
// concurrent use.
type proxy struct {
	listener net.Listener
	to       string

	mu     sync.Mutex
	faults []streamFault
	open   map[*net.TCPConn]bool
}

func newProxy(at, to netip.AddrPort) (*proxy, error) {
	listener, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, to: to.String(), open: make(map[*net.TCPConn]bool)}
	go p.serve()
	return p, nil
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetOpen()
}

func (p *proxy) serve() {
	for {
		accepted, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.handle(accepted.(*net.TCPConn))
	}
}

// handle forwards one accepted connection until both directions have ended.
func (p *proxy) handle(client *net.TCPConn) {
	if p.hasFault(reset) {
		abort(client)
		return
	}
	dialed, err := net.DialTimeout("tcp", p.to, dialTimeout)
	if err != nil {
		abort(client) // the server's refusal reaches the client as a reset
		return
	}
	server := dialed.(*net.TCPConn)
	p.track(client, server)
	var group sync.WaitGroup
	group.Go(func() { p.copyStream(server, client) })
	group.Go(func() { p.copyStream(client, server) })
	group.Wait()
	p.untrack(client, server)
}

// copyStream copies bytes in one direction until either end closes.
func (p *proxy) copyStream(to, from *net.TCPConn) {
	defer func() { _ = to.CloseWrite() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.forward(to, buffer[:n]) {
			return
		}
		if err != nil {
			return
		}
	}
}

// forward writes bytes, delayed if the streams are slow, and reports whether the stream can
// go on. During the fault silent it drops the bytes; the stream cannot go on without them, and
// is reset after the fault.
func (p *proxy) forward(to *net.TCPConn, bytes []byte) bool {
	if p.hasFault(silent) {
		p.holdSilent(to)
		return false
	}
	if p.hasFault(slow) {
		time.Sleep(slowDelay)
	}
	_, err := to.Write(bytes)
	return err == nil
}

// holdSilent keeps a stream that has lost bytes open until the fault ends or the stream is
// closed, and then resets it.
func (p *proxy) holdSilent(to *net.TCPConn) {
	for p.hasFault(silent) && p.tracked(to) {
		time.Sleep(silentPollInterval)
	}
	abort(to)
}

func abort(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func (p *proxy) track(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.open[c] = true
	}
}

func (p *proxy) tracked(c *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[c]
}

func (p *proxy) untrack(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.open, c)
		_ = c.Close()
	}
}

func (p *proxy) resetOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		abort(c)
		delete(p.open, c)
	}
}

func (p *proxy) hasFault(f streamFault) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, fault := range p.faults {
		if fault == f {
			return true
		}
	}
	return false
}

// begin applies a fault to all streams until the returned function is called.
func (p *proxy) begin(f streamFault) (end func()) {
	p.mu.Lock()
	p.faults = append(p.faults, f)
	p.mu.Unlock()
	if f == reset {
		p.resetOpen()
	}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.faults = without(p.faults, f)
	}
}
