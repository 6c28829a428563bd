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
	"cactustray/event"
)

// watchWait is how long a read waits for a change. Together with the pause between
// two reads it is shorter than the age at which other balancers start to read.
const watchWait = 300 * time.Millisecond

// readRequest is the control goroutine's request for one read of the source.
type readRequest struct {
	// fullRead requests the whole directory instead of the changes after a revision.
	fullRead bool
	after    directory.Position
}

// readEnded brings the result of a read to the control goroutine.
type readEnded struct {
	readRequest
	change directory.Change
	err    error
}

// fetchRequest is the control goroutine's request for a fetch from another balancer.
type fetchRequest struct {
	peer netip.AddrPort
	directory.Request
}

// fetchEnded brings the directory of another balancer to the control goroutine.
type fetchEnded struct {
	fetchRequest
	change directory.Change
	err    error
}

// ReadPanicError reports that reading the registry panicked; the log has the cause.
type ReadPanicError struct{}

func (*ReadPanicError) Error() string { return "reading the registry panicked" }

// reader reads the directory from its source for the control goroutine, one read at
// a time, and fetches it from other balancers.
type reader struct {
	source   directory.Source
	client   *exchange.Client
	loop     *control.Loop
	log      *event.Log
	requests chan readRequest
	fetches  chan fetchRequest
	surveys  chan fetchRequest
	// readings counts reads of the source, failures those that failed.
	readings atomic.Int64
	failures atomic.Int64
}

func newReader(source directory.Source, loop *control.Loop, log *event.Log) *reader {
	return &reader{
		source: source, client: exchange.NewClient(func(netip.Addr, int) {}), loop: loop, log: log,
		requests: make(chan readRequest, 1), fetches: make(chan fetchRequest, 1),
		surveys: make(chan fetchRequest, maxSurveyedPeers),
	}
}

func (r *reader) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case request := <-r.requests:
			if err := r.loop.Send(ctx, r.read(ctx, request)); err != nil {
				return nil
			}
		}
	}
}

func (r *reader) read(ctx context.Context, request readRequest) readEnded {
	r.readings.Add(1)
	start := clock.Now()
	result := readEnded{readRequest: request}
	result.err = &ReadPanicError{}
	r.log.Contain("read of the registry", func() {
		if request.fullRead {
			result.change, result.err = r.source.Load(ctx)
		} else {
			result.change, result.err = r.source.Watch(ctx, request.after, watchWait)
		}
	})
	// The result is at least as new as the start of the read.
	result.change.AsOf = start
	if result.err != nil {
		r.failures.Add(1)
	}
	return result
}

// runFetches fetches the directory from one balancer at a time.
func (r *reader) runFetches(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case fetch := <-r.fetches:
			change, err := r.client.Fetch(ctx, fetch.peer, fetch.Request)
			if err := r.loop.Send(ctx, fetchEnded{fetchRequest: fetch, change: change, err: err}); err != nil {
				return nil
			}
		}
	}
}
