package agent

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cactustray/admission/frontend"
	"cactustray/admission/handover"
	"cactustray/control"
	"cactustray/control/meter"
	"cactustray/event"
	"cactustray/hedging"
	"cactustray/settings"
	"cactustray/status"
	"cactustray/steering"
	"cactustray/ticket"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
)

const (
	testService = "orders"
	// usualTime is what the agents believe requests to take, so that a second copy is
	// offered after it.
	usualTime = 20 * time.Millisecond
	// testLimit bounds the waits of a test.
	testLimit = 5 * time.Second
)

// testAgent is an agent without callers' sockets: its control goroutine, its handler and the
// server for its peers.
type testAgent struct {
	t       *testing.T
	handler *frontend.Handler
	loop    *control.Loop
	state   *state
	peers   *httptest.Server
	// requests is the number of requests that the backend server got.
	requests atomic.Int64
}

// testControl is an agent's control state that also applies functions as messages.
type testControl struct{ *state }

func (c testControl) Handle(now time.Time, message control.Message) {
	if change, ok := message.(func(*state)); ok {
		change(c.state)
		return
	}
	c.state.Handle(now, message)
}

// restartHedging replaces the state of the hedging slice by that of a process that has just
// started.
func (a *testAgent) restartHedging() {
	restarted := newHedging(a.state.settings, a.state.log, a.state.published)
	must.NoError(a.t, a.loop.Send(a.t.Context(), func(s *state) { s.hedging = restarted }))
	a.awaitTick()
}

// awaitTick waits until a tick has published what the agent knows now.
func (a *testAgent) awaitTick() {
	before := a.handler.Hedging.Load()
	a.running() // earlier messages are applied
	for a.handler.Hedging.Load() == before {
		time.Sleep(time.Millisecond)
	}
	before = a.handler.Hedging.Load()
	for a.handler.Hedging.Load() == before {
		time.Sleep(time.Millisecond)
	}
}

// newTestAgents starts one agent for each backend server, all in different failure domains.
// wrap, if not nil, is put before each agent's handler of second copies.
func newTestAgents(t *testing.T, wrap func(http.HandlerFunc) http.HandlerFunc, backends ...http.HandlerFunc) []*testAgent {
	tk := &ticket.Ticket{
		Number: 1, Service: testService, Idempotent: []string{"/drawing"},
		Limits: ticket.Limits{Slots: 1, QueueMillis: 1000},
	}
	agents := make([]*testAgent, len(backends))
	for i, answer := range backends {
		agents[i] = newTestAgent(t, string(rune('a'+i)), wrap, answer)
		tk.Endpoints = append(tk.Endpoints, ticket.Endpoint{
			Name: string(rune('a' + i)), Zone: string(rune('a' + i)), Weight: 100,
			Control: netip.MustParseAddrPort(agents[i].peers.Listener.Addr().String()),
		})
	}
	for _, a := range agents {
		a.start(tk, agents[len(agents)-1].peers.Client())
	}
	return agents
}

func newTestAgent(t *testing.T, name string, wrap func(http.HandlerFunc) http.HandlerFunc, answer http.HandlerFunc) *testAgent {
	a := &testAgent{t: t, loop: control.NewLoop(5 * time.Millisecond)}
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.requests.Add(1)
		answer(w, r)
	}))
	t.Cleanup(backend.Close)
	s := &settings.Settings{Agent: &settings.AgentSettings{
		Service: testService, Endpoint: name, HedgePercent: 5,
		Backend: netip.MustParseAddrPort(backend.Listener.Addr().String()),
	}}
	p := new(published)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	owner := steering.Owner{Endpoint: ticket.EndpointKeyOf(testService, name), Incarnation: 1}
	client := handover.NewClient(t.Context(), a.loop, http.DefaultClient)
	a.state = newState(s, owner, event.NewLog(logger, name), p, make(chan report), make(chan loadReport), client)
	a.state.usage = meter.NewUsage(new(meter.Meter), a.loop.Busy)
	a.handler = newHandler(s, a.loop, p, nil)
	serve := http.HandlerFunc(a.handler.ServeCopy)
	if wrap != nil {
		serve = wrap(serve)
	}
	a.peers = httptest.NewUnstartedServer(serve)
	a.peers.EnableHTTP2 = true
	a.peers.StartTLS()
	t.Cleanup(a.peers.Close)
	return a
}

