package frontend

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cactustray/admission"
	"cactustray/control"
	"cactustray/hedging"
)

const (
	// CopyPrefix is the path prefix of second copies that agents offer to each other. Agents
	// that know none answer 404, without admissionHeader.
	CopyPrefix = "/copy"
	// admissionHeader is the response header with the verdict on a second copy.
	admissionHeader = "Cactustray-Copy"
	// delayHeader is the response header with the delay of the request's class at the agent
	// that decided on the copy, in microseconds.
	delayHeader = "Cactustray-Copy-Delay-Us"
)

// ServeCopy serves the second copy of a request that another agent offers, under
// CopyPrefix. It refuses the copy at once or runs it on the backend server.
func (h *Handler) ServeCopy(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(EndpointHeader, h.Endpoint)
	r.URL.Path = strings.TrimPrefix(r.URL.Path, CopyPrefix)
	r.URL.RawPath = strings.TrimPrefix(r.URL.RawPath, CopyPrefix)
	h.InFlight.Add(1)
	defer h.InFlight.Add(-1)
	tk := h.Ticket.Load()
	if tk == nil || !mayHaveCopies(tk, r) {
		refuseCopy(w, hedging.Admission{Verdict: hedging.Off})
		return
	}
	j := h.newJob(w, r, tk)
	j.request.Idempotent, j.request.Copy = true, true
	j.body = newBody(r.Body)
	ctx, cancel := j.withDeadline(r.Context())
	defer cancel()
	decision, err := control.Call(ctx, h.Loop, func(reply chan<- admission.CopyDecision) control.Message {
		return admission.CopyArrived{Request: j.request, Class: classOf(r), Reply: reply}
	})
	if err != nil {
		_ = h.Loop.Send(context.WithoutCancel(ctx), admission.RequestCancelled{ID: j.request.ID})
		refuseCopy(w, hedging.Admission{Verdict: hedging.NoRoom})
		return
	}
	if decision.Verdict != hedging.Admitted {
		refuseCopy(w, decision.Admission)
		return
	}
	writeAdmission(w.Header(), decision.Admission)
	writeResult(w, j.runCopy(ctx, decision))
}

// runCopy runs an admitted copy and reports its end, so that its slot is free and its work
// is charged to the budget.
func (j *job) runCopy(ctx context.Context, d admission.CopyDecision) result {
	started := time.Now()
	r := j.attempt(ctx, d.Decision)
	j.finish(r)
	_ = j.h.Loop.Send(context.WithoutCancel(ctx), hedging.CopyEnded{Expected: d.Expected, Took: time.Since(started)})
	return r
}

func refuseCopy(w http.ResponseWriter, a hedging.Admission) {
	writeAdmission(w.Header(), a)
	writeNotRun(w, "second copy refused: "+a.Verdict.String())
}

func writeAdmission(header http.Header, a hedging.Admission) {
	header.Set(admissionHeader, a.Verdict.String())
	header.Set(delayHeader, strconv.FormatInt(a.Delay.Microseconds(), 10))
}

// takeAdmission removes the verdict on a second copy from an answer's headers and returns
// it. An agent that does not know second copies sends none, which counts as a refusal.
func takeAdmission(header http.Header) (hedging.Verdict, time.Duration) {
	verdict := hedging.ParseVerdict(header.Get(admissionHeader))
	micros, _ := strconv.ParseInt(header.Get(delayHeader), 10, 64)
	header.Del(admissionHeader)
	header.Del(delayHeader)
	return verdict, time.Duration(max(0, micros)) * time.Microsecond
}
