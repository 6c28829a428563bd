package frontend

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"cactustray/admission"
	"cactustray/control"
	"cactustray/ticket"
	"cactustray/trace"

	oteltrace "go.opentelemetry.io/otel/trace"
)

// job is one request that this agent handles, of either kind: admission.Job or
// admission.Feed.
type job struct {
	h       *Handler
	tk      *ticket.Ticket
	out     http.ResponseWriter
	in      *http.Request
	body    *body
	request admission.Request
	// answerLost is true if an attempt lost its answer: the request may have
	// run.
	answerLost bool
}

type decisionReply = chan<- admission.Decision

// process asks for admission and carries out the decisions until the request
// has an outcome. It writes an answer to out; any other outcome is only
// returned.
func (j *job) process(ctx context.Context) result {
	decision, err := j.awaitDecision(ctx, func(reply decisionReply) control.Message {
		return admission.Arrived{Request: j.request, Reply: reply}
	})
	for {
		if err != nil {
			_ = j.h.Loop.Send(context.WithoutCancel(ctx), admission.RequestCancelled{ID: j.request.ID})
			return j.refusedResult(admission.Decision{Refusal: admission.Cancelled})
		}
		if decision.Refusal != admission.None {
			return j.refusedResult(decision)
		}
		r := j.attempt(ctx, decision)
		retryMessage := j.retryMessage(ctx, r, decision)
		if retryMessage == nil {
			j.finish(r)
			if r.outcome == notRun && j.answerLost {
				r.outcome = unknown
			}
			return r
		}
		decision, err = j.awaitDecision(ctx, retryMessage)
	}
}

// awaitDecision sends a message to the control goroutine and waits for its
// decision.
func (j *job) awaitDecision(ctx context.Context, build func(decisionReply) control.Message) (admission.Decision, error) {
	_, span := trace.Start(ctx, "agent.queue")
	defer span.End()
	return control.Call(ctx, j.h.Loop, build)
}

// refusedResult returns the result of a request that the control goroutine
// refused.
func (j *job) refusedResult(d admission.Decision) result {
	if j.answerLost {
		return result{outcome: unknown, detail: "answer lost"}
	}
	return result{outcome: notRun, detail: d.Refusal.String(), retryAfter: d.RetryAfter}
}

func (j *job) finish(r result) {
	_ = j.h.Loop.Send(context.Background(), admission.Finished{ID: j.request.ID, BackendUnreachable: r.backendUnreachable})
}

// retryMessage returns a function that builds the message that asks for another
// decision, or nil if the result is final.
func (j *job) retryMessage(ctx context.Context, r result, d admission.Decision) func(decisionReply) control.Message {
	if r.outcome == answered || r.outcome == truncated || ctx.Err() != nil || !j.body.replayable() || j.request.Reservation != 0 {
		return nil
	}
	if r.outcome == notRun && j.request.Kind == admission.Job {
		return func(reply decisionReply) control.Message {
			return admission.Returned{ID: d.ID, Attempt: d.Attempt, BackendUnreachable: r.backendUnreachable, Reply: reply}
		}
	}
	if r.outcome == unknown && j.request.Idempotent {
		j.answerLost = true
		return func(reply decisionReply) control.Message {
			return admission.RetryRequested{ID: d.ID, BackendUnreachable: r.backendUnreachable, Reply: reply}
		}
	}
	return nil
}

// attempt sends the request once, to the backend server or to a peer, as
// decided.
func (j *job) attempt(ctx context.Context, d admission.Decision) result {
	if ctx.Err() != nil {
		return result{outcome: notRun, detail: admission.DeadlinePassed.String()}
	}
	ctx, span := startSpan(ctx, d)
	defer span.End()
	if delay, ok := j.hedgeDelay(); ok {
		return j.attemptHedged(ctx, d, delay)
	}
	return j.answer(j.open(ctx, d))
}

// startSpan starts the span of an attempt.
func startSpan(ctx context.Context, d admission.Decision) (context.Context, oteltrace.Span) {
	if d.Peer == 0 {
		return trace.Start(ctx, "agent.backend")
	}
	return trace.Start(ctx, "agent.hand_over")
}

// opened is the begin of an answer, or the outcome of an attempt that got none.
type opened struct {
	response *http.Response
	failed   result
}