// start starts the control goroutine of an agent that has answered 200 requests before.
func (a *testAgent) start(tk *ticket.Ticket, peers *http.Client) {
	now := time.Now()
	a.handler.Peers = peers
	a.state.published.ticket.Store(tk)
	a.state.published.agents.Store(a.state.admission.setTicket(now, tk))
	for range 200 {
		a.state.Handle(now, hedging.Answered{Class: "GET /drawing", Took: usualTime})
	}
	a.state.publishHedging(now)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = a.loop.Run(ctx, testControl{a.state})
	}()
	a.t.Cleanup(func() {
		cancel()
		<-done
	})
}

// get sends a request of a caller and returns its answer.
func (a *testAgent) get(method, target, key, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	r.ContentLength = -1 // as in a request over HTTP/3 without the header
	r.Header.Set(frontend.TimeoutHeader, "1000")
	if key != "" {
		r.Header.Set(frontend.KeyHeader, key)
	}
	w := httptest.NewRecorder()
	a.handler.ServeHTTP(w, r)
	return w
}

// running returns the number of requests on the agent's slots.
func (a *testAgent) running() int64 {
	report, err := control.Call(a.t.Context(), a.loop, func(reply chan<- status.Report) control.Message {
		return status.ReportRequested{Reply: reply}
	})
	must.NoError(a.t, err)
	return report.Load.Requests
}

// awaitIdle waits until no request holds a slot of the agent.
func (a *testAgent) awaitIdle() {
	for deadline := time.Now().Add(testLimit); a.running() > 0; time.Sleep(time.Millisecond) {
		must.True(a.t, time.Now().Before(deadline), must.Sprint("a slot is not freed"))
	}
}

func answerWith(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }
}

// after answers as next does, after a time, unless the request is cancelled before.
func after(d time.Duration, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(d):
			next(w, r)
		case <-r.Context().Done():
		}
	}
}

// breakOff sends the half of an answer and closes the connection.
func breakOff(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "half")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func refuse(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "full", http.StatusServiceUnavailable)
}

// The caller of a request whose first copy hangs gets the answer of the second one, and the
// first is cancelled and its slot freed.
func TestSecondCopyWins(t *testing.T) {
	agents := newTestAgents(t, nil, after(time.Minute, answerWith("first")), answerWith("second"))
	w := agents[0].get(http.MethodGet, "/drawing", "", "")
	must.EqOp(t, http.StatusOK, w.Code)
	must.EqOp(t, "second", w.Body.String())
	must.EqOp(t, "b", w.Header().Get(frontend.EndpointHeader))
	must.EqOp(t, "", w.Header().Get("Cactustray-Copy"))
	must.EqOp(t, 1, agents[0].handler.Copies.Won.Load())
	agents[0].awaitIdle()
	agents[1].awaitIdle()
}

// A first copy that answers before the second cancels it, and the second one's slot is
// freed.
func TestSecondCopyIsCancelled(t *testing.T) {
	cancelled := make(chan struct{})
	second := func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
	}
	agents := newTestAgents(t, nil, after(100*time.Millisecond, answerWith("first")), second)
	w := agents[0].get(http.MethodGet, "/drawing", "", "")
	must.EqOp(t, "first", w.Body.String())
	<-cancelled
	agents[1].awaitIdle()
	must.EqOp(t, 0, agents[0].handler.Copies.Won.Load())
	must.EqOp(t, 0, agents[0].handler.Copies.CancelledLate.Load())
}

// A request that may run once at most, has a key, is answered in time, or has no budget gets
// no second copy.
func TestNoSecondCopy(t *testing.T) {
	slow := after(60*time.Millisecond, answerWith("first"))
	cases := []struct {
		name, method, key, body string
		first                   http.HandlerFunc
	}{
		{name: "runs once at most", method: http.MethodPost, first: slow},
		{name: "idempotent, with a key", method: http.MethodGet, key: "truck-17", first: slow},
		{name: "body too long", method: http.MethodPut, body: strings.Repeat("x", 65<<10), first: slow},
		{name: "answered in time", method: http.MethodGet, first: answerWith("first")},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			agents := newTestAgents(t, nil, c.first, answerWith("second"))
			target := "/order"
			if c.method != http.MethodPost {
				target = "/drawing"
			}
			for _, class := range []hedging.Class{"POST /order", "PUT /drawing"} {
				for range 200 {
					must.NoError(t, agents[0].loop.Send(t.Context(), hedging.Answered{Class: class, Took: usualTime}))
				}
			}
			agents[0].awaitTick()
			w := agents[0].get(c.method, target, c.key, c.body)
			must.EqOp(t, "first", w.Body.String())
			must.EqOp(t, 0, agents[0].handler.Copies.Offered.Load())
			must.EqOp(t, 0, agents[1].requests.Load())
		})
	}
}

