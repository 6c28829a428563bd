// Package control runs the single goroutine that owns a node's control state.
// Other goroutines access that state only by messages; what they may read without a
// message is published as an immutable snapshot.
package control

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"
)

// inboxSize bounds the messages that wait for the control goroutine.
const inboxSize = 1024

// Message is one typed message to the control goroutine.
type Message interface{}

// Handler owns the control state. Both methods are called from the control
// goroutine only and must not block.
type Handler interface {
	// Handle applies one message.
	Handle(now time.Time, message Message)
	// Tick does what is due at now, such as timeouts and periodic work. gap is
	// the time since the last tick: much more than the interval means that the
	// process was paused.
	Tick(now time.Time, gap time.Duration)
}

// Loop passes the messages of any number of goroutines to a Handler, one at a time.
type Loop struct {
	inbox    chan Message
	interval time.Duration
	busy     atomic.Int64
	contain  func(where string, f func()) bool
}

// NewLoop returns a loop that ticks at the given interval.
func NewLoop(interval time.Duration) *Loop {
	return &Loop{inbox: make(chan Message, inboxSize), interval: interval, contain: runUncontained}
}

func runUncontained(_ string, f func()) bool {
	f()
	return true
}

// ContainPanics makes the loop run the handler with contain, which gives up a message whose
// handling panics. It is called before Run.
func (l *Loop) ContainPanics(contain func(where string, f func()) bool) { l.contain = contain }

// Send puts a message into the inbox and waits while the inbox is full. If the context
// ends first, it returns context.Cause(ctx).
func (l *Loop) Send(ctx context.Context, message Message) error {
	select {
	case l.inbox <- message:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Offer puts a message into the inbox unless the inbox is full, and reports whether it
// did. Traffic goroutines use it, since they must not wait for the control goroutine.
func (l *Loop) Offer(message Message) bool {
	select {
	case l.inbox <- message:
		return true
	default:
		return false
	}
}

// Busy returns the total time that the handler has spent on messages and ticks.
func (l *Loop) Busy() time.Duration { return time.Duration(l.busy.Load()) }

// Run applies messages and ticks until the context ends.
func (l *Loop) Run(ctx context.Context, handler Handler) error {
	ticker := time.NewTicker(l.interval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-l.inbox:
			now := time.Now()
			l.contain(fmt.Sprintf("message %T", message), func() { handler.Handle(now, message) })
			l.busy.Add(int64(time.Since(now)))
		case <-ticker.C:
			now := time.Now()
			l.contain("tick", func() { handler.Tick(now, now.Sub(last)) })
			last = now
			l.busy.Add(int64(time.Since(now)))
		}
	}
}

// Call sends a message that build creates with a reply channel, and waits for the
// reply. The channel has a buffer of one, so that the control goroutine never waits
// for the receiver. If the context ends first, Call returns context.Cause(ctx).
func Call[A any](ctx context.Context, l *Loop, build func(reply chan<- A) Message) (A, error) {
	reply := make(chan A, 1)
	var zero A
	if err := l.Send(ctx, build(reply)); err != nil {
		return zero, err
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return zero, context.Cause(ctx)
	}
}

// Forward sends the messages received from a channel to a loop until the context ends.
func Forward[M any](ctx context.Context, l *Loop, messages <-chan M) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-messages:
			if err := l.Send(ctx, m); err != nil {
				return nil
			}
		}
	}
}
