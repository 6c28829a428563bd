package frontend

import (
	"encoding/json"
	"net/http"
	"strconv"
)

const (
	// OutcomeHeader tells callers what became of a request that has no
	// answer of the backend server.
	OutcomeHeader = "Cactustray-Outcome"
	// OutcomeNotRun: the request never reached the backend server.
	OutcomeNotRun = "not-run"
	// OutcomeUnknown: the request may have run.
	OutcomeUnknown = "unknown"
	// retryAfter is when a caller may try again, in seconds.
	retryAfter = 1
)

// fate is what became of a request.
type fate int

const (
	// answered: the backend server's answer was passed on.
	answered fate = iota
	// notRun: the request never reached the backend server.
	notRun
	// unknown: the request may have run.
	unknown
	// cut: the answer began and did not come whole.
	cut
)

// result is the fate of a request, with words for the caller.
type result struct {
	fate   fate
	detail string
	// unreached tells that this agent's backend server could not be reached.
	unreached bool
}

// writeResult tells the caller what became of a request without an answer. An
// answer that was cut short ends the stream so that the caller can see it.
func writeResult(w http.ResponseWriter, r result) {
	switch r.fate {
	case notRun:
		writeNotRun(w, r.detail)
	case unknown:
		writeUnknown(w, r.detail)
	case cut:
		panic(http.ErrAbortHandler)
	}
}

func writeNotRun(w http.ResponseWriter, detail string) {
	w.Header().Set("Retry-After", strconv.Itoa(retryAfter))
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
