package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what the script saw: it is written to record.txt.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	runs  map[string][]string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file, runs: make(map[string][]string)}, nil
}

func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// ran records that an endpoint began to work on a request.
func (r *record) ran(id, endpoint string) {
	r.add("run of %s by %s", id, endpoint)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], endpoint)
}

func (r *record) runsOf(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}
