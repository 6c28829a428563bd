// Package backend is a stand-in for a backend server: it runs jobs in slots,
// streams feeds, records confirmations and sheds load.
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

// IdempotencyHeader names the key of a confirmation.
const IdempotencyHeader = "Idempotency-Key"

// Server is one backend server. It is safe for concurrent use.
type Server struct {
	name  string
	slots chan struct{}

	mu       sync.Mutex
	recorded map[string]int
	draining bool
}

// New returns a backend server that runs slots jobs at once.
func New(name string, slots int) *Server {
	return &Server{name: name, slots: make(chan struct{}, slots), recorded: make(map[string]int)}
}

// Handler serves the backend server's paths.
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
		if !pause(r, interval) {
			return
		}
		fmt.Fprintf(w, "%d\n", i)
		_ = controller.Flush()
	}
}

func (s *Server) job(w http.ResponseWriter, r *http.Request) {
	if !s.enter(w) {
		return
	}
	defer s.leave()
	if pause(r, millis(r, "work")) {
		fmt.Fprintln(w, s.name)
	}
}

func (s *Server) confirm(w http.ResponseWriter, r *http.Request) {
	if !s.enter(w) {
		return
	}
	defer s.leave()
	key := r.Header.Get(IdempotencyHeader)
	s.mu.Lock()
	s.recorded[key]++
	s.mu.Unlock()
	pause(r, millis(r, "work"))
	fmt.Fprintln(w, "confirmed", key)
}

// records lists how often each confirmation was recorded.
func (s *Server) records(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Records())
}

// Records returns how often each confirmation was recorded.
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

// enter takes a slot; without a free one, or when draining, it sheds.
func (s *Server) enter(w http.ResponseWriter) bool {
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

func (s *Server) leave() { <-s.slots }

func millis(r *http.Request, name string) time.Duration {
	n, _ := strconv.Atoi(r.URL.Query().Get(name))
	return time.Duration(n) * time.Millisecond
}

// pause waits, and tells whether the request is still wanted.
func pause(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
