package packetbalancer

import (
	"context"
	"slices"
	"sync"
	"time"

	"cactustray/control/clock"
)

const (
	// maxEarlyPackets limits the packets stored before traffic is admitted, at most
	// 1.3 KB each.
	maxEarlyPackets = 512
	// earlyLifetime is how long a stored packet is worth forwarding: callers give up
	// an unanswered opening packet after 1.4 s.
	earlyLifetime = 1200 * time.Millisecond
)

type earlyPacket struct {
	buffer []byte
	at     time.Duration
}

// earlyQueue stores callers' packets that arrive before traffic is admitted, so
// that callers need not retransmit them.
type earlyQueue struct {
	mu       sync.Mutex
	packets  []earlyPacket
	released bool
	// admitted is closed once traffic is admitted.
	admitted chan struct{}
}

func newEarlyQueue() *earlyQueue { return &earlyQueue{admitted: make(chan struct{})} }

// add stores a copy of a packet and reports whether it did: it does not once the
// traffic is admitted. A full queue drops its oldest packet.
func (e *earlyQueue) add(now time.Duration, buffer []byte) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.released {
		return false
	}
	if len(e.packets) == maxEarlyPackets {
		e.packets = e.packets[1:]
	}
	e.packets = append(e.packets, earlyPacket{buffer: slices.Clone(buffer), at: now})
	return true
}

// release lets serveEarly forward the stored packets, and makes add store no more. The
// control goroutine calls it when traffic is admitted.
func (e *earlyQueue) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.released {
		e.released = true
		close(e.admitted)
	}
}

// serveEarly forwards the stored packets once traffic is admitted.
func (f *forwarder) serveEarly(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-f.earlyQueue.admitted:
	}
	f.earlyQueue.mu.Lock()
	packets := f.earlyQueue.packets
	f.earlyQueue.packets = nil
	f.earlyQueue.mu.Unlock()
	now := clock.Now()
	for _, p := range packets {
		if now-p.at < earlyLifetime {
			f.log.Contain("caller's packet", func() { f.forward(now, p.buffer, true) })
		}
	}
	return nil
}
