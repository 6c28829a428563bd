package frontend

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cactustray/admission"
	"cactustray/control"
	"cactustray/hedging"
	"cactustray/ticket"

	"github.com/shoenig/test/must"
)

// endedContext is a context that has ended once ended is set, although Done has not told so
// yet: the moment at which a decision arrives just before the deadline.
type endedContext struct {
	context.Context
	ended *atomic.Bool
}

func (c endedContext) Err() error {
	if c.ended.Load() {
		return context.DeadlineExceeded
	}
	return nil
}

// endOnRetry permits a retry, and the request's time ends at that moment.
type endOnRetry struct{ ended *atomic.Bool }

func (e endOnRetry) Handle(_ time.Time, message control.Message) {
	switch m := message.(type) {
	case admission.Arrived:
		m.Reply <- admission.Decision{ID: m.ID}
	case admission.RetryRequested:
		e.ended.Store(true)
		m.Reply <- admission.Decision{ID: m.ID}
	}
}

func (endOnRetry) Tick(time.Time, time.Duration) {}

// A request that lost the answer of its first attempt may have run, also if its time ends
// before the second attempt is sent: it must not be reported as not run.
func TestRequestWithLostAnswerIsNotReportedAsNotRun(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	t.Cleanup(backend.Close)
	h, _ := newTestHandler(t, backend.Listener.Addr().String())
	h.Loop = control.NewLoop(time.Second)
	ended := new(atomic.Bool)
	running, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() { _ = h.Loop.Run(running, endOnRetry{ended}) }()
	j := h.newJob(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/drawing", http.NoBody), h.Ticket.Load())
	j.request.Idempotent = true
	j.body = newBody(http.NoBody)
	must.EqOp(t, unknown, j.process(endedContext{context.Background(), ended}).outcome)
}

func responseOf(status int, length int64, body io.Reader) opened {
	return opened{response: &http.Response{
		StatusCode: status, ProtoMajor: 1, ContentLength: length, Header: make(http.Header), Body: io.NopCloser(body),
	}}
}

// An answer counts as whole only if its end shows that it is complete; what was read to find
// out is not lost.
func TestHoldTellsWholeAnswersFromOthers(t *testing.T) {
	long := strings.Repeat("x", heldSize+1)
	cases := []struct {
		opened opened
		ending hedging.Ending
		body   string
	}{
		{responseOf(200, 4, strings.NewReader("good")), hedging.Whole, "good"},
		{responseOf(404, 4, strings.NewReader("none")), hedging.Whole, "none"},
		{responseOf(503, 4, strings.NewReader("full")), hedging.Refused, "full"},
		{responseOf(429, 4, strings.NewReader("busy")), hedging.Refused, "busy"},
		{responseOf(200, -1, strings.NewReader("half")), hedging.Lost, ""},
		{responseOf(200, int64(len(long)), strings.NewReader(long)), hedging.Long, long},
		{responseOf(503, int64(len(long)), strings.NewReader(long)), hedging.Refused, long},
		{responseOf(200, 9, io.MultiReader(strings.NewReader("half"), brokenReader{})), hedging.Lost, ""},
		{opened{failed: result{outcome: notRun}}, hedging.NotRun, ""},
		{opened{failed: result{outcome: unknown}}, hedging.Lost, ""},
	}
	for i, c := range cases {
		h := new(Handler).hold(hedging.Second, c.opened, nil)
		must.EqOp(t, c.ending, h.ending, must.Sprint(i))
		if h.response == nil {
			must.EqOp(t, "", c.body)
			continue
		}
		body, err := io.ReadAll(h.response.Body)
		must.NoError(t, err)
		must.EqOp(t, c.body, string(body))
	}
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// An answer is no longer held back once the other copy has ended without one, also while a
// read of it waits, and nothing of it is lost.
func TestHoldStopsWhenTheOtherCopyHasFailed(t *testing.T) {
	for _, end := range []error{nil, io.ErrUnexpectedEOF} {
		body, out := io.Pipe()
		alone := make(chan struct{})
		done := make(chan held)
		go func() { done <- new(Handler).hold(hedging.First, responseOf(200, 8, body), alone) }()
		_, _ = io.WriteString(out, "half")
		close(alone)
		h := <-done
		must.EqOp(t, hedging.Long, h.ending)
		go func() {
			_, _ = io.WriteString(out, "rest")
			_ = out.CloseWithError(end)
		}()
		read, err := io.ReadAll(h.response.Body)
		must.EqOp(t, end, err)
		must.EqOp(t, "halfrest", string(read))
	}
}

// recordMessages keeps the messages of traffic goroutines; it refuses retries.
type recordMessages struct{ messages chan control.Message }

func (r recordMessages) Handle(_ time.Time, message control.Message) {
	r.messages <- message
	switch m := message.(type) {
	case admission.Arrived:
		m.Reply <- admission.Decision{ID: m.ID}
	case admission.RetryRequested:
		m.Reply <- admission.Decision{ID: m.ID, Refusal: admission.NoRetry}
	case admission.Returned:
		m.Reply <- admission.Decision{ID: m.ID, Refusal: admission.DeadlinePassed}
	}
}

func (recordMessages) Tick(time.Time, time.Duration) {}

// hangFirst is a transport to a backend server that is found to be unreachable after a time.
type hangFirst struct{ after time.Duration }

func (h hangFirst) RoundTrip(*http.Request) (*http.Response, error) {
	time.Sleep(h.after)
	return nil, io.ErrUnexpectedEOF
}

// newHedgedJob returns a job that is offered to a peer after 1 ms, whose backend server is
// found to be unreachable after a time, and the messages that the control goroutine gets.
func newHedgedJob(t *testing.T, unreachableAfter time.Duration, peer http.HandlerFunc) (*job, chan control.Message) {
	server := httptest.NewTLSServer(peer)
	t.Cleanup(server.Close)
	h, _ := newTestHandler(t, "127.0.0.1:1")
	h.Client, h.Peers = &http.Client{Transport: hangFirst{unreachableAfter}}, server.Client()
	key := ticket.EndpointKeyOf("orders", "orders-2")
	h.Agents.Store(&Addresses{key: netip.MustParseAddrPort(server.Listener.Addr().String())})
	state := hedging.NewState(hedging.Settings{Percent: 5})
	state.SetPeers([]hedging.Peer{{Key: key}})
	now := time.Now()
	for range 100 {
		state.Answered(now, hedging.Answered{Class: "GET /drawing", Took: time.Millisecond})
	}
	h.Hedging = new(atomic.Pointer[hedging.Snapshot])
	h.Hedging.Store(state.Snapshot(now))
	messages := make(chan control.Message, 10)
	h.Loop = control.NewLoop(time.Second)
	go func() { _ = h.Loop.Run(t.Context(), recordMessages{messages}) }()
	j := h.newJob(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/drawing", http.NoBody), h.Ticket.Load())
	j.request.Idempotent = true
	j.body = newBody(http.NoBody)
	return j, messages
}

// awaitMessage returns the next message of type M.
func awaitMessage[M control.Message](t *testing.T, messages chan control.Message) M {
	limit := time.After(5 * time.Second)
	for {
		select {
		case message := <-messages:
			if m, ok := message.(M); ok {
				return m
			}
		case <-limit:
			t.Fatal("no such message")
		}
	}
}

// loseAnswer admits a second copy and loses its answer.
func loseAnswer(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(admissionHeader, hedging.Admitted.String())
	w.Header().Set(OutcomeHeader, OutcomeUnknown)
}

// A request whose first copy has not run, but whose second may have, is only retried within
// the retry budget, in whatever order they end; the backend server counts as unreachable.
func TestRequestWithLostSecondCopyNeedsRetryBudget(t *testing.T) {
	secondLast := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(100 * time.Millisecond)
		loseAnswer(w, r)
	}
	for _, peer := range []http.HandlerFunc{loseAnswer, secondLast} {
		j, messages := newHedgedJob(t, 50*time.Millisecond, peer)
		must.EqOp(t, unknown, j.process(t.Context()).outcome)
		must.True(t, awaitMessage[admission.RetryRequested](t, messages).BackendUnreachable)
	}
}

// The backend server counts as unreachable also if the second copy was answered.
func TestUnreachableBackendIsReportedWhenSecondCopyWins(t *testing.T) {
	j, messages := newHedgedJob(t, 50*time.Millisecond, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(100 * time.Millisecond)
		w.Header().Set(admissionHeader, hedging.Admitted.String())
	})
	must.EqOp(t, answered, j.process(t.Context()).outcome)
	must.True(t, awaitMessage[admission.Finished](t, messages).BackendUnreachable)
}

// Callers cannot make the names of classes, which are kept, arbitrarily long.
func TestClassNamesAreBounded(t *testing.T) {
	r := httptest.NewRequest(http.MethodGet, "/"+strings.Repeat("x", 10*maxSegment)+"/7", http.NoBody)
	must.EqOp(t, hedging.Class("GET /"+strings.Repeat("x", maxSegment)), classOf(r))
}

// panicking is a transport, and an answer's body, that panics.
type panicking struct{}

func (panicking) RoundTrip(*http.Request) (*http.Response, error) { panic("transport") }
func (panicking) Read([]byte) (int, error)                        { panic("body") }

// containPanics stands for the Contain of the agent's log.
func containPanics(_ string, f func()) (returned bool) {
	defer func() { _ = recover() }()
	f()
	return true
}

// A panic in a copy's goroutine ends that copy as lost, not the process.
func TestPanicEndsCopyAsLost(t *testing.T) {
	admit := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(admissionHeader, hedging.Admitted.String())
	}
	j, _ := newHedgedJob(t, 50*time.Millisecond, admit)
	j.h.Contain, j.h.Peers = containPanics, &http.Client{Transport: panicking{}}
	must.EqOp(t, unknown, j.process(t.Context()).outcome)
	j, _ = newHedgedJob(t, 0, admit)
	j.h.Contain, j.h.Client = containPanics, &http.Client{Transport: panicking{}}
	must.EqOp(t, unknown, j.process(t.Context()).outcome)
	h := &Handler{Contain: containPanics}
	must.EqOp(t, hedging.Lost, h.hold(hedging.First, responseOf(200, 4, panicking{}), nil).ending)
}
