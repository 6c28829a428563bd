package frontend

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

const (
	// OutcomeHeader is the response header with the outcome of a request that
	// has no answer of the backend server.
	OutcomeHeader = "Cactustray-Outcome"
	// OutcomeNotRun: the request never reached the backend server.
	OutcomeNotRun = "not-run"
	// OutcomeUnknown: the request may have run.
	OutcomeUnknown = "unknown"
	// minRetryAfter is the least time after which a caller may try again; the Retry-After
	// header has whole seconds.
	minRetryAfter = time.Second
)

// outcome is the outcome of a request.
type outcome int

const (
	// answered: the backend server's answer was copied to the caller.
	answered outcome = iota
	// notRun: the request never reached the backend server.
	notRun
	// unknown: the request may have run.
	unknown
	// truncated: the answer began, but was not copied completely.
	truncated
)

// result is the outcome of a request, with a description for the caller.
type result struct {
	outcome outcome
	detail  string
	// backendUnreachable is true if this agent's backend server could not be
	// reached.
	backendUnreachable bool
	// retryAfter is when a caller whose request was refused for the load should return.
	retryAfter time.Duration
}

// writeResult writes the outcome of a request that has no answer to the caller.
// If the answer was truncated, it aborts the stream, so that the caller
// notices.
func writeResult(w http.ResponseWriter, r result) {
	switch r.outcome {
	case notRun:
		writeNotRunUntil(w, r.detail, r.retryAfter)
	case unknown:
		writeUnknown(w, r.detail)
	case truncated:
		panic(http.ErrAbortHandler)
	}
}

func writeNotRun(w http.ResponseWriter, detail string) { writeNotRunUntil(w, detail, 0) }

// writeNotRunUntil writes the outcome of a request that has not run, with the time after
// which its caller should return.
func writeNotRunUntil(w http.ResponseWriter, detail string, retryAfter time.Duration) {
	seconds := (max(retryAfter, minRetryAfter) + time.Second - 1) / time.Second
	w.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	writeProblem(w, http.StatusServiceUnavailable, OutcomeNotRun, detail)
}

func writeUnknown(w http.ResponseWriter, detail string) {
	writeProblem(w, http.StatusGatewayTimeout, OutcomeUnknown, detail)
}

// problem is an RFC 9457 problem document.
type problem struct {
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Outcome string `json:"outcome"`
	Detail  string `json:"detail"`
}

func writeProblem(w http.ResponseWriter, status int, outcome, detail string) {
	w.Header().Set(OutcomeHeader, outcome)
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problem{Title: http.StatusText(status), Status: status, Outcome: outcome, Detail: detail})
}
