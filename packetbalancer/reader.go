package packetbalancer

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"cactustray/control"
	"cactustray/control/clock"
	"cactustray/directory"
	"cactustray/directory/exchange"
)

// watchWait is how long a reading waits for a change: with the pause between
// two readings it stays below the age at which other balancers read.
const watchWait = 300 * time.Millisecond

// readOrder is one reading of the source that the control goroutine wants.
type readOrder struct {
	// whole asks for everything, else for what came after a revision.
	whole bool
	after directory.Revision
}

// readEnded brings the result of a reading to the control goroutine.
type readEnded struct {
	change directory.Change
	err    error
}

// fetchEnded brings the directory of another balancer to the control goroutine.
type fetchEnded struct {
	from   netip.AddrPort
	change directory.Change
	err    error
}

// reader reads the directory for the control goroutine, one reading at a time,
// and fetches it from other balancers.
type reader struct {
	source  directory.Source
	client  *exchange.Client
	loop    *control.Loop
	orders  chan readOrder
	fetches chan netip.AddrPort
	surveys chan netip.AddrPort
	// readings and failures count readings of the source.
	readings atomic.Int64
	failures atomic.Int64
}

func newReader(source directory.Source, loop *control.Loop) *reader {
	return &reader{
		source: source, client: exchange.NewClient(), loop: loop,
		orders: make(chan readOrder, 1), fetches: make(chan netip.AddrPort, 1),
		surveys: make(chan netip.AddrPort, maxSurveyed),
	}
}

func (r *reader) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case order := <-r.orders:
			if err := r.loop.Send(ctx, r.read(ctx, order)); err != nil {
				return nil
			}
		}
	}
}

func (r *reader) read(ctx context.Context, order readOrder) readEnded {
	r.readings.Add(1)
	began := clock.Now()
	var ended readEnded
	if order.whole {
		ended.change, ended.err = r.source.Load(ctx)
	} else {
		ended.change, ended.err = r.source.Watch(ctx, order.after, watchWait)
	}
	// The answer is as new as the moment it was asked for, at least.
	ended.change.AsOf = began
	if ended.err != nil {
		r.failures.Add(1)
	}
	return ended
}

// runFetches fetches from one balancer at a time.
func (r *reader) runFetches(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case peer := <-r.fetches:
			change, err := r.client.Fetch(ctx, peer)
			if err := r.loop.Send(ctx, fetchEnded{from: peer, change: change, err: err}); err != nil {
				return nil
			}
		}
	}
}
