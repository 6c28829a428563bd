package event

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// stalled is a reader of log lines that takes none until it is released.
type stalled struct {
	mu      sync.Mutex
	release chan struct{}
	bytes.Buffer
}

func (s *stalled) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Buffer.Write(b)
}

func TestQueueNeverBlocks(t *testing.T) {
	out := &stalled{release: make(chan struct{})}
	q := NewQueue(out)
	const lines = 3 * queueLines
	for range lines {
		n, err := q.Write([]byte("line\n"))
		must.NoError(t, err)
		must.EqOp(t, 5, n)
	}
	dropped := q.Dropped()
	must.Between(t, lines-queueLines-1, dropped, lines-queueLines)
	close(out.release)
	q.Close()
	must.EqOp(t, lines-int(dropped), strings.Count(out.String(), "line\n"))
	must.StrContains(t, out.String(), "log lines dropped")
	must.EqOp(t, 0, q.Waiting())
}

func BenchmarkQueueWithStalledReader(b *testing.B) {
	out := &stalled{release: make(chan struct{})}
	q := NewQueue(out)
	line := bytes.Repeat([]byte{'x'}, 250)
	for b.Loop() {
		_, _ = q.Write(line)
	}
	close(out.release)
	q.Close()
}
