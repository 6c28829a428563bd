package platform

import (
	"context"
	"math/rand/v2"
	"time"

	"cactustray/control"
	"cactustray/ticket"
)

const (
	// minBackoff and maxBackoff bound the wait after a failed read.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 10 * time.Second
	// maxFirstListDelay bounds the random wait before the first read of the
	// list of VMs, so that many nodes that start together do not read it at the
	// same time.
	maxFirstListDelay = 3 * time.Second
)

// ReadFailed notifies the control goroutine that the platform could not be
// read.
type ReadFailed struct{ Cause error }

// Watcher reads the platform in the mode that the control goroutine sets.
type Watcher struct {
	reader *Reader
	loop   *control.Loop
	random *rand.Rand
	modes  chan ticket.ReadMode
	parsed parser
	// listRead is true once the list of VMs was read.
	listRead bool
}

// NewWatcher returns a watcher that reads nothing until SetMode is called.
func NewWatcher(reader *Reader, loop *control.Loop, random *rand.Rand) *Watcher {
	return &Watcher{reader: reader, loop: loop, random: random, modes: make(chan ticket.ReadMode, 1)}
}

// SetMode sets how the platform is read, without blocking. The last call wins.
// Only the control goroutine may call it.
func (w *Watcher) SetMode(mode ticket.ReadMode) {
	select {
	case <-w.modes:
	default:
	}
	w.modes <- mode
}

// Run reads the platform until the context ends and sends what it reads to the
// control goroutine. Failed reads back off with jitter.
func (w *Watcher) Run(ctx context.Context) error {
	var mode ticket.ReadMode
	for ctx.Err() == nil {
		readCtx, stop := context.WithCancel(ctx)
		done := make(chan struct{})
		go func(current ticket.ReadMode) {
			defer close(done)
			w.read(readCtx, current)
		}(mode)
		select {
		case mode = <-w.modes:
		case <-ctx.Done():
		}
		stop()
		<-done
	}
	return nil
}

func (w *Watcher) read(ctx context.Context, mode ticket.ReadMode) {
	switch {
	case mode.Watch:
		w.watch(ctx)
	case mode.ListInterval > 0:
		w.list(ctx, mode.ListInterval)
	}
}

func (w *Watcher) watch(ctx context.Context) {
	var after uint64
	backoff := minBackoff
	for ctx.Err() == nil {
		pairs, index, err := w.reader.Read(ctx, after)
		if err == nil {
			after = index
			backoff = minBackoff
			err = w.deliver(ctx, pairs)
		}
		if err != nil {
			after = 0
			w.reportFailure(ctx, err)
			control.Sleep(ctx, w.jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

func (w *Watcher) list(ctx context.Context, interval time.Duration) {
	if w.listRead {
		control.Sleep(ctx, w.jitter(interval))
	} else {
		control.Sleep(ctx, time.Duration(w.random.Int64N(int64(maxFirstListDelay))))
	}
	for ctx.Err() == nil {
		pairs, err := w.reader.ReadList(ctx)
		if err == nil {
			err = w.deliverList(ctx, pairs)
		}
		if err != nil {
			w.reportFailure(ctx, err)
		}
		control.Sleep(ctx, w.jitter(interval))
	}
}

func (w *Watcher) reportFailure(ctx context.Context, err error) {
	if ctx.Err() == nil {
		w.loop.Offer(ReadFailed{Cause: err})
	}
}

func (w *Watcher) deliver(ctx context.Context, pairs []Pair) error {
	if err := w.deliverList(ctx, pairs); err != nil {
		return err
	}
	return w.loop.Send(ctx, w.parsed.tickets(w.reader.Prefix(), pairs))
}

func (w *Watcher) deliverList(ctx context.Context, pairs []Pair) error {
	for _, pair := range pairs {
		if pair.Key == w.reader.Prefix()+VMKey {
			w.listRead = true
			return w.loop.Send(ctx, parseVMs(pair.Value))
		}
	}
	return nil
}

// jitter returns a random duration between 0.5 d and 1.5 d.
func (w *Watcher) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(w.random.Int64N(int64(d)))
}
