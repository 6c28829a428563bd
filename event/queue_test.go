package event

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// stalledWriter is a writer that blocks until release is closed.
type stalledWriter struct {
	mu      sync.Mutex
	release chan struct{}
	bytes.Buffer
}

func (s *stalledWriter) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Buffer.Write(b)
}

// Writes to a full queue return at once; the lines that did not fit are counted and
// logged as dropped.
func TestQueueNeverBlocks(t *testing.T) {
	out := &stalledWriter{release: make(chan struct{})}
	q := NewQueue(out)
	const lines = 3 * queueCapacity
	for range lines {
		n, err := q.Write([]byte("line\n"))
		must.NoError(t, err)
		must.EqOp(t, 5, n)
	}
	dropped := q.Dropped()
	must.Between(t, lines-queueCapacity-1, dropped, lines-queueCapacity)
	close(out.release)
	q.Close()
	must.EqOp(t, lines-int(dropped), strings.Count(out.String(), "line\n"))
	must.StrContains(t, out.String(), "log lines dropped")
	must.EqOp(t, 0, q.Waiting())
}

func BenchmarkQueueWithStalledReader(b *testing.B) {
	out := &stalledWriter{release: make(chan struct{})}
	q := NewQueue(out)
	line := bytes.Repeat([]byte{'x'}, 250)
	for b.Loop() {
		_, _ = q.Write(line)
	}
	close(out.release)
	q.Close()
}
