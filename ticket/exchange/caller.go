package exchange

import (
	"context"
	"net/http"

	"cactustray/control"
	"cactustray/control/rpc"
	"cactustray/ticket"

	"golang.org/x/sync/errgroup"
)

// callsWaiting is room for a call to every partner at once. The control
// goroutine has at most one call to each under way, so it never waits.
const callsWaiting = 4 * ticket.FanOut

// Caller carries out the calls that the control goroutine decides on.
type Caller struct {
	client *http.Client
	loop   *control.Loop
	calls  chan ticket.Call
}

// NewCaller returns a caller that tells the given loop how its calls ended.
func NewCaller(client *http.Client, loop *control.Loop) *Caller {
	return &Caller{client: client, loop: loop, calls: make(chan ticket.Call, callsWaiting)}
}

// Start takes a call over without waiting and tells whether it did.
func (c *Caller) Start(call ticket.Call) bool {
	select {
	case c.calls <- call:
		return true
	default:
		return false
	}
}

// Run carries out calls until the context ends.
func (c *Caller) Run(ctx context.Context) error {
	var group errgroup.Group
	for range ticket.FanOut {
		group.Go(func() error { return c.work(ctx) })
	}
	return group.Wait()
}

func (c *Caller) work(ctx context.Context) error {
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

func (c *Caller) exchange(ctx context.Context, call ticket.Call) ticket.Answered {
	ctx, cancel := context.WithTimeout(ctx, rpc.CallTimeout)
	defer cancel()
	client := NewClient(c.client, rpc.Base(call.Peer.Control))
	response, refused, err := client.Exchange(ctx, call.Request)
	return ticket.Answered{Call: call, Response: response, Refused: refused, Failure: err}
}
