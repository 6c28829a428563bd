package soak

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"cactustray/standin/packets"
)

const (
	// feeds and shorts are how many flows stay open, and how many callers open one for
	// each request.
	feeds  = 18
	shorts = 6
	// feedPause and shortPause are between requests, probePause between flows to the
	// route that comes and goes.
	feedPause  = 40 * time.Millisecond
	shortPause = 25 * time.Millisecond
	probePause = 200 * time.Millisecond
	// patience is a caller's time limit: several of the longest pauses between two
	// retransmissions, so that what is lost meanwhile comes through.
	patience = 8 * time.Second
	// finalRequests are made of each service once all is over.
	finalRequests = 20
)

var services = []struct {
	name    string
	address netip.AddrPort
}{{"orders", packets.OrdersAddress}, {"orders", packets.OrdersAddress}, {"drawings", packets.DrawingsAddress}}

// load is the callers of a run.
type load struct {
	*world
	ids   atomic.Uint64
	group sync.WaitGroup
	feeds []*feed
}

// feed is a flow that stays open.
type feed struct {
	flow *packets.Flow
	last Attempt
}

// begin starts the callers; they stop when the context ends.
func (l *load) begin(ctx context.Context) {
	for i := range feeds {
		f := new(feed)
		l.feeds = append(l.feeds, f)
		service := services[i%len(services)]
		l.group.Go(func() { l.keep(ctx, f, service.name, service.address) })
	}
	for i := range shorts {
		service := services[i%len(services)]
		l.group.Go(func() { l.repeat(ctx, shortPause, service.name, service.address, false) })
	}
	l.group.Go(func() { l.repeat(ctx, probePause, "drawings", extraAddress, true) })
}

// keep makes requests on a flow, and opens another when it ends.
func (l *load) keep(ctx context.Context, f *feed, service string, address netip.AddrPort) {
	for ctx.Err() == nil {
		if f.flow == nil {
			f.flow, f.last = l.open(service, address, false, false)
		}
		if f.flow != nil {
			l.request(f)
		}
		sleep(ctx, feedPause)
	}
}

// repeat opens a flow for each request.
func (l *load) repeat(ctx context.Context, pause time.Duration, service string, address netip.AddrPort, extra bool) {
	for ctx.Err() == nil {
		l.once(service, address, extra, false)
		sleep(ctx, pause)
	}
}

func (l *load) once(service string, address netip.AddrPort, extra, final bool) {
	f := new(feed)
	if f.flow, f.last = l.open(service, address, extra, final); f.flow != nil {
		l.request(f)
	}
}

// open opens a flow. One that does not open is recorded as an attempt.
func (l *load) open(service string, address netip.AddrPort, extra, final bool) (*packets.Flow, Attempt) {
	now := l.history.now()
	a := Attempt{Service: service, Extra: extra, Opened: now, Began: now, Final: final}
	flow, err := l.caller.Open(address)
	if err == nil {
		return flow, a
	}
	a.ID, a.Ended, a.Outcome = l.id(service), l.history.now(), SilentOpening
	var reset *packets.ResetError
	if errors.As(err, &reset) {
		a.Outcome = RefusedOpening
	}
	l.history.attempted(a)
	return nil, a
}

// request makes one request on a flow and records it; the flow ends with a failure.
func (l *load) request(f *feed) {
	a := f.last
	a.ID, a.Began = l.id(a.Service), l.history.now()
	endpoint, err := f.flow.Request(a.ID, patience)
	a.Ended, a.Via = l.history.now(), hostOf(f.flow.Balancer())
	var reset *packets.ResetError
	switch {
	case err == nil:
		a.Outcome, a.Endpoint = Answered, endpoint
	case errors.As(err, &reset):
		a.Outcome = ResetOpen
	default:
		a.Outcome = SilentOpen
	}
	l.history.attempted(a)
	f.last = a
	if err != nil {
		f.flow = nil
	}
}

func (l *load) id(service string) string { return fmt.Sprintf("%s-%d", service, l.ids.Add(1)) }

// finish makes the requests that must work once all faults are over, on the flows that
// are open and on new ones.
func (l *load) finish() {
	l.group.Wait()
	var group sync.WaitGroup
	for _, f := range l.feeds {
		if f.flow != nil {
			f.last.Final = true
			group.Go(func() { l.request(f) })
		}
	}
	for i := range finalRequests * len(services) {
		service := services[i%len(services)]
		group.Go(func() { l.once(service.name, service.address, false, true) })
	}
	group.Wait()
}

func sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}
