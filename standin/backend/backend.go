// Package backend is a stand-in for a backend server: it runs a limited number of jobs
// concurrently, streams feeds, records confirmations and sheds load.
package backend

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// IdempotencyHeader is the header that holds a confirmation's key.
const IdempotencyHeader = "Idempotency-Key"

// Server is one backend server. It is safe for concurrent use.
type Server struct {
	name  string
	slots chan struct{}

	mu       sync.Mutex
	recorded map[string]int
	draining bool
	slowness time.Duration
}

// New returns a backend server that runs up to slots jobs concurrently.
func New(name string, slots int) *Server {
	return &Server{name: name, slots: make(chan struct{}, slots), recorded: make(map[string]int)}
}

// Handler returns the handler of the backend server's paths.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /feed", s.feed)
	mux.HandleFunc("GET /drawing", s.job)
	mux.HandleFunc("POST /confirm", s.confirm)
	mux.HandleFunc("GET /records", s.records)
	mux.HandleFunc("PUT /draining", s.drain)
	return mux
}

func (s *Server) feed(w http.ResponseWriter, r *http.Request) {
	lines, _ := strconv.Atoi(r.URL.Query().Get("lines"))
	interval := millis(r, "interval")
	controller := http.NewResponseController(w)
	for i := range lines {
		if !wait(r, interval) {
			return
		}
		fmt.Fprintf(w, "%d\n", i)
		_ = controller.Flush()
	}
}

func (s *Server) job(w http.ResponseWriter, r *http.Request) {
	if !s.acquireSlot(w) {
		return
	}
	defer s.releaseSlot()
	if wait(r, millis(r, "work")+s.currentSlowness()) {
		fmt.Fprintln(w, s.name)
	}
}

func (s *Server) confirm(w http.ResponseWriter, r *http.Request) {
	if !s.acquireSlot(w) {
		return
	}
	defer s.releaseSlot()
	key := r.Header.Get(IdempotencyHeader)
	s.mu.Lock()
	s.recorded[key]++
	s.mu.Unlock()
	wait(r, millis(r, "work"))
	fmt.Fprintln(w, "confirmed", key)
}

// records writes how often each confirmation was recorded, as JSON.
func (s *Server) records(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Records())
}

// Records returns how often each confirmation was recorded, by key.
func (s *Server) Records() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.recorded)
}

func (s *Server) drain(http.ResponseWriter, *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// SetSlowness makes each job take longer by d.
func (s *Server) SetSlowness(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowness = d
}

func (s *Server) currentSlowness() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slowness
}

// acquireSlot acquires a slot and reports whether it did. If none is free or the server is
// draining, it answers the request with 503.
func (s *Server) acquireSlot(w http.ResponseWriter) bool {
	s.mu.Lock()
	draining := s.draining
	s.mu.Unlock()
	if !draining {
		select {
		case s.slots <- struct{}{}:
			return true
		default:
		}
	}
	w.Header().Set("Retry-After", "1")
	http.Error(w, "shed", http.StatusServiceUnavailable)
	return false
}

func (s *Server) releaseSlot() { <-s.slots }

// millis returns a query parameter in milliseconds as a duration, or 0 if it is invalid.
func millis(r *http.Request, name string) time.Duration {
	n, _ := strconv.Atoi(r.URL.Query().Get(name))
	return time.Duration(n) * time.Millisecond
}

// wait waits for d and returns true, or returns false as soon as the request is cancelled.
func wait(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