// The second copy has the whole body, also if its length was not known.
func TestSecondCopyHasTheBody(t *testing.T) {
	echo := func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }
	hang := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server notices cancellations after that
		<-r.Context().Done()
	}
	agents := newTestAgents(t, nil, hang, echo)
	for range 200 {
		must.NoError(t, agents[0].loop.Send(t.Context(), hedging.Answered{Class: "PUT /drawing", Took: usualTime}))
		must.NoError(t, agents[1].loop.Send(t.Context(), hedging.Answered{Class: "PUT /drawing", Took: usualTime}))
	}
	agents[0].awaitTick()
	body := strings.Repeat("panels", 9<<10)
	w := agents[0].get(http.MethodPut, "/drawing", "", body)
	must.EqOp(t, body, w.Body.String())
	must.EqOp(t, "b", w.Header().Get(frontend.EndpointHeader))
}

// A peer without a free slot refuses the copy at once; the caller gets the first copy's
// answer.
func TestPeerWithoutFreeSlotRefusesCopy(t *testing.T) {
	agents := newTestAgents(t, nil, after(100*time.Millisecond, answerWith("first")), after(150*time.Millisecond, answerWith("busy")))
	done := make(chan struct{})
	go func() {
		defer close(done)
		agents[1].get(http.MethodPost, "/order", "", "")
	}()
	for agents[1].running() == 0 {
		time.Sleep(time.Millisecond)
	}
	w := agents[0].get(http.MethodGet, "/drawing", "", "")
	must.EqOp(t, "first", w.Body.String())
	must.EqOp(t, 1, agents[0].handler.Copies.Offered.Load())
	must.EqOp(t, 1, agents[1].requests.Load())
	<-done
}

// Failure: the second endpoint dies while the copy runs.
func TestSecondEndpointDies(t *testing.T) {
	var agents []*testAgent
	die := func(_ http.ResponseWriter, r *http.Request) {
		agents[1].peers.CloseClientConnections()
		<-r.Context().Done()
	}
	agents = newTestAgents(t, nil, after(150*time.Millisecond, answerWith("first")), die)
	w := agents[0].get(http.MethodGet, "/drawing", "", "")
	must.EqOp(t, http.StatusOK, w.Code)
	must.EqOp(t, "first", w.Body.String())
	must.EqOp(t, 1, agents[1].requests.Load())
	agents[1].awaitIdle()
}

// Failure: the cancellation of the second copy is lost. The caller still gets one answer,
// and the copy ends with its deadline at the latest.
func TestCancellationIsLost(t *testing.T) {
	lose := func(next http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			next(w, r.WithContext(context.WithoutCancel(r.Context())))
		}
	}
	agents := newTestAgents(t, lose, after(100*time.Millisecond, answerWith("first")), after(time.Minute, answerWith("second")))
	began := time.Now()
	w := agents[0].get(http.MethodGet, "/drawing", "", "")
	must.EqOp(t, "first", w.Body.String())
	must.EqOp(t, 1, agents[1].running())
	agents[1].awaitIdle()
	must.Between(t, 900*time.Millisecond, time.Since(began), 2*time.Second)
}

// Failure: the process that holds the budget restarts. Its new state admits no copy, and the
// caller gets the first copy's answer.
func TestRestartedPeerRefusesCopy(t *testing.T) {
	agents := newTestAgents(t, nil, after(100*time.Millisecond, answerWith("first")), answerWith("second"))
	agents[1].restartHedging()
	w := agents[0].get(http.MethodGet, "/drawing", "", "")
	must.EqOp(t, "first", w.Body.String())
	must.EqOp(t, 1, agents[0].handler.Copies.Offered.Load())
	must.EqOp(t, 0, agents[1].requests.Load())
}

// Failure: the sketch is empty after a start. No copy is offered.
func TestNoCopyAfterStart(t *testing.T) {
	agents := newTestAgents(t, nil, after(100*time.Millisecond, answerWith("first")), answerWith("second"))
	agents[0].restartHedging()
	w := agents[0].get(http.MethodGet, "/drawing", "", "")
	must.EqOp(t, "first", w.Body.String())
	must.EqOp(t, 0, agents[0].handler.Copies.Offered.Load())
}

