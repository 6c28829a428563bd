package platform

import (
	"context"
	"math/rand/v2"
	"time"

	"cactustray/control"
	"cactustray/ticket"
)

const (
	// firstBackoff and lastBackoff bound the wait after a failed read.
	firstBackoff = 100 * time.Millisecond
	lastBackoff  = 10 * time.Second
	// firstListWithin bounds the wait before the first read of the list of
	// VMs, so that a fleet that starts at once does not read at once.
	firstListWithin = 3 * time.Second
)

// Failed tells the control goroutine that the platform could not be read.
type Failed struct{ Cause error }

// Watcher reads the platform as the control goroutine orders.
type Watcher struct {
	reader *Reader
	loop   *control.Loop
	random *rand.Rand
	orders chan ticket.Reading
	parsed parser
	// listed tells that the list of VMs was read once.
	listed bool
}

// NewWatcher returns a watcher that reads nothing until it is ordered to.
func NewWatcher(reader *Reader, loop *control.Loop, random *rand.Rand) *Watcher {
	return &Watcher{reader: reader, loop: loop, random: random, orders: make(chan ticket.Reading, 1)}
}

// Order changes how the platform is read, without waiting. Only the control
// goroutine calls it; the last order counts.
func (w *Watcher) Order(reading ticket.Reading) {
	select {
	case <-w.orders:
	default:
	}
	w.orders <- reading
}

// Run reads the platform until the context ends and brings what it reads to
// the control goroutine. Failed reads back off with jitter.
func (w *Watcher) Run(ctx context.Context) error {
	var order ticket.Reading
	for ctx.Err() == nil {
		reading, stop := context.WithCancel(ctx)
		done := make(chan struct{})
		go func(current ticket.Reading) {
			defer close(done)
			w.read(reading, current)
		}(order)
		select {
		case order = <-w.orders:
		case <-ctx.Done():
		}
		stop()
		<-done
	}
	return nil
}

func (w *Watcher) read(ctx context.Context, order ticket.Reading) {
	switch {
	case order.Watch:
		w.watch(ctx)
	case order.ListInterval > 0:
		w.list(ctx, order.ListInterval)
	}
}

func (w *Watcher) watch(ctx context.Context) {
	var after uint64
	backoff := firstBackoff
	for ctx.Err() == nil {
		pairs, index, err := w.reader.Read(ctx, after)
		if err == nil {
			after = index
			backoff = firstBackoff
			err = w.deliver(ctx, pairs)
		}
		if err != nil {
			after = 0
			w.failed(ctx, err)
			control.Sleep(ctx, w.jitter(backoff))
			backoff = min(2*backoff, lastBackoff)
		}
	}
}

func (w *Watcher) list(ctx context.Context, interval time.Duration) {
	if w.listed {
		control.Sleep(ctx, w.jitter(interval))
	} else {
		control.Sleep(ctx, time.Duration(w.random.Int64N(int64(firstListWithin))))
	}
	for ctx.Err() == nil {
		pairs, err := w.reader.ReadList(ctx)
		if err == nil {
			err = w.deliverList(ctx, pairs)
		}
		if err != nil {
			w.failed(ctx, err)
		}
		control.Sleep(ctx, w.jitter(interval))
	}
}

func (w *Watcher) failed(ctx context.Context, err error) {
	if ctx.Err() == nil {
		w.loop.Offer(Failed{Cause: err})
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
			w.listed = true
			return w.loop.Send(ctx, members(pair.Value))
		}
	}
	return nil
}

// jitter returns a random wait around d, half of it at least.
func (w *Watcher) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(w.random.Int64N(int64(d)))
}
