package soak

import (
	"sync"
	"time"

	"cactustray/standin/packets"
)

// Outcome is the result of a caller's attempt.
type Outcome int

// Outcomes of an attempt.
const (
	Answered Outcome = iota
	// RefusedOpening and SilentOpening: the flow did not open, because of a reset or for
	// lack of an answer.
	RefusedOpening
	SilentOpening
	// ResetOpen and SilentOpen: the flow was open, and the request got a reset or no answer.
	ResetOpen
	SilentOpen
)

func (o Outcome) String() string {
	return [...]string{"answered", "opening refused", "opening not answered", "open flow reset", "open flow silent"}[o]
}

// Attempt is one request of a caller, or a flow that did not open.
type Attempt struct {
	ID      string
	Service string
	// ExtraRoute is true if the address is that of the extra route, which faults add and
	// remove.
	ExtraRoute bool
	// Opened is when the caller began to open the flow, Began when it sent this request,
	// Ended when the attempt's outcome was known.
	Opened, Began, Ended time.Duration
	// BalancerHost is the host of the balancer that the router chose last, or 0 if the flow
	// did not open or no balancer was ready.
	BalancerHost int
	// Endpoint is the name of the endpoint that last answered on the flow, or empty.
	Endpoint string
	Outcome  Outcome
	// Final is true if the attempt was made after all faults had ended.
	Final bool
}

// Span is a fault and the times at which its injection began and ended.
type Span struct {
	Fault
	Began, Ended time.Duration
}

// RouteChange is an addition or removal of the extra route.
type RouteChange struct {
	At    time.Duration
	Added bool
}

// RouteMove is a move of the moving route to a service.
type RouteMove struct {
	At      time.Duration
	Service string
}

// Interval is a span of time.
type Interval struct{ Began, Ended time.Duration }

// Exit is the unrequested exit of a daemon.
type Exit struct{ Host, Code int }

// EndpointRecord is what one instance of an endpoint counted, from its start to its end.
type EndpointRecord struct {
	Name    string
	Service string
	Host    int
	packets.Counts
	// DrainBegan and Ended are when it began to drain and when it ended, or 0.
	DrainBegan, Ended time.Duration
}

// History is what was observed in a run; times count from the start of the load.
type History struct {
	Plan         Plan
	Attempts     []Attempt
	Spans        []Span
	RouteChanges []RouteChange
	// RouteMoves are the moves of the moving route, which leads to orders before.
	RouteMoves []RouteMove
	// Evacuations are the times at which remoteZone was evacuated.
	Evacuations []Interval
	Exits       []Exit
	// SlowStops lists the hosts whose daemon did not stop within maxStopTime.
	SlowStops []int
	Endpoints []EndpointRecord
}

// history collects a History. It is safe for concurrent use.
type history struct {
	mu       sync.Mutex
	began    time.Time
	recorded History
	// endpoints holds every endpoint started, by name; order lists the names as they started.
	endpoints  map[string]*packets.Endpoint
	order      []string
	drainTimes map[string]time.Duration
	endTimes   map[string]time.Duration
}

func newHistory() *history {
	return &history{
		began: time.Now(), endpoints: make(map[string]*packets.Endpoint),
		drainTimes: make(map[string]time.Duration), endTimes: make(map[string]time.Duration),
	}
}

// start sets the time from which the history counts to now.
func (h *history) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.began = time.Now()
}

func (h *history) now() time.Duration { return time.Since(h.began) }

func (h *history) record(note func(now time.Duration)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	note(h.now())
}

func (h *history) recordAttempt(a Attempt) {
	h.record(func(time.Duration) { h.recorded.Attempts = append(h.recorded.Attempts, a) })
}

// recordFault records that a fault begins; the returned function records its end.
func (h *history) recordFault(f Fault) (end func()) {
	at := -1
	h.record(func(now time.Duration) {
		at = len(h.recorded.Spans)
		h.recorded.Spans = append(h.recorded.Spans, Span{Fault: f, Began: now, Ended: forever})
	})
	return func() { h.record(func(now time.Duration) { h.recorded.Spans[at].Ended = now }) }
}

// forever is the end of a fault that has not ended.
const forever = time.Duration(1<<63 - 1)

func (h *history) recordRouteChange(added bool) {
	h.record(func(now time.Duration) {
		h.recorded.RouteChanges = append(h.recorded.RouteChanges, RouteChange{At: now, Added: added})
	})
}

func (h *history) recordMove(service string) {
	h.record(func(now time.Duration) {
		h.recorded.RouteMoves = append(h.recorded.RouteMoves, RouteMove{At: now, Service: service})
	})
}

func (h *history) recordEvacuation(begins bool) {
	h.record(func(now time.Duration) {
		if begins {
			h.recorded.Evacuations = append(h.recorded.Evacuations, Interval{Began: now, Ended: forever})
		} else {
			h.recorded.Evacuations[len(h.recorded.Evacuations)-1].Ended = now
		}
	})
}

func (h *history) recordExit(host, code int) {
	h.record(func(time.Duration) { h.recorded.Exits = append(h.recorded.Exits, Exit{Host: host, Code: code}) })
}

func (h *history) recordSlowStop(host int) {
	h.record(func(time.Duration) { h.recorded.SlowStops = append(h.recorded.SlowStops, host) })
}

func (h *history) recordStart(e *packets.Endpoint) {
	h.record(func(time.Duration) {
		h.endpoints[e.Name] = e
		h.order = append(h.order, e.Name)
	})
}

func (h *history) recordDrain(endpoint string) {
	h.record(func(now time.Duration) { h.drainTimes[endpoint] = now })
}

func (h *history) recordEnd(endpoint string) {
	h.record(func(now time.Duration) { h.endTimes[endpoint] = now })
}

// snapshot returns the history up to now.
func (h *history) snapshot(plan Plan) History {
	h.mu.Lock()
	defer h.mu.Unlock()
	snapshot := h.recorded
	snapshot.Plan = plan
	for _, name := range h.order {
		e := h.endpoints[name]
		snapshot.Endpoints = append(snapshot.Endpoints, EndpointRecord{
			Name: name, Service: e.Service, Host: hostOf(e.Address()), Counts: e.Counts(),
			DrainBegan: h.drainTimes[name], Ended: h.endTimes[name],
		})
	}
	return snapshot
}
