package exchange

import (
	"context"
	"net/http"

	"cactustray/control"
	"cactustray/control/rpc"
	"cactustray/ticket"

	"golang.org/x/sync/errgroup"
)

// callQueueSize has room for a call to every partner at once. The control
// goroutine has at most one call per partner in flight, so Start never finds
// the queue full.
const callQueueSize = 4 * ticket.FanOut

// Caller makes the calls that the control goroutine decides on.
type Caller struct {
	client *http.Client
	loop   *control.Loop
	calls  chan ticket.Call
}

// NewCaller returns a caller that sends the results of its calls to the given
// loop.
func NewCaller(client *http.Client, loop *control.Loop) *Caller {
	return &Caller{client: client, loop: loop, calls: make(chan ticket.Call, callQueueSize)}
}

// Start queues a call without blocking and reports whether there was room for
// it.
func (c *Caller) Start(call ticket.Call) bool {
	select {
	case c.calls <- call:
		return true
	default:
		return false
	}
}

// Run makes the queued calls, up to FanOut at once, until the context ends.
func (c *Caller) Run(ctx context.Context) error {
	var group errgroup.Group
	for range ticket.FanOut {
		group.Go(func() error { return c.runWorker(ctx) })
	}
	return group.Wait()
}

func (c *Caller) runWorker(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case call := <-c.calls:
			if err := c.loop.Send(ctx, c.exchange(ctx, call)); err != nil {
				return nil
			}
		}
	}
}

func (c *Caller) exchange(ctx context.Context, call ticket.Call) ticket.CallEnded {
	ctx, cancel := context.WithTimeout(ctx, rpc.CallTimeout)
	defer cancel()
	client := NewClient(c.client, rpc.BaseURL(call.Peer.Control))
	response, refused, err := client.Exchange(ctx, call.Request)
	return ticket.CallEnded{Call: call, Response: response, Refused: refused, Failure: err}
}
