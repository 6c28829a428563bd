package packets

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// pageSize is the number of items in a page: far fewer than the platform's 500 or so, so that
// small tests need several pages.
const pageSize = 3

// item is a key's value, or its deletion, as the store's answers encode it.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int    `json:"revision"`
	Created  int    `json:"created,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Mode is how the store answers a client.
type Mode int

const (
	// Serve answers normally.
	Serve Mode = iota
	// Refuse answers 503 Service Unavailable.
	Refuse
	// Silent never answers.
	Silent
)

// Store is a stand-in for the platform's key-value store. It is safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	changed   chan struct{}
	revision  int
	compacted int // revision at the last compaction
	era       int // rises with each restore
	items     map[string]item
	history   []item
	// writtenSince has the keys that were written or deleted since the last restore.
	writtenSince map[string]bool
	sequence     atomic.Int64
	modes        map[string]Mode
	calls        int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		changed: make(chan struct{}), era: 1, items: make(map[string]item), modes: make(map[string]Mode), writtenSince: make(map[string]bool),
	}
}

// StoreCopy is a copy of a store's content.
type StoreCopy struct {
	items    map[string]item
	history  []item
	revision int
}

// Copy makes a copy of the content for a later Restore.
func (s *Store) Copy() StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreCopy{items: maps.Clone(s.items), history: slices.Clone(s.history), revision: s.revision}
}

// Lost are the changes that a store lost by a Restore.
type Lost struct {
	written []item
	deleted []string
}

// Restore replaces the content by a copy. The changes since are lost, and their revisions
// are assigned again; a new era begins.
func (s *Store) Restore(from StoreCopy) (lost Lost) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, it := range s.items {
		if before, exists := from.items[key]; !exists || !bytes.Equal(before.Value, it.Value) {
			lost.written = append(lost.written, it)
		}
	}
	for key := range from.items {
		if _, exists := s.items[key]; !exists {
			lost.deleted = append(lost.deleted, key)
		}
	}
	s.items, s.history, s.revision = maps.Clone(from.items), slices.Clone(from.history), from.revision
	s.compacted = min(s.compacted, s.revision)
	s.writtenSince = make(map[string]bool)
	s.era++
	s.wake()
	return lost
}

// WriteAgain writes the values that were lost, unless their keys were written since.
func (s *Store) WriteAgain(lost Lost) {
	for _, it := range lost.written {
		if !s.wasWrittenSince(it.Key) {
			s.write(item{Key: it.Key, Value: it.Value})
		}
	}
}

// DeleteAgain deletes the keys whose deletion was lost, unless they were written since.
func (s *Store) DeleteAgain(lost Lost) {
	for _, key := range lost.deleted {
		if !s.wasWrittenSince(key) {
			s.Delete(key)
		}
	}
}

func (s *Store) wasWrittenSince(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writtenSince[key]
}

// NextSequence returns a number that rises with each call, also after a Restore.
func (s *Store) NextSequence() int64 { return s.sequence.Add(1) }

// wake wakes the watches that wait. The caller holds mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a value as JSON.
func (s *Store) Put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // the stand-ins write only values that JSON can encode
	}
	s.write(item{Key: key, Value: raw})
}

// PutBytes writes bytes, which need not be JSON.
func (s *Store) PutBytes(key string, value []byte) { s.write(item{Key: key, Value: value}) }

// Delete removes a key.
func (s *Store) Delete(key string) { s.write(item{Key: key, Deleted: true}) }

func (s *Store) write(it item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.writtenSince[it.Key] = true
	it.Revision, it.Created = s.revision, s.revision
	s.history = append(s.history, it)
	if it.Deleted {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	s.wake()
}

// SetMode sets the mode for clients at an IP address, or for all clients if ip is empty. Where
// both are set, the higher mode applies.
func (s *Store) SetMode(ip string, mode Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.modes[ip] = mode
}

// Compact drops the history, as a compaction does: a watch from an older revision gets
// 410 Gone.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted, s.history = s.revision, nil
}

// Calls returns the number of calls received.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP answers one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	ip, _, _ := strings.Cut(r.RemoteAddr, ":")
	mode := max(s.modes[ip], s.modes[""])
	s.mu.Unlock()
	switch {
	case mode == Silent:
		<-r.Context().Done()
	case mode == Refuse:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.URL.Path == "/cactustray/kv-range":
		s.list(w, r)
	case r.URL.Path == "/cactustray/kv-watch":
		s.watch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []item
	for key, it := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) && key > r.URL.Query().Get("after") {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(a.Key, b.Key) })
	truncated := len(items) > pageSize
	answer(w, s.era, map[string]any{"items": items[:min(len(items), pageSize)], "truncated": truncated, "current-rev": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, revision, unknown, era, changed := s.since(after), s.revision, after < s.compacted || after > s.revision, s.era, s.changed
		s.mu.Unlock()
		if unknown {
			w.Header().Set(eraHeader, strconv.Itoa(era))
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			answer(w, era, map[string]any{"events": events, "current-rev": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			answer(w, era, map[string]any{"events": []item{}, "current-rev": revision})
			return
		}
	}
}

func (s *Store) since(after int) (events []item) {
	for _, it := range s.history {
		if it.Revision > after {
			events = append(events, it)
		}
	}
	return events
}

// eraHeader has the store's era in each answer.
const eraHeader = "Store-Era"

func answer(w http.ResponseWriter, era int, body any) {
	w.Header().Set(eraHeader, strconv.Itoa(era))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
