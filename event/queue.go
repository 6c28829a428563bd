package event

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueCapacity is the number of log lines that can wait for a slow reader: two
	// seconds of lines of a balancer that logs every flow it places.
	queueCapacity = 1024
	// flushTimeout limits the time to write the last lines at a stop, so that a
	// stalled reader does not delay the stop.
	flushTimeout = 200 * time.Millisecond
	// DroppedNumber is the number of the event that reports dropped lines.
	DroppedNumber = 1
)

// Queue is an asynchronous writer of log lines: a goroutine of its own writes them to
// the underlying writer. A stalled reader never blocks the process: lines that do not
// fit into the queue are dropped, and their number is logged after the next line that
// is written. It is safe for concurrent use.
type Queue struct {
	lines     chan []byte
	out       io.Writer
	dropped   atomic.Int64 // lines dropped since the last event DroppedNumber
	total     atomic.Int64 // all lines dropped, also by failed writes
	closeOnce sync.Once
	done      chan struct{}
}

// NewQueue returns a queue that writes to out. A line that out fails to write counts
// as dropped. Close must be called to write the last lines.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queueCapacity), out: out, done: make(chan struct{})}
	go q.run()
	return q
}

// Write queues one line, or drops it if the queue is full. It never blocks and never
// returns an error.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
		q.total.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (q *Queue) Dropped() int64 { return q.total.Load() }

// Waiting returns the number of lines in the queue.
func (q *Queue) Waiting() int64 { return int64(len(q.lines)) }

// run writes lines until it receives nil, which Close sends.
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

// Close writes the queued lines, as many as the reader accepts within flushTimeout.
func (q *Queue) Close() {
	q.closeOnce.Do(func() {
		timeout := time.After(flushTimeout)
		select {
		case q.lines <- nil:
		case <-timeout:
			return
		}
		select {
		case <-q.done:
		case <-timeout:
		}
	})
}
