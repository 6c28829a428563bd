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
	// silent: bytes are taken and go nowhere.
	silent streamFault = iota + 1
	// reset: open connections are reset, and new ones at once.
	reset
	// slow: bytes wait for slowTime.
	slow
)

const (
	slowTime = 300 * time.Millisecond
	dialTime = 5 * time.Second
	// heldPoll is how often a silenced stream looks whether it may go on.
	heldPoll = 20 * time.Millisecond
)

// proxy carries streams from one address to another. It is safe for concurrent use.
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
		go p.carry(accepted.(*net.TCPConn))
	}
}

func (p *proxy) carry(near *net.TCPConn) {
	if p.has(reset) {
		abort(near)
		return
	}
	dialed, err := net.DialTimeout("tcp", p.to, dialTime)
	if err != nil {
		abort(near) // as the far end would
		return
	}
	far := dialed.(*net.TCPConn)
	p.track(near, far)
	var group sync.WaitGroup
	group.Go(func() { p.pump(far, near) })
	group.Go(func() { p.pump(near, far) })
	group.Wait()
	p.forget(near, far)
}

// pump carries bytes one way until either end closes.
func (p *proxy) pump(to, from *net.TCPConn) {
	defer func() { _ = to.CloseWrite() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.pass(to, buffer[:n]) {
			return
		}
		if err != nil {
			return
		}
	}
}

// pass writes bytes on, now, later or, where the stream has gone silent, never.
func (p *proxy) pass(to *net.TCPConn, bytes []byte) bool {
	if p.has(silent) {
		p.lose(to)
		return false
	}
	if p.has(slow) {
		time.Sleep(slowTime)
	}
	_, err := to.Write(bytes)
	return err == nil
}

// lose holds a stream whose bytes are lost, open but silent, until its end goes.
func (p *proxy) lose(to *net.TCPConn) {
	for p.has(silent) && p.tracked(to) {
		time.Sleep(heldPoll)
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

func (p *proxy) forget(conns ...*net.TCPConn) {
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

func (p *proxy) has(f streamFault) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, fault := range p.faults {
		if fault == f {
			return true
		}
	}
	return false
}

// begin puts a fault on the streams until the returned function is called.
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
