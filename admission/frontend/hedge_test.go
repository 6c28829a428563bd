package frontend

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cactustray/admission"
	"cactustray/control"
	"cactustray/hedging"

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
		h := hold(hedging.Second, c.opened, nil)
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
		go func() { done <- hold(hedging.First, responseOf(200, 8, body), alone) }()
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
