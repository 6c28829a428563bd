package frontend

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"cactustray/admission"
	"cactustray/hedging"
	"cactustray/ticket"
	"cactustray/trace"
)

// heldSize is how much of an answer is held back while the other copy may still answer, in
// bytes.
const heldSize = 64 << 10

// chunkSize is how much of an answer that is held back is read at once, in bytes.
const chunkSize = 8 << 10

// CopyCounters counts the second copies that an agent offers.
type CopyCounters struct {
	// Offered are the offers to peers, Won the copies whose answer a caller got.
	Offered atomic.Int64
	Won     atomic.Int64
	// CancelledLate are the copies, first or second, whose answer had begun when they were
	// cancelled, so that their work was in vain.
	CancelledLate atomic.Int64
}

// maxSegment bounds the path segment in a class, in bytes: callers choose it.
const maxSegment = 64

// classOf returns the class of a request: its method and the begin of the first segment of its path.
func classOf(r *http.Request) hedging.Class {
	segment, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	return hedging.Class(r.Method + " /" + segment[:min(len(segment), maxSegment)])
}

// mayHaveCopies reports whether two copies of a request may run: it is idempotent, a job,
// has no key, and its body is not known to be too long to be sent twice.
func mayHaveCopies(tk *ticket.Ticket, r *http.Request) bool {
	return isIdempotent(tk, r) && !tk.IsFeed(r.URL.Path) && r.Header.Get(KeyHeader) == "" &&
		r.ContentLength <= replayLimit
}

// hedgeDelay returns how long the first copy may wait for its answer before a second is
// offered. ok is false if the request gets no second copy. Only the agent that received the
// request from its caller offers one.
func (j *job) hedgeDelay() (delay time.Duration, ok bool) {
	if j.request.Copy || j.request.Reservation != 0 || !mayHaveCopies(j.tk, j.in) {
		return 0, false
	}
	return j.h.snapshot().Delay(classOf(j.in), time.Until(j.request.Deadline))
}

func (h *Handler) snapshot() *hedging.Snapshot {
	if h.Hedging == nil {
		return nil
	}
	return h.Hedging.Load()
}

// isRefusal reports whether an answer is a refusal or failure of the backend server.
func isRefusal(response *http.Response) bool {
	return response.StatusCode >= http.StatusInternalServerError || response.StatusCode == http.StatusTooManyRequests
}

// reportAnswer reports how long the backend server took to answer an ordinary request.
func (j *job) reportAnswer(response *http.Response, took time.Duration) {
	if j.request.Copy || j.request.Kind != admission.Job || isRefusal(response) || j.h.snapshot() == nil {
		return
	}
	j.h.Loop.Offer(hedging.Answered{Class: classOf(j.in), Took: took})
}

// panicked is the outcome of a copy whose goroutine panicked.
var panicked = result{outcome: unknown, detail: "internal error of the agent"}

// held is the answer of a copy as far as it was read, or its failure.
type held struct {
	copy   hedging.Copy
	ending hedging.Ending
	opened
}

// hold reads the answer of a copy, as far as it is held back. It stops early when alone is
// closed, which says that the other copy has ended without an answer.
func (h *Handler) hold(c hedging.Copy, o opened, alone <-chan struct{}) held {
	answer := held{copy: c, ending: hedging.Lost, opened: opened{failed: panicked}}
	h.contain(func() { answer = h.holdBody(c, o, alone) })
	return answer
}

func (h *Handler) holdBody(c hedging.Copy, o opened, alone <-chan struct{}) held {
	answer := held{copy: c, opened: o}
	if o.response == nil {
		answer.ending = endingOf(o.failed)
		return answer
	}
	read, rest, err := h.readHeld(o.response.Body, alone)
	switch {
	case err != nil && err != io.EOF || err == io.EOF && !isFramed(o.response):
		answer.ending = hedging.Lost
		answer.opened = opened{failed: result{outcome: unknown, detail: "answer broken off"}}
		_ = o.response.Body.Close()
		return answer
	case isRefusal(o.response):
		answer.ending = hedging.Refused
	case err == nil:
		answer.ending = hedging.Long
	default:
		answer.ending = hedging.Whole
	}
	o.response.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(read), rest), o.response.Body}
	return answer
}

