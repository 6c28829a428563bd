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
	// KeyOwnerHeader is the response header with the name of the key's owner,
	// the endpoint that stores the outcome of a keyed request.
	KeyOwnerHeader = "Cactustray-Keeper"
	// maxKeyedBody bounds the body of a keyed request, in bytes.
	maxKeyedBody = 1 << 20
	// maxKey bounds the length of a key, in bytes.
	maxKey = 255
	// maxOwnerHops is how often a keyed request may be forwarded while agents
	// have different tickets. The number of the ticket rises with each hop.
	maxOwnerHops = 4
	// catchUpTimeout bounds how long a keyed request waits for a ticket that
	// another agent has already.
	catchUpTimeout = 5 * time.Second
)

// keyed is a request with an idempotency key.
type keyed struct {
	*job
	key         admission.Key
	fingerprint admission.Fingerprint
	owner       ticket.EndpointKey
	hop         int
	forwardID   admission.ForwardID
	// forwarder is the endpoint whose agent forwarded the request and stores a
	// replica of the key's record.
	forwarder ticket.EndpointKey
	// departing are the endpoints whose agents stop and have left the key to
	// another one.
	departing []ticket.EndpointKey
}

// serveKeyed serves a request with a key. The key's owner runs it at most once;
// any other agent forwards it to the owner.
func (h *Handler) serveKeyed(w http.ResponseWriter, r *http.Request, tk *ticket.Ticket, hop int) {
	tk, ok := h.catchUp(r, tk)
	if !ok {
		writeUnknown(w, "agents hold different tickets")
		return
	}
	key := r.Header.Get(KeyHeader)
	payload, err := io.ReadAll(io.LimitReader(r.Body, maxKeyedBody+1))
	if err != nil || len(payload) > maxKeyedBody || len(key) > maxKey {
		writeProblem(w, http.StatusRequestEntityTooLarge, OutcomeNotRun, "key or body too long, or body cut short")
		return
	}
	k := &keyed{job: h.newJob(w, r, tk), key: admission.Key(key), fingerprint: fingerprint(r, payload), hop: hop}
	k.forwarder = ticket.EndpointKeyOf(tk.Service, r.Header.Get(forwarderHeader))
	r.Header.Del(forwarderHeader)
	k.forwardID = takeForwardID(r)
	k.departing = takeDeparting(r, tk)
	k.body = newBody(bytes.NewReader(payload))
	r.ContentLength = int64(len(payload))
	k.serveOrForward()
}

// serveOrForward serves the request if this agent owns the key, and otherwise forwards
// it to the owner. Endpoints whose agents have stopped or stop own no keys.
func (k *keyed) serveOrForward() {
	leftOut := append(k.h.departed(), k.departing...)
	owner, ok := admission.KeyOwner(k.key, admission.Without(MembersOf(k.tk).Owners, leftOut))
	if !ok {
		writeNotRun(k.out, "no endpoint in the ticket")
		return
	}
	k.owner = owner
	k.out.Header().Set(KeyOwnerHeader, nameOf(k.tk, owner))
	if owner == ticket.EndpointKeyOf(k.tk.Service, k.h.Endpoint) {
		k.serveAsOwner()
		return
	}
	k.forwardToOwner()
}

// departed returns the endpoints whose agents have stopped and have handed their
// records over to this one.
func (h *Handler) departed() []ticket.EndpointKey {
	if departed := h.Departed.Load(); departed != nil {
		return slices.Clone(*departed)
	}
	return nil
}

// takeDeparting removes the header that names departing endpoints from a request, and
// returns their keys.
func takeDeparting(r *http.Request, tk *ticket.Ticket) []ticket.EndpointKey {
	var departing []ticket.EndpointKey
	for _, name := range r.Header.Values(departingHeader) {
		departing = append(departing, ticket.EndpointKeyOf(tk.Service, name))
	}
	r.Header.Del(departingHeader)
	return departing
}

// takeForwardID removes the forward ID from a request's headers and returns it.
// The agent that receives the request from the caller chooses a random one.
func takeForwardID(r *http.Request) admission.ForwardID {
	id, err := strconv.ParseUint(r.Header.Get(forwardIDHeader), 10, 64)
	r.Header.Del(forwardIDHeader)
	if err != nil {
		id = rand.Uint64()
	}
	return admission.ForwardID(id)
}

