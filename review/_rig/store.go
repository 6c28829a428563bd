package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key's value or its deletion, as the store writes it.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int    `json:"revision"`
	Created  int    `json:"created,omitempty"`
	Lease    int    `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// pageItems is how many items a page holds at most.
const pageItems = 500

// store is a stand-in for the platform's metadata store (PROTOCOL.md).
type store struct {
	mu       sync.Mutex
	changed  chan struct{}
	revision int
	items    map[string]item
	history  []item
}

func newStore() *store {
	return &store{changed: make(chan struct{}), revision: 1, items: make(map[string]item)}
}

// put writes a value and returns when the store has acknowledged it.
func (s *store) put(key string, value any) time.Time {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.write(item{Key: key, Value: raw})
}

func (s *store) remove(key string) time.Time { return s.write(item{Key: key, Deleted: true}) }

func (s *store) write(it item) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it.Revision, it.Created = s.revision, s.revision
	if before, ok := s.items[it.Key]; ok {
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
	return time.Now()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	w.Header().Set("Store-Era", "1")
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case "/cactustray/kv-key":
		s.mu.Lock()
		it, ok := s.items[query.Get("key")]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(it)
	case "/cactustray/kv-range":
		s.list(w, query.Get("prefix"), query.Get("after"))
	case "/cactustray/kv-watch":
		s.watch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	truncated := len(found) > pageItems
	_ = json.NewEncoder(w).Encode(map[string]any{
		"items": found[:min(len(found), pageItems)], "truncated": truncated, "current-rev": s.revision,
	})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.Atoi(query.Get("after"))
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		events, revision, changed := []item{}, s.revision, s.changed
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, query.Get("prefix")) {
				events = append(events, it)
			}
		}
		s.mu.Unlock()
		if after > revision {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || !waiting {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "current-rev": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			waiting = false
		}
	}
}