// readHeld reads up to heldSize bytes of a body, until alone is closed. The error is that of
// the body, io.EOF at its end, or nil if the rest has not been read.
func (h *Handler) readHeld(body io.Reader, alone <-chan struct{}) (read []byte, rest io.Reader, err error) {
	for len(read) <= heldSize {
		next := h.readChunk(body)
		select {
		case c := <-next:
			read = append(read, c.data...)
			if c.err != nil {
				return read, http.NoBody, c.err
			}
		case <-alone:
			return read, io.MultiReader(&pendingChunk{next: next}, body), nil
		}
	}
	return read, body, nil
}

// chunk is the result of one read.
type chunk struct {
	data []byte
	err  error
}

// readChunk reads once, in a goroutine of its own: a read cannot be interrupted without
// closing the body.
func (h *Handler) readChunk(body io.Reader) <-chan chunk {
	next := make(chan chunk, 1)
	go func() {
		buffer := make([]byte, chunkSize)
		c := chunk{err: io.ErrUnexpectedEOF} // if the read panics, the answer is broken off
		h.contain(func() {
			n, err := body.Read(buffer)
			c = chunk{buffer[:n], err}
		})
		next <- c
	}()
	return next
}

// pendingChunk is a reader of the chunk that a read in progress returns.
type pendingChunk struct {
	next <-chan chunk
	chunk
}

func (p *pendingChunk) Read(b []byte) (int, error) {
	if p.next != nil {
		p.chunk, p.next = <-p.next, nil
	}
	n := copy(b, p.data)
	p.data = p.data[n:]
	switch {
	case len(p.data) > 0:
		return n, nil
	case p.err != nil:
		return n, p.err
	case n == 0:
		return 0, io.EOF // the caller goes on with the body
	}
	return n, nil
}

func endingOf(failed result) hedging.Ending {
	if failed.outcome == notRun {
		return hedging.NotRun
	}
	return hedging.Lost
}

// attemptHedged sends the request once as decided, and a second copy to a peer if the
// answer does not begin within the delay and the whole body has arrived. The length of the body
// is often not known before: HTTP/3 requests without one don't say so in a header.
func (j *job) attemptHedged(ctx context.Context, d admission.Decision, delay time.Duration) result {
	firstContext, cancel := context.WithCancel(ctx)
	defer cancel()
	began := make(chan opened, 1)
	go func() { began <- j.h.contained(func() opened { return j.open(firstContext, d) }) }()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case o := <-began:
		return j.answer(o)
	case <-timer.C:
		if j.in.ContentLength != 0 && !j.body.isBuffered() {
			return j.answer(<-began)
		}
		return j.race(ctx, d, began, cancel)
	}
}

// contain runs f in a goroutine started here, where net/http contains no panics.
func (h *Handler) contain(f func()) {
	if h.Contain == nil {
		f()
		return
	}
	h.Contain("copy of a request", f)
}

// contained runs the begin of a copy. After a panic the copy counts as lost.
func (h *Handler) contained(begin func() opened) opened {
	o := opened{failed: panicked}
	h.contain(func() { o = begin() })
	return o
}