// catchUp returns the ticket in force. It waits until that is at least as new
// as the ticket by which another agent forwarded the request: two agents that
// choose owners by different tickets would forward the request back and forth.
// ok is false if the newer ticket does not arrive in time.
func (h *Handler) catchUp(r *http.Request, tk *ticket.Ticket) (caughtUp *ticket.Ticket, ok bool) {
	number, _ := strconv.ParseUint(r.Header.Get(ticketHeader), 10, 64)
	r.Header.Del(ticketHeader)
	if ticket.Number(number) <= tk.Number {
		return tk, true
	}
	ctx, cancel := context.WithTimeout(r.Context(), catchUpTimeout)
	defer cancel()
	until, _ := ctx.Deadline()
	tk, err := control.Call(ctx, h.Loop, func(reply chan<- *ticket.Ticket) control.Message {
		return ticket.WaitRequest{Number: ticket.Number(number), Until: until, Reply: reply}
	})
	return tk, err == nil
}

// MembersOf returns the endpoints of a ticket that may have records of keys,
// and those of them that can own keys.
func MembersOf(tk *ticket.Ticket) admission.Members {
	var members admission.Members
	for _, e := range tk.Endpoints {
		key := ticket.EndpointKeyOf(tk.Service, e.Name)
		members.All = append(members.All, key)
		if !e.Draining {
			members.Owners = append(members.Owners, key)
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

// fingerprint returns a hash of a request's method, URI and body.
func fingerprint(r *http.Request, body []byte) admission.Fingerprint {
	hash := xxhash.New()
	for _, part := range []string{r.Method, r.URL.RequestURI()} {
		_, _ = hash.WriteString(strconv.Itoa(len(part)) + ":" + part)
	}
	_, _ = hash.Write(body)
	return admission.Fingerprint(hash.Sum64())
}

// forwardToOwner stores a replica of the key's record and forwards the request
// to the key's owner. If the owner can't be reached, the outcome is unknown: an
// earlier request with the key may have run.
func (k *keyed) forwardToOwner() {
	ctx, cancel := k.withDeadline(k.in.Context())
	defer cancel()
	if k.hop >= maxOwnerHops {
		writeUnknown(k.out, "agents hold different tickets")
		return
	}
	status, err := control.Call(ctx, k.h.Loop, func(reply chan<- admission.KeyStatus) control.Message {
		query := admission.KeyQuery{Owner: k.owner, ForwardID: k.forwardID}
		return admission.ReplicaRequested{Key: k.key, Query: query, Forwarded: true, Reply: reply}
	})
	if err != nil || status.Unreachable {
		writeUnknown(k.out, "no room to remember the key")
		return
	}
	address, _ := k.h.addressOf(k.owner)
	out := k.outboundRequest(ctx)
	out.Header.Set(ownerHopHeader, strconv.Itoa(k.hop+1))
	out.Header.Set(ticketHeader, strconv.FormatUint(uint64(k.tk.Number), 10))
	out.Header.Set(forwardIDHeader, strconv.FormatUint(uint64(k.forwardID), 10))
	if !status.Departing {
		out.Header.Set(forwarderHeader, k.h.Endpoint)
	}
	for _, departing := range k.departing {
		out.Header.Add(departingHeader, nameOf(k.tk, departing))
	}
	response, failed := forward(out, k.h.Peers, address, PeerPrefix)
	switch {
	case response != nil:
		defer response.Body.Close()
		writeResult(k.out, result{outcome: copyResponse(k.out, response)})
	case failed.outcome == notRun:
		writeUnknown(k.out, "keeper of the key not reached")
	default:
		writeResult(k.out, failed)
	}
}

// serveAsOwner serves the request on the agent of the key's owner. The claim
// has no deadline, since after Run the outcome must be reported.
func (k *keyed) serveAsOwner() {
	ctx, cancel := k.withDeadline(context.WithoutCancel(k.in.Context()))
	defer cancel()
	claim, err := k.claim(admission.Claimed{Key: k.key, Fingerprint: k.fingerprint, ForwardID: k.forwardID, Departing: k.departing})
	if err == nil && claim.Verdict == admission.Moved {
		k.departing = append(k.departing, k.owner)
		k.serveOrForward()
		return
	}
	if err == nil && claim.Verdict == admission.QueryPeers {
		claim, err = k.queryPeers(ctx, claim.Peers)
	} else if err == nil && claim.Verdict == admission.Run {
		k.replicate(ctx)
	}
	if err == nil && claim.Verdict == admission.Wait {
		claim, err = k.await(ctx)
	}
	if err != nil {
		writeUnknown(k.out, "first request with the key in progress")
		return
	}
	k.applyVerdict(ctx, claim)
}

// claim asks the control goroutine for the decision on the request.
func (k *keyed) claim(m admission.Claimed) (admission.Claim, error) {
	return control.Call(context.Background(), k.h.Loop, func(reply chan<- admission.Claim) control.Message {
		m.Reply = reply
		return m
	})
}

// await waits for the outcome of the first request with the key, until the
// deadline or until the caller gives up.
func (k *keyed) await(ctx context.Context) (admission.Claim, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(k.in.Context(), cancel)
	defer stop()
	return control.Call(ctx, k.h.Loop, func(reply chan<- admission.Claim) control.Message {
		return admission.OutcomeAwaited{Key: k.key, Fingerprint: k.fingerprint, Reply: reply}
	})
}

// queryPeers queries other agents about the key and returns the decision that
// results.
func (k *keyed) queryPeers(ctx context.Context, peers []ticket.EndpointKey) (admission.Claim, error) {
	statuses := make([]admission.KeyStatus, len(peers))
	var group sync.WaitGroup
	for i, peer := range peers {
		group.Go(func() { statuses[i] = k.queryPeer(ctx, peer) })
	}
	group.Wait()
	claim, err := control.Call(context.Background(), k.h.Loop, func(reply chan<- admission.Claim) control.Message {
		return admission.RecallFinished{Key: k.key, Statuses: statuses, Reply: reply}
	})
	stored := func(s admission.KeyStatus) bool { return !s.Departing }
	if err == nil && claim.Verdict == admission.Run && !slices.ContainsFunc(statuses, stored) {
		k.replicate(ctx)
	}
	return claim, err
}

// queryPeer queries one agent about the key, which also makes that agent store
// a replica of the key's record.
func (k *keyed) queryPeer(ctx context.Context, peer ticket.EndpointKey) admission.KeyStatus {
	address, ok := k.h.addressOf(peer)
	if !ok {
		return admission.KeyStatus{Unreachable: true}
	}
	return handover.Recall(ctx, k.h.Peers, address, k.key, admission.KeyQuery{Owner: k.owner, ForwardID: k.forwardID})
}

// replicate makes one other agent of the ticket store a replica of the key's
// record, unless the agent that forwarded the request has one.
func (k *keyed) replicate(ctx context.Context) {
	members := admission.Without(MembersOf(k.tk).All, append(k.h.departed(), k.owner))
	if k.hop > 0 && slices.Contains(members, k.forwarder) {
		return
	}
	for _, peer := range members {
		if status := k.queryPeer(ctx, peer); !status.Unreachable && !status.Departing {
			return
		}
	}
}

// applyVerdict runs or answers the request according to the claim.
func (k *keyed) applyVerdict(ctx context.Context, claim admission.Claim) {
	switch claim.Verdict {
	case admission.Run:
		k.runAndRecord(ctx)
	case admission.Replay:
		replay(k.out, claim.Answer.(*admission.StoredAnswer))
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

// runAndRecord runs the request and reports its outcome in any case, even if
// the caller has disconnected: a retry with the key then gets the recorded
// outcome.
func (k *keyed) runAndRecord(ctx context.Context) {
	recorder := newRecorder(k.out)
	message := admission.OutcomeSettled{Key: k.key}
	defer func() { _ = k.h.Loop.Send(context.Background(), message) }()
	caller := k.out
	k.out = recorder
	r := k.process(ctx)
	switch r.outcome {
	case answered:
		message.Answer = recorder.answer()
	case notRun:
		message.NotRun = true
	}
	writeResult(caller, r)
}
