// Package platform is a stand-in for the platform's configuration service: the blocking
// queries of Consul's key/value store. Operators write to it; the system only reads.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Pair is a key with its stored value.
type Pair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
}

// Mode determines how the service answers reads.
type Mode string

const (
	// Healthy answers reads with the stored values.
	Healthy Mode = "healthy"
	// Down answers every read with an error.
	Down Mode = "down"
	// Stale answers reads with the values stored when the mode was set.
	Stale Mode = "stale"
)

// maxWait is the longest time that a blocking read waits for a change.
const maxWait = time.Minute

// Service is the configuration service. It is safe for concurrent use.
type Service struct {
	// Limit is the number of reads answered per second; further ones get status 429.
	// 0 means no limit.
	Limit int

	mu          sync.Mutex
	mode        Mode
	index       uint64
	pairs       map[string]Pair
	stalePairs  map[string]Pair
	changed     chan struct{}
	calls       int64
	second      int64
	secondCalls int
}

// New returns an empty, healthy service.
func New() *Service {
	return &Service{mode: Healthy, index: 1, pairs: make(map[string]Pair), changed: make(chan struct{})}
}

// Put stores a value and returns its modify index.
func (s *Service) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	s.pairs[key] = Pair{Key: key, Value: value, ModifyIndex: s.index}
	s.wake()
	return s.index
}

// Restore replaces all values and the index by those of a Snapshot, as a restore from a
// backup does.
func (s *Service) Restore(pairs map[string]Pair, index uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pairs, s.index = pairs, index
	s.wake()
}

// Snapshot returns a copy of all values and the index.
func (s *Service) Snapshot() (map[string]Pair, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return clone(s.pairs), s.index
}

// SetMode sets the mode and wakes the waiting reads.
func (s *Service) SetMode(mode Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
	s.stalePairs = clone(s.pairs)
	s.wake()
}

// Calls returns the number of reads so far, including those over the limit.
func (s *Service) Calls() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func clone(pairs map[string]Pair) map[string]Pair {
	copied := make(map[string]Pair, len(pairs))
	for k, v := range pairs {
		copied[k] = v
	}
	return copied
}

// wake wakes the waiting reads.
func (s *Service) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves reads and writes under /v1/kv/, and controls for tests under /control/.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if mode, ok := strings.CutPrefix(r.URL.Path, "/control/mode/"); ok {
		s.SetMode(Mode(mode))
		return
	}
	if r.URL.Path == "/control/calls" {
		_ = json.NewEncoder(w).Encode(s.Calls())
		return
	}
	key, ok := strings.CutPrefix(r.URL.Path, "/v1/kv/")
	if !ok {
		http.NotFound(w, r)
		return
	}
	if r.Method == http.MethodPut {
		s.put(w, r, key)
		return
	}
	s.get(w, r, key)
}

func (s *Service) put(w http.ResponseWriter, r *http.Request, key string) {
	value, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_ = json.NewEncoder(w).Encode(s.Put(key, value))
}

func (s *Service) get(w http.ResponseWriter, r *http.Request, prefix string) {
	if !s.allowCall() {
		http.Error(w, "over the limit of calls", http.StatusTooManyRequests)
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	for {
		pairs, index, mode, changed := s.read(prefix)
		if mode == Down {
			http.Error(w, "down", http.StatusInternalServerError)
			return
		}
		if index > after || after == 0 || index < after {
			answer(w, pairs, index)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(w, pairs, index)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func answer(w http.ResponseWriter, pairs []Pair, index uint64) {
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	_ = json.NewEncoder(w).Encode(pairs)
}

// allowCall counts a read and reports whether it is within the limit.
func (s *Service) allowCall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if now := time.Now().Unix(); now != s.second {
		s.second, s.secondCalls = now, 0
	}
	s.secondCalls++
	return s.Limit == 0 || s.secondCalls <= s.Limit
}

// read returns the values whose keys have a prefix, the highest index among them, the mode,
// and a channel that is closed at the next change.
func (s *Service) read(prefix string) ([]Pair, uint64, Mode, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	source := s.pairs
	if s.mode == Stale {
		source = s.stalePairs
	}
	var pairs []Pair
	var index uint64 = 1
	for key, pair := range source {
		if strings.HasPrefix(key, prefix) {
			pairs = append(pairs, pair)
			index = max(index, pair.ModifyIndex)
		}
	}
	sort.Slice(pairs, func(a, b int) bool { return pairs[a].Key < pairs[b].Key })
	return pairs, index, s.mode, s.changed
}