// race sends a second copy and returns the result of the copy that wins. Answers are held
// back while the other copy may still answer.
func (j *job) race(ctx context.Context, d admission.Decision, began <-chan opened, cancelFirst context.CancelFunc) result {
	secondContext, cancelSecond := context.WithCancel(ctx)
	defer cancelSecond()
	var firstBegan, secondBegan atomic.Bool
	ended := make(chan held, 2)
	second := make(chan held, 1)
	// Closed when the first, or the second, copy has ended without an answer.
	firstFailed, secondFailed := make(chan struct{}), make(chan struct{})
	go func() {
		o := j.h.contained(func() opened { return j.openSecond(secondContext, d, &secondBegan) })
		second <- j.h.hold(hedging.Second, o, firstFailed)
	}()
	var race hedging.Race
	var copies [2]held
	select {
	case s := <-second:
		if s.response == nil { // no other answer can come: nothing is held back
			o := <-began
			if o.response == nil {
				return bothFailed(o.failed, s.ending)
			}
			return j.answer(o)
		}
		ended <- s
	case o := <-began:
		firstBegan.Store(o.response != nil)
		go func() { ended <- j.h.hold(hedging.First, o, secondFailed) }()
		began = nil
	}
	for {
		var h held
		select {
		case h = <-ended:
		case h = <-second:
		case o := <-began:
			firstBegan.Store(o.response != nil)
			go func() { ended <- j.h.hold(hedging.First, o, secondFailed) }()
			began = nil
			continue
		}
		copies[h.copy] = h
		winner, decided := race.End(h.copy, h.ending)
		if !decided {
			if h.response == nil {
				close([]chan struct{}{firstFailed, secondFailed}[h.copy])
			}
			continue
		}
		switch {
		case copies[winner].response == nil: // both have failed; the request may run again
			return bothFailed(copies[hedging.First].failed, race.Ended(hedging.Second))
		case winner == hedging.First:
			cancelSecond()
			j.h.countLate(secondBegan.Load())
		default:
			cancelFirst()
			j.finish(copies[hedging.First].failed) // frees the slot of the first copy
			j.h.countLate(firstBegan.Load())
			j.h.Copies.Won.Add(1)
		}
		return j.answer(copies[winner].opened)
	}
}

// bothFailed returns the result of a request whose copies have both failed. It may have run
// if one of them may have.
func bothFailed(first result, second hedging.Ending) result {
	if first.outcome == notRun && second == hedging.Lost {
		first.outcome, first.detail = unknown, "answer of the second copy lost"
	}
	return first
}

func (h *Handler) countLate(began bool) {
	if began {
		h.Copies.CancelledLate.Add(1)
	}
}

// openSecond offers the second copy of a request to peers, one after the other until one
// admits it, and returns the begin of the answer.
func (j *job) openSecond(ctx context.Context, d admission.Decision, began *atomic.Bool) opened {
	first := d.Peer
	self := ticket.EndpointKeyOf(j.tk.Service, j.h.Endpoint)
	tried := []ticket.EndpointKey{self}
	if first == 0 {
		first = self
	}
	failed := result{outcome: notRun, detail: "no peer for a second copy"}
	for range hedging.MaxOffers {
		peer, ok := j.h.snapshot().Choose(first, zoneOf(j.tk, first), tried, rand.Uint64())
		if !ok || ctx.Err() != nil {
			break
		}
		tried = append(tried, peer.Key)
		o := j.offer(ctx, peer.Key)
		if o.response != nil {
			began.Store(true)
			return o
		}
		failed = o.failed
		if failed.outcome != notRun {
			break
		}
	}
	return opened{failed: failed}
}

// offer sends a second copy to a peer, which refuses it at once or runs it.
func (j *job) offer(ctx context.Context, peer ticket.EndpointKey) opened {
	address, ok := j.h.addressOf(peer)
	if !ok {
		return opened{failed: result{outcome: notRun, detail: "peer not known"}}
	}
	ctx, span := trace.Start(ctx, "agent.copy")
	defer span.End()
	j.h.Copies.Offered.Add(1)
	response, failed := forward(j.outboundRequest(ctx), j.h.Peers, address, CopyPrefix)
	message := hedging.Offered{Peer: peer, Class: classOf(j.in), Verdict: hedging.NoRoom}
	if response != nil {
		message.Verdict, message.Delay = takeAdmission(response.Header)
	}
	if ctx.Err() == nil { // a cancelled copy says nothing about the peer
		j.h.Loop.Offer(message)
	}
	if response == nil {
		return opened{failed: failed}
	}
	if message.Verdict != hedging.Admitted {
		_ = response.Body.Close()
		return opened{failed: result{outcome: notRun, detail: "second copy refused by a peer"}}
	}
	return checkOutcome(response)
}

// zoneOf returns the failure domain of an endpoint, or "" if the ticket does not list it.
func zoneOf(tk *ticket.Ticket, key ticket.EndpointKey) string {
	for _, e := range tk.Endpoints {
		if ticket.EndpointKeyOf(tk.Service, e.Name) == key {
			return e.Zone
		}
	}
	return ""
}
