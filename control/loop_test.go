package control

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"
)

type add struct {
	amount int
	reply  chan<- int
}

// adder is a handler without synchronization: the race detector reports it if more
// than one goroutine uses its state.
type adder struct {
	sum   int
	ticks int
}

func (a *adder) Handle(_ time.Time, message Message) {
	m := message.(add)
	a.sum += m.amount
	m.reply <- a.sum
}

func (a *adder) Tick(time.Time, time.Duration) { a.ticks++ }

// Messages of many goroutines are each applied exactly once, one at a time.
func TestMessagesAreAppliedOnceAndSerially(t *testing.T) {
	const senders, each = 8, 50
	ctx, cancel := context.WithCancel(context.Background())
	loop := NewLoop(time.Millisecond)
	state := new(adder)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = loop.Run(ctx, state)
	}()
	var group errgroup.Group
	for range senders {
		group.Go(func() error {
			for range each {
				if _, err := Call(ctx, loop, func(reply chan<- int) Message { return add{amount: 1, reply: reply} }); err != nil {
					return err
				}
			}
			return nil
		})
	}
	must.NoError(t, group.Wait())
	cancel()
	<-ended
	must.EqOp(t, senders*each, state.sum)
}

// Offer returns false if the inbox is full, so that traffic goroutines never wait.
func TestOfferDoesNotBlock(t *testing.T) {
	loop := NewLoop(time.Hour)
	for range inboxSize {
		must.True(t, loop.Offer(add{}))
	}
	must.False(t, loop.Offer(add{}))
}

// Call returns the context's error if the context has ended, rather than wait for a
// reply that nobody sends.
func TestCallReturnsContextError(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := Call(ctx, NewLoop(time.Hour), func(reply chan<- int) Message { return add{reply: reply} })
	must.ErrorIs(t, err, context.Canceled)
}
