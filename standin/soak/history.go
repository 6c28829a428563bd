package soak

import (
	"sync"
	"time"

	"cactustray/standin/packets"
)

// Outcome is how an attempt of a caller ended.
type Outcome int

// Outcomes.
const (
	Answered Outcome = iota
	// RefusedOpening and SilentOpening: the flow never opened.
	RefusedOpening
	SilentOpening
	// ResetOpen and SilentOpen: the flow was open, and no answer came.
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
	// Extra tells that the address is that of the route that comes and goes.
	Extra bool
	// Opened is when the caller opened the flow, Began when it sent this request.
	Opened, Began, Ended time.Duration
	// Via is the host of the balancer that the router chose last.
	Via int
	// Endpoint is the one that ran a request of the flow, if any did.
	Endpoint string
	Outcome  Outcome
	// Final tells that it was made after all faults had ended.
	Final bool
}

// Span is a fault as it was carried out.
type Span struct {
	Fault
	Began, Ended time.Duration
}

// Change is one of the extra route.
type Change struct {
	At    time.Duration
	Added bool
}

// Exit is a daemon that ended by itself.
type Exit struct{ Host, Code int }

// EndpointRecord is what one boot of an endpoint saw.
type EndpointRecord struct {
	Name    string
	Service string
	Host    int
	packets.Counts
	// Drained and Ended are when it began to drain and ended, or 0.
	Drained, Ended time.Duration
}

// History is what a run saw; times count from the start of the load.
type History struct {
	Plan      Plan
	Attempts  []Attempt
	Spans     []Span
	Changes   []Change
	Exits     []Exit
	SlowStops []int
	Endpoints []EndpointRecord
}

// history collects a History. It is safe for concurrent use.
type history struct {
	mu       sync.Mutex
	began    time.Time
	gathered History
	running  map[string]*packets.Endpoint
	order    []string
	drains   map[string]time.Duration
	ends     map[string]time.Duration
}

func newHistory() *history {
	return &history{
		began: time.Now(), running: make(map[string]*packets.Endpoint),
		drains: make(map[string]time.Duration), ends: make(map[string]time.Duration),
	}
}

// begin starts the clock: what was before is not of the run.
func (h *history) begin() {
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

func (h *history) attempted(a Attempt) {
	h.record(func(time.Duration) { h.gathered.Attempts = append(h.gathered.Attempts, a) })
}

// fault notes that a fault begins; the returned function notes its end.
func (h *history) fault(f Fault) (end func()) {
	at := -1
	h.record(func(now time.Duration) {
		at = len(h.gathered.Spans)
		h.gathered.Spans = append(h.gathered.Spans, Span{Fault: f, Began: now, Ended: forever})
	})
	return func() { h.record(func(now time.Duration) { h.gathered.Spans[at].Ended = now }) }
}

// forever is the end of what has not ended.
const forever = time.Duration(1<<63 - 1)

func (h *history) routed(added bool) {
	h.record(func(now time.Duration) {
		h.gathered.Changes = append(h.gathered.Changes, Change{At: now, Added: added})
	})
}

func (h *history) exited(host, code int) {
	h.record(func(time.Duration) { h.gathered.Exits = append(h.gathered.Exits, Exit{Host: host, Code: code}) })
}

func (h *history) slowStop(host int) {
	h.record(func(time.Duration) { h.gathered.SlowStops = append(h.gathered.SlowStops, host) })
}

func (h *history) started(e *packets.Endpoint) {
	h.record(func(time.Duration) {
		h.running[e.Name] = e
		h.order = append(h.order, e.Name)
	})
}

func (h *history) drained(endpoint string) {
	h.record(func(now time.Duration) { h.drains[endpoint] = now })
}

func (h *history) ended(endpoint string) {
	h.record(func(now time.Duration) { h.ends[endpoint] = now })
}

// whole returns what was seen until now.
func (h *history) whole(plan Plan) History {
	h.mu.Lock()
	defer h.mu.Unlock()
	whole := h.gathered
	whole.Plan = plan
	for _, name := range h.order {
		e := h.running[name]
		whole.Endpoints = append(whole.Endpoints, EndpointRecord{
			Name: name, Service: e.Service, Host: hostOf(e.Address()), Counts: e.Counts(),
			Drained: h.drains[name], Ended: h.ends[name],
		})
	}
	return whole
}
