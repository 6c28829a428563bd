package frontend

import (
	"bytes"
	"maps"
	"net/http"

	"cactustray/admission"
)

// ReplayedHeader marks an answer that was kept from an earlier request.
const ReplayedHeader = "Idempotency-Replayed"

// keptAnswer is a kept answer of the backend server. It is immutable.
type storedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// Size returns its length in bytes.
func (a *storedAnswer) Size() int {
	size := len(a.body)
	for name, values := range a.header {
		size += len(name)
		for _, value := range values {
			size += len(value)
		}
	}
	return size
}

func (a *storedAnswer) replay(w http.ResponseWriter) {
	maps.Copy(w.Header(), a.header)
	w.Header().Set(ReplayedHeader, "true")
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}

// recorder passes an answer on and keeps it. It goes on when the caller has
// gone.
type recorder struct {
	http.ResponseWriter
	status     int
	body       bytes.Buffer
	tooLong    bool
	callerGone bool
}

func newRecorder(w http.ResponseWriter) *recorder { return &recorder{ResponseWriter: w} }

// Unwrap lets http.ResponseController reach the writer.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// WriteHeader passes the status on and keeps it.
func (r *recorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Write keeps what it passes on; it fails never.
func (r *recorder) Write(p []byte) (int, error) {
	if r.body.Len()+len(p) > admission.MaxAnswerSize {
		r.tooLong = true
	} else {
		r.body.Write(p)
	}
	if !r.callerGone {
		_, err := r.ResponseWriter.Write(p)
		r.callerGone = err != nil
	}
	return len(p), nil
}

// answer returns what was kept, or nil when it was too long.
func (r *recorder) answer() admission.Answer {
	if r.tooLong {
		return nil
	}
	return &storedAnswer{status: r.status, header: r.Header().Clone(), body: r.body.Bytes()}
}
