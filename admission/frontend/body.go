package frontend

import (
	"io"
	"sync"
)

// replayLimit is how much of a request's body is buffered so that the request
// can be sent again, in bytes.
const replayLimit = 64 << 10

// body is a request's body that can be sent again as long as no more than
// replayLimit bytes of it have been read. It is safe for concurrent use: an
// abandoned attempt may still be reading.
type body struct {
	mu      sync.Mutex
	source  io.Reader
	head    []byte
	tooLong bool
	err     error
}

func newBody(source io.Reader) *body { return &body{source: source} }

// replayable reports whether the body can be sent again from its start.
func (b *body) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.tooLong
}

// isBuffered reports whether the whole body has been read and can be sent again. A body
// that is being read at this moment counts as not yet read.
func (b *body) isBuffered() bool {
	if !b.mu.TryLock() { // Read holds the lock while it waits for the caller
		return false
	}
	defer b.mu.Unlock()
	return !b.tooLong && b.err == io.EOF
}

// reader returns a reader that starts at the beginning of the body, also if
// earlier readers have read some of it.
func (b *body) reader() io.ReadCloser { return &bodyReader{body: b} }

type bodyReader struct {
	body   *body
	offset int
	// closed is guarded by the body's mutex.
	closed bool
}

func (r *bodyReader) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.closed {
		return 0, io.ErrClosedPipe
	}
	if r.offset < len(b.head) {
		n := copy(p, b.head[r.offset:])
		r.offset += n
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.source.Read(p)
	b.err = err
	if len(b.head)+n > replayLimit {
		b.tooLong = true
		return n, err
	}
	b.head = append(b.head, p[:n]...)
	r.offset += n
	return n, err
}

// Close closes this reader only; the body stays open for other readers.
func (r *bodyReader) Close() error {
	r.body.mu.Lock()
	defer r.body.mu.Unlock()
	r.closed = true
	return nil
}
