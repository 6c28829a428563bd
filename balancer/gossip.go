package balancer

import (
	"context"
	"net/http"

	"cactustray/control"
	"cactustray/control/rpc"
	"cactustray/event"
	"cactustray/liveness"
	"cactustray/liveness/heartbeat"

	"golang.org/x/sync/errgroup"
)

// peerCallDone is the message that brings the result of a gossip call to another
// balancer to the control goroutine. cause is nil if the call was answered.
type peerCallDone struct {
	to     string
	answer heartbeat.SpreadAnswer
	cause  error
}

// peerCaller makes the gossip calls that the control goroutine queues.
type peerCaller struct {
	client *http.Client
	loop   *control.Loop
	log    *event.Log
}

// run makes each call in its own goroutine until the context ends.
func (c *peerCaller) run(ctx context.Context, calls <-chan liveness.Batch) error {
	var group errgroup.Group
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case batch := <-calls:
			group.Go(func() error { return c.call(ctx, batch) })
		}
	}
}

func (c *peerCaller) call(ctx context.Context, batch liveness.Batch) error {
	limited, cancel := context.WithTimeout(ctx, rpc.CallTimeout)
	defer cancel()
	answer, err := heartbeat.NewClient(c.client, rpc.BaseURL(batch.To.Control)).Spread(limited, batch)
	_ = c.loop.Send(ctx, peerCallDone{to: batch.To.Name, answer: answer, cause: err})
	return nil
}
