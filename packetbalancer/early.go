package packetbalancer

import (
	"context"
	"slices"
	"sync"
	"time"

	"cactustray/control/clock"
)

const (
	// maxEarly bounds the packets kept while no directory is known, at most 1.3
	// KB each.
	maxEarly = 512
	// earlyFor is how long such a packet is of use: callers give an opening up
	// after 1.4 s.
	earlyFor = 1200 * time.Millisecond
)

type earlyPacket struct {
	buffer []byte
	at     time.Duration
}

// early keeps callers' packets that arrive before the directory is known, so
// that a caller need not repeat them.
type early struct {
	mu      sync.Mutex
	packets []earlyPacket
	over    bool
	known   chan struct{}
}

func newEarly() *early { return &early{known: make(chan struct{})} }

// keep takes a packet, unless the directory is known.
func (e *early) keep(now time.Duration, buffer []byte) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.over {
		return false
	}
	if len(e.packets) == maxEarly {
		e.packets = e.packets[1:]
	}
	e.packets = append(e.packets, earlyPacket{buffer: slices.Clone(buffer), at: now})
	return true
}

// end tells that the directory is known. The control goroutine calls it.
func (e *early) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.over {
		e.over = true
		close(e.known)
	}
}

// serveEarly forwards the packets that came before the directory.
func (t *forwarder) serveEarly(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-t.early.known:
	}
	t.early.mu.Lock()
	packets := t.early.packets
	t.early.packets = nil
	t.early.mu.Unlock()
	now := clock.Now()
	for _, p := range packets {
		if now-p.at < earlyFor {
			t.forward(now, p.buffer)
		}
	}
	return nil
}
