// Package frontend is the traffic side of the admission slice: it receives HTTP
// requests, asks the control goroutine to admit them, and sends them to the
// backend server or forwards them to another agent.
package frontend

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"cactustray/admission"
	"cactustray/control"
	"cactustray/hedging"
	"cactustray/ticket"
)

const (
	// EndpointHeader is the response header with the name of the endpoint that
	// answered.
	EndpointHeader = "Cactustray-Endpoint"
	// TimeoutHeader is the request header with the time left until the
	// deadline, in milliseconds. Callers, agents and backend servers all use
	// it.
	TimeoutHeader = "Request-Timeout-Ms"
	// KeyHeader is the request header with the caller's idempotency key. A
	// request with a key must run at most once.
	KeyHeader = "Idempotency-Key"
	// PeerPrefix is the path prefix of requests that agents forward to each
	// other.
	PeerPrefix = "/forward"

	// reservationHeader is the reservation under which a request is handed
	// over.
	reservationHeader = "Cactustray-Reservation"
	// ownerHopHeader counts how often a keyed request has been forwarded.
	ownerHopHeader = "Cactustray-Keeper-Hop"
	// forwarderHeader names the endpoint whose agent forwarded a keyed request.
	forwarderHeader = "Cactustray-Witness"
	// forwardIDHeader identifies a keyed request while agents forward it.
	forwardIDHeader = "Cactustray-Pass"
	// departingHeader names an endpoint whose agent stops and has left the key of the
	// forwarded request to another one; there may be several.
	departingHeader = "Cactustray-Departing"
	// ticketHeader is the number of the ticket by which an agent chose the
	// owner that it forwarded a keyed request to.
	ticketHeader = "Cactustray-Ticket"
	// defaultTimeout bounds a job whose caller set no timeout.
	defaultTimeout = 30 * time.Second
)

// Handler serves callers' requests and those that other agents forward.
type Handler struct {
	Loop   *control.Loop
	Ticket *atomic.Pointer[ticket.Ticket]
	// Agents holds the addresses of the agents of this and of former tickets.
	Agents *atomic.Pointer[Addresses]
	// Departed holds the endpoints that own no keys, since their agents have stopped.
	Departed *atomic.Pointer[[]ticket.EndpointKey]
	// InFlight is the number of requests in progress; a planned stop waits
	// until it is zero.
	InFlight *atomic.Int64
	Backend  netip.AddrPort
	Endpoint string
	Client   *http.Client
	// Peers is the client for the other agents of the service.
	Peers *http.Client
	// Hedging holds what is needed to offer second copies.
	Hedging *atomic.Pointer[hedging.Snapshot]
	// Contain runs a function and reports whether it returned; it contains panics. nil means
	// that none are contained.
	Contain func(where string, f func()) bool
	// Copies counts the second copies that this agent offers.
	Copies CopyCounters

	nextID atomic.Uint64
}

// Addresses maps endpoints to the control addresses of their agents. It is
// immutable.
type Addresses map[ticket.EndpointKey]netip.AddrPort

func (h *Handler) addressOf(key ticket.EndpointKey) (netip.AddrPort, bool) {
	agents := h.Agents.Load()
	if agents == nil {
		return netip.AddrPort{}, false
	}
	address, ok := (*agents)[key]
	return address, ok
}

// ServeHTTP serves one request of a caller. It removes the headers that only
// agents may set.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(EndpointHeader, h.Endpoint)
	r.Header.Del(reservationHeader)
	r.Header.Del(ownerHopHeader)
	r.Header.Del(forwarderHeader)
	r.Header.Del(ticketHeader)
	r.Header.Del(forwardIDHeader)
	r.Header.Del(departingHeader)
	h.serve(w, r, 0)
}

// ServePeer serves one request that another agent forwards, under PeerPrefix.
func (h *Handler) ServePeer(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(EndpointHeader, h.Endpoint)
	r.URL.Path = strings.TrimPrefix(r.URL.Path, PeerPrefix)
	r.URL.RawPath = strings.TrimPrefix(r.URL.RawPath, PeerPrefix)
	hop, _ := strconv.Atoi(r.Header.Get(ownerHopHeader))
	r.Header.Del(ownerHopHeader)
	h.serve(w, r, hop)
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, hop int) {
	h.InFlight.Add(1)
	defer h.InFlight.Add(-1)
	tk := h.Ticket.Load()
	if tk == nil {
		writeNotRun(w, "no ticket in force yet")
		return
	}
	idempotent := isIdempotent(tk, r)
	reservation := takeReservation(r)
	if !idempotent && reservation == 0 && r.Header.Get(KeyHeader) != "" {
		h.serveKeyed(w, r, tk, hop)
		return
	}
	j := h.newJob(w, r, tk)
	j.request.Reservation = reservation
	j.request.Idempotent = idempotent
	j.body = newBody(r.Body)
	ctx, cancel := j.withDeadline(r.Context())
	defer cancel()
	writeResult(w, j.process(ctx))
}

func takeReservation(r *http.Request) admission.ReservationID {
	id, _ := strconv.ParseUint(r.Header.Get(reservationHeader), 10, 64)
	r.Header.Del(reservationHeader)
	return admission.ReservationID(id)
}

// isIdempotent reports whether a request may run more than once, according to
// its method (RFC 9110, section 9.2.2) or to the service's ticket.
func isIdempotent(tk *ticket.Ticket, r *http.Request) bool {
	switch r.Method {
	case http.MethodPut, http.MethodDelete:
		return true
	default:
		return isSafe(r.Method) || tk.IsIdempotent(r.URL.Path)
	}
}

func isSafe(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}

func (h *Handler) newJob(w http.ResponseWriter, r *http.Request, tk *ticket.Ticket) *job {
	j := &job{h: h, tk: tk, out: w, in: r}
	j.request.ID = admission.RequestID(h.nextID.Add(1))
	if tk.IsFeed(r.URL.Path) {
		j.request.Kind = admission.Feed
		return j
	}
	timeout := defaultTimeout
	if millis, err := strconv.ParseUint(r.Header.Get(TimeoutHeader), 10, 31); err == nil {
		timeout = time.Duration(millis) * time.Millisecond
	}
	j.request.Deadline = time.Now().Add(timeout)
	return j
}

// withDeadline returns a context that ends at the job's deadline. A feed has no
// deadline.
func (j *job) withDeadline(parent context.Context) (context.Context, context.CancelFunc) {
	if j.request.Kind == admission.Feed {
		return context.WithCancel(parent)
	}
	return context.WithDeadline(parent, j.request.Deadline)
}