// open sends the request once and returns the begin of the answer.
func (j *job) open(ctx context.Context, d admission.Decision) opened {
	if d.Peer == 0 {
		return j.openBackend(ctx)
	}
	address, ok := j.h.addressOf(d.Peer)
	if !ok {
		return opened{failed: result{outcome: notRun, detail: "peer not known"}}
	}
	out := j.outboundRequest(ctx)
	out.Header.Set(reservationHeader, strconv.FormatUint(uint64(d.Reservation), 10))
	return j.openPeer(out, address)
}

// answer copies an answer to the caller.
func (j *job) answer(o opened) result {
	if o.response == nil {
		return o.failed
	}
	defer o.response.Body.Close()
	return result{outcome: copyResponse(j.out, o.response)}
}

// openBackend sends the request to the backend server once.
func (j *job) openBackend(ctx context.Context) opened {
	out := j.outboundRequest(ctx)
	trace.ToBackend(ctx, out.Header)
	out.URL.Scheme = "http"
	out.URL.Host = j.h.Backend.String()
	started := time.Now()
	response, sent, err := send(j.h.Client, out)
	if err != nil && !sent {
		return opened{failed: result{outcome: notRun, detail: "backend server not reached", backendUnreachable: ctx.Err() == nil}}
	}
	if err != nil {
		return opened{failed: result{outcome: unknown, detail: "answer of the backend server lost"}}
	}
	for _, name := range []string{OutcomeHeader, admissionHeader, delayHeader} { // set by agents only
		response.Header.Del(name)
	}
	j.reportAnswer(response, time.Since(started))
	return opened{response: response}
}

// outboundRequest returns the request to send to a backend server or to an
// agent.
func (j *job) outboundRequest(ctx context.Context) *http.Request {
	out := j.in.Clone(ctx)
	out.RequestURI = ""
	out.Body = http.NoBody
	if j.in.ContentLength != 0 {
		out.Body = j.body.reader()
	}
	removeHopByHopHeaders(out.Header)
	if j.request.Kind == admission.Job {
		left := time.Until(j.request.Deadline).Milliseconds()
		out.Header.Set(TimeoutHeader, strconv.FormatInt(max(0, left), 10))
	}
	return out
}

// openPeer forwards a request to the peer that reserved a slot for it, and returns the
// begin of the answer of the peer's backend server.
func (j *job) openPeer(out *http.Request, address netip.AddrPort) opened {
	response, failed := forward(out, j.h.Peers, address, PeerPrefix)
	if response == nil {
		return opened{failed: failed}
	}
	return checkOutcome(response)
}

// checkOutcome returns the answer of a peer's backend server, or the outcome that the peer
// reports instead of one.
func checkOutcome(response *http.Response) opened {
	failed := result{}
	switch response.Header.Get(OutcomeHeader) {
	case OutcomeNotRun:
		failed = result{outcome: notRun, detail: "refused by a peer"}
	case OutcomeUnknown:
		failed = result{outcome: unknown, detail: "answer lost beyond a peer"}
	default:
		return opened{response: response}
	}
	_ = response.Body.Close()
	return opened{failed: failed}
}

// forward sends a request to another agent, under a path prefix. If the response is nil,
// the result holds the outcome of the request.
func forward(out *http.Request, client *http.Client, address netip.AddrPort, prefix string) (*http.Response, result) {
	trace.ToAgent(out.Context(), out.Header)
	out.URL.Scheme = "https"
	out.URL.Host = address.String()
	out.URL.Path = prefix + out.URL.Path
	if out.URL.RawPath != "" {
		out.URL.RawPath = prefix + out.URL.RawPath
	}
	response, sent, err := send(client, out)
	if err != nil && !sent {
		return nil, result{outcome: notRun, detail: "peer not reached"}
	}
	if err != nil {
		return nil, result{outcome: unknown, detail: "answer of a peer lost"}
	}
	return response, result{}
}

// send sends a request once. sent is false if the request was certainly not
// sent, since there was no connection.
func send(client *http.Client, out *http.Request) (response *http.Response, sent bool, err error) {
	var connected atomic.Bool
	hooks := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	out = out.WithContext(httptrace.WithClientTrace(out.Context(), hooks))
	response, err = client.Do(out)
	return response, connected.Load(), err
}
