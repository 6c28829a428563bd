package frontend

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"cactustray/admission"
	"cactustray/admission/handover"
	"cactustray/control"
	"cactustray/ticket"

	"github.com/cespare/xxhash/v2"
)

const (
	// KeeperHeader names the endpoint that keeps the outcome of a keyed
	// request.
	KeeperHeader = "Cactustray-Keeper"
	// maxKeyedBody bounds the body of a keyed request, in bytes.
	maxKeyedBody = 1 << 20
	// maxKey bounds a key, in bytes.
	maxKey = 255
	// maxKeeperHops is how often a keyed request is forwarded while agents
	// hold different tickets: the number of the ticket rises with each hop.
	maxKeeperHops = 4
	// catchUpTime bounds how long a keyed request waits for a ticket that
	// another agent holds already.
	catchUpTime = 5 * time.Second
)

// keyed is a request with a key.
type keyed struct {
	*job
	key         admission.Key
	fingerprint admission.Fingerprint
	keeper      ticket.EndpointKey
	hop         int
	pass        admission.PassID
	// witness is the agent that passed the request on.
	witness ticket.EndpointKey
}

// serveKeyed runs a request with a key at most once: its keeper owns the
// outcome.
func (h *Handler) serveKeyed(w http.ResponseWriter, r *http.Request, tk *ticket.Ticket, hop int) {
	tk, ok := h.catchUp(r, tk)
	if !ok {
		writeUnknown(w, "agents hold different tickets")
		return
	}
	key := r.Header.Get(KeyHeader)
	whole, err := io.ReadAll(io.LimitReader(r.Body, maxKeyedBody+1))
	if err != nil || len(whole) > maxKeyedBody || len(key) > maxKey {
		writeProblem(w, http.StatusRequestEntityTooLarge, OutcomeNotRun, "key or body too long, or body cut short")
		return
	}
	k := &keyed{job: h.newJob(w, r, tk), key: admission.Key(key), fingerprint: fingerprint(r, whole), hop: hop}
	k.witness = ticket.EndpointKeyOf(tk.Service, r.Header.Get(witnessHeader))
	r.Header.Del(witnessHeader)
	k.pass = passOf(r)
	k.body = newBody(bytes.NewReader(whole))
	r.ContentLength = int64(len(whole))
	keeper, ok := admission.KeeperOf(k.key, MembersOf(tk).Keepers)
	if !ok {
		writeNotRun(w, "no endpoint in the ticket")
		return
	}
	k.keeper = keeper
	w.Header().Set(KeeperHeader, nameOf(tk, keeper))
	if keeper == ticket.EndpointKeyOf(tk.Service, h.Endpoint) {
		k.keep()
		return
	}
	k.passOn()
}

// passOf returns what names a request on its way between agents; the first agent
// chooses it.
func passOf(r *http.Request) admission.PassID {
	pass, err := strconv.ParseUint(r.Header.Get(passHeader), 10, 64)
	r.Header.Del(passHeader)
	if err != nil {
		pass = rand.Uint64()
	}
	return admission.PassID(pass)
}

// catchUp returns the ticket in force here, which must not be older than the
// one by which another agent passed the request on: two agents that choose
// keepers by different tickets would pass the request to and fro.
func (h *Handler) catchUp(r *http.Request, tk *ticket.Ticket) (caughtUp *ticket.Ticket, ok bool) {
	number, _ := strconv.ParseUint(r.Header.Get(ticketHeader), 10, 64)
	r.Header.Del(ticketHeader)
	if ticket.Number(number) <= tk.Number {
		return tk, true
	}
	ctx, cancel := context.WithTimeout(r.Context(), catchUpTime)
	defer cancel()
	until, _ := ctx.Deadline()
	tk, err := control.Ask(ctx, h.Loop, func(reply chan<- *ticket.Ticket) control.Message {
		return ticket.Awaited{Number: ticket.Number(number), Until: until, Reply: reply}
	})
	return tk, err == nil
}

// MembersOf returns the endpoints of a ticket that keep or may see keys.
func MembersOf(tk *ticket.Ticket) admission.Members {
	var members admission.Members
	for _, e := range tk.Endpoints {
		key := ticket.EndpointKeyOf(tk.Service, e.Name)
		members.All = append(members.All, key)
		if !e.Draining {
			members.Keepers = append(members.Keepers, key)
		}
	}
	return members
}

func nameOf(tk *ticket.Ticket, key ticket.EndpointKey) string {
	for _, e := range tk.Endpoints {
		if ticket.EndpointKeyOf(tk.Service, e.Name) == key {
			return e.Name
		}
	}
	return ""
}

func fingerprint(r *http.Request, whole []byte) admission.Fingerprint {
	hash := xxhash.New()
	for _, part := range []string{r.Method, r.URL.RequestURI()} {
		_, _ = hash.WriteString(strconv.Itoa(len(part)) + ":" + part)
	}
	_, _ = hash.Write(whole)
	return admission.Fingerprint(hash.Sum64())
}

