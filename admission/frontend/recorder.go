package frontend

import (
	"bytes"
	"maps"
	"net/http"

	"cactustray/admission"
)

// ReplayedHeader is the response header that marks the stored answer of an
// earlier request with the same key.
const ReplayedHeader = "Idempotency-Replayed"

// storedAnswer is an answer of the backend server. It is immutable.
type storedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// Size returns the size of the header and the body, in bytes.
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

// recorder writes an answer to the caller and records it. It goes on recording
// after the caller has disconnected.
type recorder struct {
	http.ResponseWriter
	status       int
	body         bytes.Buffer
	tooLong      bool
	disconnected bool
}

func newRecorder(w http.ResponseWriter) *recorder { return &recorder{ResponseWriter: w} }

// Unwrap gives http.ResponseController access to the underlying writer.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// WriteHeader records the status and writes it to the caller.
func (r *recorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Write records p and writes it to the caller. It never fails, so that the
// answer is read to its end.
func (r *recorder) Write(p []byte) (int, error) {
	if r.body.Len()+len(p) > admission.MaxAnswerSize {
		r.tooLong = true
	} else {
		r.body.Write(p)
	}
	if !r.disconnected {
		_, err := r.ResponseWriter.Write(p)
		r.disconnected = err != nil
	}
	return len(p), nil
}

// answer returns the recorded answer, or nil if its body exceeds
// admission.MaxAnswerSize.
func (r *recorder) answer() admission.Answer {
	if r.tooLong {
		return nil
	}
	return &storedAnswer{status: r.status, header: r.Header().Clone(), body: r.body.Bytes()}
}
