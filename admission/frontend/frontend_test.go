package frontend

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cactustray/admission"
	"cactustray/control"
	"cactustray/ticket"

	"github.com/shoenig/test/must"
)

// dispatchAll is a control state that dispatches every request at once and
// permits no retry.
type dispatchAll struct{ finished atomic.Int64 }

func (d *dispatchAll) Handle(_ time.Time, message control.Message) {
	switch m := message.(type) {
	case admission.Arrived:
		m.Reply <- admission.Decision{ID: m.ID}
	case admission.RetryRequested:
		m.Reply <- admission.Decision{ID: m.ID, Refusal: admission.NoRetry}
	case admission.Returned:
		m.Reply <- admission.Decision{ID: m.ID, Refusal: admission.DeadlinePassed}
	case admission.Claimed:
		m.Reply <- admission.Claim{Verdict: admission.Run}
	case admission.Finished:
		d.finished.Add(1)
	}
}

func (d *dispatchAll) Tick(time.Time, time.Duration) {}

func newTestHandler(t *testing.T, backend string) (*Handler, *dispatchAll) {
	d := new(dispatchAll)
	loop := control.NewLoop(time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = loop.Run(ctx, d)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	tk := &ticket.Ticket{
		Number:     1,
		Service:    "orders",
		Endpoints:  []ticket.Endpoint{{Name: "orders-1"}},
		Feeds:      []string{"/feed"},
		Idempotent: []string{"/drawing"},
	}
	h := &Handler{
		Loop:     loop,
		Ticket:   new(atomic.Pointer[ticket.Ticket]),
		Agents:   new(atomic.Pointer[Addresses]),
		Departed: new(atomic.Pointer[[]ticket.EndpointKey]),
		InFlight: new(atomic.Int64),
		Backend:  netip.MustParseAddrPort(backend),
		Endpoint: "orders-1",
		Client:   NewBackendClient(),
	}
	h.Ticket.Store(tk)
	return h, d
}

// startClosingServer starts a server that answers the first request of each
// connection and closes the connection when the second one arrives, as a
// backend server does whose idle connections time out. read counts the requests
// with the path /confirm that it has read.
func startClosingServer(t *testing.T) (address string, read *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	read = new(atomic.Int64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerFirstRequest(conn, read)
		}
	}()
	return listener.Addr().String(), read
}

func answerFirstRequest(conn net.Conn, read *atomic.Int64) {
	defer conn.Close()
	buffer := make([]byte, 1<<16)
	for answered := false; ; answered = true {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		if strings.Contains(string(buffer[:n]), "/confirm") {
			read.Add(1)
		}
		if answered {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func serveRequest(h *Handler, method, target, key string, body io.Reader) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, target, body)
	if key != "" {
		r.Header.Set(KeyHeader, key)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// net/http resends a request with an Idempotency-Key and no body if a reused
// connection breaks. Such a request must reach the backend server only once.
func TestKeyedRequestIsSentToBackendOnce(t *testing.T) {
	address, read := startClosingServer(t)
	h, _ := newTestHandler(t, address)
	must.EqOp(t, http.StatusOK, serveRequest(h, http.MethodGet, "/drawing", "", nil).Code)
	serveRequest(h, http.MethodPost, "/confirm", "truck-17", nil)
	must.EqOp(t, 1, read.Load())
}

// If the backend server's answer is truncated, the caller's stream is aborted,
// so that the caller notices, and the slot is freed.
func TestTruncatedAnswerAbortsStreamAndFreesSlot(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
	}))
	t.Cleanup(server.Close)
	h, d := newTestHandler(t, server.Listener.Addr().String())
	must.Panic(t, func() { serveRequest(h, http.MethodGet, "/drawing", "", nil) })
	for d.finished.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
}

// A request is reported as not run if no connection to the backend server could
// be opened, and as unknown if the connection broke before the answer.
func TestOutcomeIsNotRunOnlyWhenBackendWasNotReached(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	closedAddress := listener.Addr().String()
	must.NoError(t, listener.Close())
	h, _ := newTestHandler(t, closedAddress)
	w := serveRequest(h, http.MethodPost, "/confirm", "", nil)
	must.EqOp(t, http.StatusServiceUnavailable, w.Code)
	must.EqOp(t, OutcomeNotRun, w.Header().Get(OutcomeHeader))

	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	t.Cleanup(server.Close)
	h, _ = newTestHandler(t, server.Listener.Addr().String())
	w = serveRequest(h, http.MethodPost, "/confirm", "", strings.NewReader("panels"))
	must.EqOp(t, http.StatusGatewayTimeout, w.Code)
	must.EqOp(t, OutcomeUnknown, w.Header().Get(OutcomeHeader))
}

// The backend server receives the deadline in a header, and the connection is
// closed when the deadline passes.
func TestDeadlineAndCancellationReachTheBackendServer(t *testing.T) {
	ended := make(chan struct{})
	timeout := make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		timeout <- r.Header.Get(TimeoutHeader)
		<-r.Context().Done()
		close(ended)
	}))
	t.Cleanup(server.Close)
	h, _ := newTestHandler(t, server.Listener.Addr().String())
	r := httptest.NewRequest(http.MethodGet, "/drawing", nil)
	r.Header.Set(TimeoutHeader, "200")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	must.EqOp(t, OutcomeUnknown, w.Header().Get(OutcomeHeader))
	must.NotEq(t, "", <-timeout)
	<-ended
}

// A body can be sent again as long as no more than replayLimit bytes of it have
// been read, and a reader that was closed early takes no bytes from the next
// one.
func TestBodyIsReplayableUpToLimit(t *testing.T) {
	b := newBody(strings.NewReader("panels"))
	first := b.reader()
	_, err := io.ReadFull(first, make([]byte, 3))
	must.NoError(t, err)
	must.NoError(t, first.Close())
	whole, err := io.ReadAll(b.reader())
	must.NoError(t, err)
	must.EqOp(t, "panels", string(whole))
	must.True(t, b.replayable())

	long := newBody(strings.NewReader(strings.Repeat("x", replayLimit+1)))
	_, err = io.Copy(io.Discard, long.reader())
	must.NoError(t, err)
	must.False(t, long.replayable())
}
