package event

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines bounds the log lines that wait for a slow reader: two seconds of
	// a balancer that logs every flow it places.
	queueLines = 1024
	// flushTime bounds the writing of the last lines, so that a reader that
	// stalls does not hold up a stop.
	flushTime = 200 * time.Millisecond
	// DroppedNumber is the number of the event that tells how many lines were
	// dropped.
	DroppedNumber = 1
)

// Queue hands log lines to a writer on a goroutine of its own. A reader that
// stalls never holds the process up: lines beyond the queue are dropped, and the
// next line that finds room tells how many. It is safe for concurrent use.
type Queue struct {
	lines   chan []byte
	out     io.Writer
	dropped atomic.Int64
	total   atomic.Int64
	closing sync.Once
	done    chan struct{}
}

// NewQueue returns a queue before a writer, whose errors are counted as dropped
// lines. Close must be called for the last lines.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queueLines), out: out, done: make(chan struct{})}
	go q.run()
	return q
}

// Write takes one line; it never blocks and never fails.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
		q.total.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped so far.
func (q *Queue) Dropped() int64 { return q.total.Load() }

// Waiting returns how many lines wait for the writer.
func (q *Queue) Waiting() int64 { return int64(len(q.lines)) }

func (q *Queue) run() {
	defer close(q.done)
	for line := range q.lines {
		if line == nil {
			return
		}
		q.write(line)
		if dropped := q.dropped.Swap(0); dropped > 0 {
			q.write(fmt.Appendf(nil, "{\"event\":%d,\"level\":\"warning\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", DroppedNumber, dropped))
		}
	}
}

func (q *Queue) write(line []byte) {
	if _, err := q.out.Write(line); err != nil {
		q.total.Add(1)
	}
}

// Close writes the lines that wait, as far as the reader takes them within
// flushTime.
func (q *Queue) Close() {
	q.closing.Do(func() {
		limit := time.After(flushTime)
		select {
		case q.lines <- nil:
		case <-limit:
			return
		}
		select {
		case <-q.done:
		case <-limit:
		}
	})
}