// passOn forwards the request to its keeper, and remembers the key as a
// witness. When the keeper can't be reached nobody knows whether an earlier
// request with the key ran.
func (k *keyed) passOn() {
	ctx, cancel := k.limit(k.in.Context())
	defer cancel()
	if k.hop >= maxKeeperHops {
		writeUnknown(k.out, "agents hold different tickets")
		return
	}
	memory, err := control.Ask(ctx, k.h.Loop, func(reply chan<- admission.Memory) control.Message {
		return admission.Witnessed{Key: k.key, Pass: k.pass, Reply: reply}
	})
	if err != nil || memory.Unreached {
		writeUnknown(k.out, "no room to remember the key")
		return
	}
	address, _ := k.h.addressOf(k.keeper)
	out := k.outgoing(ctx)
	out.Header.Set(keeperHopHeader, strconv.Itoa(k.hop+1))
	out.Header.Set(ticketHeader, strconv.FormatUint(uint64(k.tk.Number), 10))
	out.Header.Set(passHeader, strconv.FormatUint(uint64(k.pass), 10))
	out.Header.Set(witnessHeader, k.h.Endpoint)
	response, failed := forward(out, k.h.Peers, address)
	switch {
	case response != nil:
		defer response.Body.Close()
		writeResult(k.out, result{fate: copyResponse(k.out, response)})
	case failed.fate == notRun:
		writeUnknown(k.out, "keeper of the key not reached")
	default:
		writeResult(k.out, failed)
	}
}

// keep serves the request as its key's keeper. The claim is asked for with no
// deadline, since after Run the outcome must be settled.
func (k *keyed) keep() {
	ctx, cancel := k.limit(context.WithoutCancel(k.in.Context()))
	defer cancel()
	claim, err := k.claim(admission.Claimed{Key: k.key, Fingerprint: k.fingerprint, Pass: k.pass})
	if err == nil && claim.Verdict == admission.AskOthers {
		claim, err = k.recall(ctx, claim.Ask)
	} else if err == nil && claim.Verdict == admission.Run {
		k.askWitness(ctx)
	}
	if err == nil && claim.Verdict == admission.Wait {
		claim, err = k.await(ctx)
	}
	if err != nil {
		writeUnknown(k.out, "first request with the key in progress")
		return
	}
	k.follow(ctx, claim)
}

func (k *keyed) claim(m admission.Claimed) (admission.Claim, error) {
	return control.Ask(context.Background(), k.h.Loop, func(reply chan<- admission.Claim) control.Message {
		m.Reply = reply
		return m
	})
}

func (k *keyed) await(ctx context.Context) (admission.Claim, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(k.in.Context(), cancel)
	defer stop()
	return control.Ask(ctx, k.h.Loop, func(reply chan<- admission.Claim) control.Message {
		return admission.OutcomeAwaited{Key: k.key, Fingerprint: k.fingerprint, Reply: reply}
	})
}

// recall asks others what they know of the key.
func (k *keyed) recall(ctx context.Context, others []ticket.EndpointKey) (admission.Claim, error) {
	memories := make([]admission.Memory, len(others))
	var group sync.WaitGroup
	for i, other := range others {
		group.Go(func() { memories[i] = k.memoryOf(ctx, other) })
	}
	group.Wait()
	return control.Ask(context.Background(), k.h.Loop, func(reply chan<- admission.Claim) control.Message {
		return admission.Recollected{Key: k.key, Memories: memories, Reply: reply}
	})
}

func (k *keyed) memoryOf(ctx context.Context, other ticket.EndpointKey) admission.Memory {
	address, ok := k.h.addressOf(other)
	if !ok {
		return admission.Memory{Unreached: true}
	}
	return handover.Recall(ctx, k.h.Peers, address, k.key)
}

// askWitness makes one other agent of the ticket remember the key, unless one
// has passed it on.
func (k *keyed) askWitness(ctx context.Context) {
	members := MembersOf(k.tk).All
	if k.hop > 0 && slices.Contains(members, k.witness) {
		return
	}
	for _, other := range members {
		if other != k.keeper && !k.memoryOf(ctx, other).Unreached {
			return
		}
	}
}

func (k *keyed) follow(ctx context.Context, claim admission.Claim) {
	switch claim.Verdict {
	case admission.Run:
		k.runKept(ctx)
	case admission.Replay:
		claim.Answer.(*keptAnswer).replay(k.out)
	case admission.Mismatch:
		writeProblem(k.out, http.StatusUnprocessableEntity, OutcomeNotRun, "the key belongs to another request")
	case admission.Full:
		writeNotRun(k.out, "no room to remember the key")
	case admission.FirstNotRun:
		writeNotRun(k.out, "first request with the key not run")
	default:
		writeUnknown(k.out, "an earlier request with the key may have run")
	}
}

// runKept runs the request and settles its outcome, whatever happens. The
// caller may go: a retry with the key meets the outcome.
func (k *keyed) runKept(ctx context.Context) {
	writer := newRecorder(k.out)
	settled := admission.OutcomeSettled{Key: k.key}
	defer func() { _ = k.h.Loop.Send(context.Background(), settled) }()
	caller := k.out
	k.out = writer
	r := k.process(ctx)
	switch r.fate {
	case answered:
		settled.Answer = writer.answer()
	case notRun:
		settled.NotRun = true
	}
	writeResult(caller, r)
}
