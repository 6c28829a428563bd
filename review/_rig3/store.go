package main

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const pageSize = 500

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int    `json:"revision"`
	Created  int    `json:"created,omitempty"`
	Lease    int    `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's store: range and watch, never disturbed.
type store struct {
	mu       sync.Mutex
	changed  chan struct{}
	revision int
	items    map[string]item
	history  []item
}

func newStore(at netip.AddrPort) (*store, error) {
	s := &store{changed: make(chan struct{}), revision: 1, items: make(map[string]item)}
	listener, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, s) }()
	return s, nil
}

// put writes a value as JSON; its return is the acknowledgment.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.write(item{Key: key, Value: raw})
}

func (s *store) remove(key string) { s.write(item{Key: key, Deleted: true}) }

func (s *store) write(it item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, exists := s.items[it.Key]
	if it.Deleted && !exists {
		return
	}
	s.revision++
	it.Revision, it.Created = s.revision, s.revision
	if exists {
		it.Created = before.Created
	}
	s.history = append(s.history, it)
	if it.Deleted {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/cactustray/kv-range":
		s.list(w, q.Get("prefix"), q.Get("after"))
	case "/cactustray/kv-watch":
		after, _ := strconv.Atoi(q.Get("after"))
		wait, _ := strconv.Atoi(q.Get("wait-ms"))
		s.watch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	truncated := len(items) > pageSize
	answer(w, map[string]any{"items": items[:min(len(items), pageSize)], "truncated": truncated, "current-rev": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after int, wait time.Duration) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, map[string]any{"events": events, "current-rev": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			answer(w, map[string]any{"events": events, "current-rev": revision})
			return
		}
	}
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	_ = json.NewEncoder(w).Encode(body)
}