// Failure: an endpoint answers both copies quickly with refusals. The caller gets one of
// them, and no further copy is sent; quick refusals don't lower the delay.
func TestBothCopiesAreRefused(t *testing.T) {
	agents := newTestAgents(t, nil, after(60*time.Millisecond, refuse), refuse)
	w := agents[0].get(http.MethodGet, "/drawing", "", "")
	must.EqOp(t, http.StatusServiceUnavailable, w.Code)
	must.EqOp(t, "full\n", w.Body.String())
	must.EqOp(t, "", w.Header().Get(frontend.OutcomeHeader))
	must.EqOp(t, 1, agents[0].requests.Load())
	must.EqOp(t, 1, agents[1].requests.Load())
	for range 300 {
		agents[1].get(http.MethodGet, "/drawing", "", "")
	}
	agents[1].awaitTick()
	delay, ok := agents[1].handler.Hedging.Load().Delay("GET /drawing", time.Second)
	must.True(t, ok)
	must.EqOp(t, usualTime, delay)
}

// Failure: a copy whose answer began first breaks off halfway. The caller gets the whole
// answer of the other copy and nothing of the broken one.
func TestWinnerBreaksOffHalfway(t *testing.T) {
	agents := newTestAgents(t, nil, after(120*time.Millisecond, answerWith("first")), breakOff)
	w := agents[0].get(http.MethodGet, "/drawing", "", "")
	must.EqOp(t, http.StatusOK, w.Code)
	must.EqOp(t, "first", w.Body.String())
	agents[0].awaitIdle()
	agents[1].awaitIdle()

	agents = newTestAgents(t, nil, after(60*time.Millisecond, breakOff), after(120*time.Millisecond, answerWith("second")))
	w = agents[0].get(http.MethodGet, "/drawing", "", "")
	must.EqOp(t, http.StatusOK, w.Code)
	must.EqOp(t, "second", w.Body.String())
	agents[0].awaitIdle()
}

// A long answer wins against a refusal and arrives complete.
func TestLongAnswerWinsAgainstRefusal(t *testing.T) {
	long := strings.Repeat("x", 300<<10)
	agents := newTestAgents(t, nil, after(150*time.Millisecond, refuse), answerWith(long))
	w := agents[0].get(http.MethodGet, "/drawing", "", "")
	must.EqOp(t, http.StatusOK, w.Code)
	must.EqOp(t, len(long), w.Body.Len())
	agents[1].awaitIdle()
}

// An answer longer than what is held back does not wait for the other copy, which may hang
// until the deadline, and arrives complete.
func TestLongAnswerDoesNotWaitForTheOtherCopy(t *testing.T) {
	long := strings.Repeat("x", 300<<10)
	hang := after(time.Minute, answerWith("late"))
	for _, backends := range [][]http.HandlerFunc{
		{after(60*time.Millisecond, answerWith(long)), hang},
		{hang, answerWith(long)},
	} {
		agents := newTestAgents(t, nil, backends...)
		began := time.Now()
		w := agents[0].get(http.MethodGet, "/drawing", "", "")
		must.Less(t, 900*time.Millisecond, time.Since(began)) // the deadline is 1 s
		must.EqOp(t, http.StatusOK, w.Code)
		must.EqOp(t, len(long), w.Body.Len())
		agents[0].awaitIdle()
		agents[1].awaitIdle()
	}
}

// firstWrite is a response writer that tells when the first bytes of the body were written.
type firstWrite struct {
	*httptest.ResponseRecorder
	wrote chan struct{}
	once  sync.Once
}

func (w *firstWrite) Write(b []byte) (int, error) {
	w.once.Do(func() { close(w.wrote) })
	return w.ResponseRecorder.Write(b)
}

// An answer that is written slowly streams to its caller once the second copy has been
// refused; it is not held back until it is complete.
func TestSlowAnswerStreamsAfterRefusalOfTheSecondCopy(t *testing.T) {
	streaming := make(chan struct{})
	slowly := after(60*time.Millisecond, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		select {
		case <-streaming:
			_, _ = io.WriteString(w, "rest")
		case <-r.Context().Done():
		}
	})
	lateRefusal := func(http.HandlerFunc) http.HandlerFunc {
		return after(150*time.Millisecond, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Cactustray-Copy", hedging.NoRoom.String())
		})
	}
	agents := newTestAgents(t, lateRefusal, slowly, answerWith("second"))
	r := httptest.NewRequest(http.MethodGet, "/drawing", http.NoBody)
	r.Header.Set(frontend.TimeoutHeader, "1000")
	w := &firstWrite{ResponseRecorder: httptest.NewRecorder(), wrote: streaming}
	agents[0].handler.ServeHTTP(w, r) // aborts if nothing arrives before the deadline
	must.EqOp(t, "halfrest", w.Body.String())
	must.EqOp(t, 1, agents[0].handler.Copies.Offered.Load())
}
