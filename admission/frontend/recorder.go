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

// replay writes a stored answer. The key may have another owner than when it was stored.
func replay(w http.ResponseWriter, a *admission.StoredAnswer) {
	owner := w.Header().Get(KeyOwnerHeader)
	maps.Copy(w.Header(), a.Header)
	w.Header().Set(KeyOwnerHeader, owner)
	w.Header().Set(ReplayedHeader, "true")
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
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
	return &admission.StoredAnswer{Status: r.status, Header: r.Header().Clone(), Body: r.body.Bytes()}
}
