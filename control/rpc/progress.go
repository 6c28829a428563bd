package rpc

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// NoProgressError reports a call that was given up since nothing arrived for too long.
type NoProgressError struct{ After time.Duration }

func (e *NoProgressError) Error() string { return fmt.Sprintf("nothing arrived for %v", e.After) }

// ProgressTransport limits how long a call may go without progress, not how long it takes:
// a long response over a slow link is read to its end, and a server or connection that
// stops responding costs one timeout.
type ProgressTransport struct {
	Base http.RoundTripper
	// Timeout is how long nothing may arrive, Limit how long a call may take in all.
	Timeout time.Duration
	Limit   time.Duration
}

// waitKey is the context key of the time that the server may wait before it responds.
type waitKey struct{}

// WithWait returns a context for a call to which the server responds only after up to the
// given time. The transport adds it to its timeout for the begin of the response.
func WithWait(ctx context.Context, wait time.Duration) context.Context {
	return context.WithValue(ctx, waitKey{}, wait)
}

// RoundTrip carries out a call. Reading a response that stops arriving fails with
// *NoProgressError.
func (t *ProgressTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	wait, _ := request.Context().Value(waitKey{}).(time.Duration)
	ctx, cancel := context.WithCancelCause(request.Context())
	stalled := time.AfterFunc(t.Timeout+wait, func() { cancel(&NoProgressError{After: t.Timeout}) })
	limit := time.AfterFunc(t.Limit+wait, func() { cancel(&NoProgressError{After: t.Limit}) })
	release := func() {
		stalled.Stop()
		limit.Stop()
		cancel(nil)
	}
	response, err := t.Base.RoundTrip(request.WithContext(ctx))
	if err != nil {
		release()
		return nil, causeOf(ctx, err)
	}
	stalled.Reset(t.Timeout)
	response.Body = &progressBody{ReadCloser: response.Body, ctx: ctx, stalled: stalled, timeout: t.Timeout, release: release}
	return response, nil
}

// causeOf returns the reason for which the call was cancelled, or err if it was not.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// progressBody restarts the timeout with each part of the response that arrives.
type progressBody struct {
	io.ReadCloser
	ctx     context.Context
	stalled *time.Timer
	timeout time.Duration
	release func()
}

func (b *progressBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.stalled.Reset(b.timeout)
	}
	if err != nil && err != io.EOF {
		err = causeOf(b.ctx, err)
	}
	return n, err
}

func (b *progressBody) Close() error {
	err := b.ReadCloser.Close()
	b.release()
	return err
}
