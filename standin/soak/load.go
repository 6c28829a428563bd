package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"cactustray/standin/packets"
)

const (
	// feeds is how many flows stay open, shortCallers how many callers open a flow for each
	// request.
	feeds        = 18
	shortCallers = 6
	// feedPause and shortPause are the pauses between requests, probePause that between
	// flows to the extra route.
	feedPause  = 40 * time.Millisecond
	shortPause = 25 * time.Millisecond
	// movingFeeds is how many flows of the moving route stay open, and movingPause the mean
	// pause between their requests: long, so that several balancers start in between.
	movingFeeds = 24
	movingPause = 600 * time.Millisecond
	probePause  = 200 * time.Millisecond
	// requestTimeout is several times the longest pause between two retransmissions, so
	// that a request gets through after packets were lost.
	requestTimeout = 8 * time.Second
	// finalRequestsPerEntry are made for each entry of services after the faults.
	finalRequestsPerEntry = 20
)

// services lists orders twice, so that it gets two thirds of the load.
var services = []struct {
	name    string
	address netip.AddrPort
}{{"orders", packets.OrdersAddress}, {"orders", packets.OrdersAddress}, {packets.DrawingsService, packets.DrawingsAddress}}

// load holds the callers of a run and numbers their requests.
type load struct {
	*cluster
	ids   atomic.Uint64
	group sync.WaitGroup
	feeds []*feed
}

// feed is a flow and the last attempt on it; flow is nil until one opens and after a failure.
type feed struct {
	flow *packets.Flow
	last Attempt
}

// start starts the callers; they stop when the context ends.
func (l *load) start(ctx context.Context) {
	for i := range feeds {
		f := new(feed)
		l.feeds = append(l.feeds, f)
		service := services[i%len(services)]
		l.group.Go(func() { l.runFeed(ctx, f, feedPause, service.name, service.address) })
	}
	for i := range shortCallers {
		service := services[i%len(services)]
		l.group.Go(func() { l.runShortFlows(ctx, shortPause, service.name, service.address, false) })
	}
	l.group.Go(func() { l.runShortFlows(ctx, probePause, packets.DrawingsService, extraAddress, true) })
	if !l.plan.moves() {
		return
	}
	for range movingFeeds {
		f := new(feed)
		l.feeds = append(l.feeds, f)
		l.group.Go(func() { l.runFeed(ctx, f, movingPause, movingService, movingAddress) })
	}
	l.group.Go(func() { l.runShortFlows(ctx, probePause, movingService, movingAddress, false) })
}

// runFeed makes requests on a flow, and opens another one when a request fails. The pauses
// between requests vary by half.
func (l *load) runFeed(ctx context.Context, f *feed, pause time.Duration, service string, address netip.AddrPort) {
	for ctx.Err() == nil {
		if f.flow == nil {
			f.flow, f.last = l.open(service, address, false, false)
		}
		if f.flow != nil {
			l.request(f)
		}
		sleep(ctx, pause/2+rand.N(pause))
	}
}

// runShortFlows opens a flow for each request until the context ends.
func (l *load) runShortFlows(ctx context.Context, pause time.Duration, service string, address netip.AddrPort, extra bool) {
	for ctx.Err() == nil {
		l.requestOnNewFlow(service, address, extra, false)
		sleep(ctx, pause)
	}
}

func (l *load) requestOnNewFlow(service string, address netip.AddrPort, extra, final bool) {
	f := new(feed)
	if f.flow, f.last = l.open(service, address, extra, final); f.flow != nil {
		l.request(f)
	}
}

// open opens a flow. If that fails, it records an attempt and returns nil.
func (l *load) open(service string, address netip.AddrPort, extra, final bool) (*packets.Flow, Attempt) {
	now := l.history.now()
	a := Attempt{Service: service, ExtraRoute: extra, Opened: now, Began: now, Final: final}
	flow, err := l.caller.Open(address)
	if err == nil {
		return flow, a
	}
	a.ID, a.Ended, a.Outcome = l.id(service), l.history.now(), SilentOpening
	var reset *packets.ResetError
	if errors.As(err, &reset) {
		a.Outcome = RefusedOpening
	}
	l.history.recordAttempt(a)
	return nil, a
}

// request makes one request on a flow and records it; after a failure the feed drops its
// flow.
func (l *load) request(f *feed) {
	a := f.last
	a.ID, a.Began = l.id(a.Service), l.history.now()
	endpoint, err := f.flow.Request(a.ID, requestTimeout)
	a.Ended, a.BalancerHost = l.history.now(), hostOf(f.flow.Balancer())
	var reset *packets.ResetError
	switch {
	case err == nil:
		a.Outcome, a.Endpoint = Answered, endpoint
	case errors.As(err, &reset):
		a.Outcome = ResetOpen
	default:
		a.Outcome = SilentOpen
	}
	l.history.recordAttempt(a)
	f.last = a
	if err != nil {
		f.flow = nil
	}
}

func (l *load) id(service string) string { return fmt.Sprintf("%s-%d", service, l.ids.Add(1)) }

// finish waits for the callers, then makes the requests that must succeed after all faults,
// on the flows that are open and on new ones.
func (l *load) finish() {
	l.group.Wait()
	var group sync.WaitGroup
	for _, f := range l.feeds {
		if f.flow != nil {
			f.last.Final = true
			group.Go(func() { l.request(f) })
		}
	}
	for i := range finalRequestsPerEntry * len(services) {
		service := services[i%len(services)]
		group.Go(func() { l.requestOnNewFlow(service.name, service.address, false, true) })
	}
	group.Wait()
}

func sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}
