// Package frontend is the traffic side of the admission slice: it takes HTTP
// requests, asks for admission and runs them on the backend server.
package frontend

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"cactustray/admission"
	"cactustray/control"
	"cactustray/ticket"
)

const (
	// OutcomeHeader tells callers what became of a request that has no
	// answer of the backend server.
	OutcomeHeader = "Cactustray-Outcome"
	// OutcomeNotRun: the request never reached the backend server.
	OutcomeNotRun = "not-run"
	// OutcomeUnknown: the request may have run.
	OutcomeUnknown = "unknown"
	// EndpointHeader names the endpoint that answered.
	EndpointHeader = "Cactustray-Endpoint"
	// TimeoutHeader is the caller's deadline in milliseconds from now.
	TimeoutHeader = "Request-Timeout-Ms"
	// defaultTimeout bounds a job whose caller named no deadline.
	defaultTimeout = 30 * time.Second
	copySize       = 32 << 10
)

// Handler serves callers' requests.
type Handler struct {
	Loop     *control.Loop
	Ticket   *atomic.Pointer[ticket.Ticket]
	Backend  netip.AddrPort
	Endpoint string
	Client   *http.Client

	nextID atomic.Uint64
}

// NewBackendClient returns a client whose requests run exactly as often as
// they are sent: it follows no redirect, and every body is sent once.
func NewBackendClient() *http.Client {
	return &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// ServeHTTP admits one request and runs it.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(EndpointHeader, h.Endpoint)
	tk := h.Ticket.Load()
	if tk == nil {
		writeOutcome(w, http.StatusServiceUnavailable, OutcomeNotRun, "no ticket in force yet")
		return
	}
	request := admission.Request{ID: admission.RequestID(h.nextID.Add(1)), Kind: admission.Job}
	ctx, cancel := h.deadline(r, tk, &request)
	defer cancel()
	decision, err := h.admit(ctx, request)
	if err != nil {
		_ = h.Loop.Send(context.Background(), admission.Gone{ID: request.ID})
		writeOutcome(w, http.StatusServiceUnavailable, OutcomeNotRun, admission.Cancelled.String())
		return
	}
	if decision.Refusal != admission.None {
		writeOutcome(w, http.StatusServiceUnavailable, OutcomeNotRun, decision.Refusal.String())
		return
	}
	defer h.finish(request.ID)
	h.run(ctx, w, r)
}

func (h *Handler) deadline(r *http.Request, tk *ticket.Ticket, request *admission.Request) (context.Context, context.CancelFunc) {
	if tk.IsFeed(r.URL.Path) {
		request.Kind = admission.Feed
		return context.WithCancel(r.Context())
	}
	timeout := defaultTimeout
	if millis, err := strconv.ParseUint(r.Header.Get(TimeoutHeader), 10, 31); err == nil {
		timeout = time.Duration(millis) * time.Millisecond
	}
	request.Deadline = time.Now().Add(timeout)
	return context.WithDeadline(r.Context(), request.Deadline)
}

func (h *Handler) admit(ctx context.Context, request admission.Request) (admission.Decision, error) {
	return control.Ask(ctx, h.Loop, func(reply chan<- admission.Decision) control.Message {
		return admission.Arrived{Request: request, Reply: reply}
	})
}

func (h *Handler) finish(id admission.RequestID) {
	_ = h.Loop.Send(context.Background(), admission.Finished{ID: id})
}

// run sends the request to the backend server once and copies the answer.
func (h *Handler) run(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	out := r.Clone(ctx)
	out.RequestURI = ""
	out.URL.Scheme = "http"
	out.URL.Host = h.Backend.String()
	response, err := h.Client.Do(out)
	if err != nil {
		writeFailure(w, err)
		return
	}
	defer response.Body.Close()
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.StatusCode)
	copyFlushed(w, response.Body)
}

// writeFailure tells apart a backend server that could not be dialled, which
// ran nothing, from one whose answer was lost.
func writeFailure(w http.ResponseWriter, err error) {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		writeOutcome(w, http.StatusServiceUnavailable, OutcomeNotRun, "backend server not reached")
		return
	}
	writeOutcome(w, http.StatusGatewayTimeout, OutcomeUnknown, "answer of the backend server lost")
}

func copyFlushed(w http.ResponseWriter, body io.Reader) {
	controller := http.NewResponseController(w)
	buffer := make([]byte, copySize)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return
			}
			_ = controller.Flush()
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler) // the answer is cut short; the caller must see it
		}
	}
}

// problem is an RFC 9457 problem document.
type problem struct {
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Outcome string `json:"outcome"`
	Detail  string `json:"detail"`
}

func writeOutcome(w http.ResponseWriter, status int, outcome, detail string) {
	w.Header().Set(OutcomeHeader, outcome)
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problem{Title: http.StatusText(status), Status: status, Outcome: outcome, Detail: detail})
}
