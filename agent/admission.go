package agent

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"cactustray/admission"
	"cactustray/admission/frontend"
	"cactustray/admission/handover"
	"cactustray/control"
	"cactustray/event"
	"cactustray/identity"
	"cactustray/settings"
	"cactustray/ticket"
	"cactustray/trace"

	"github.com/sirupsen/logrus"
)

// The events of the admission slice; docs/EVENTS.md explains each.
var (
	EventInvariantBroken = event.Define(1501, logrus.ErrorLevel, "admission invariant broken")
)

func limitsOf(t *ticket.Ticket) admission.Limits {
	return admission.Limits{
		Slots:     int(t.Limits.Slots),
		QueueTime: time.Duration(t.Limits.QueueMillis) * time.Millisecond,
		Feeds:     int(t.Limits.Connections),
		RampTime:  warmUpTime,
	}
}

// admissionState is the part of the control state that belongs to the admission
// slice. The maps hold the reply channels of requests that wait for a decision
// and of peers' requests that wait for a slot.
type admissionState struct {
	self           ticket.EndpointKey
	queue          *admission.State
	keys           *admission.KeyTable
	replies        map[admission.RequestID]chan<- admission.Decision
	slotRequests   map[admission.SlotRequestID]chan<- admission.Grant
	outcomeWaiters []admission.OutcomeAwaited
	peers          *handover.Client
	agents         frontend.Addresses
	// departed publishes the endpoints that own no keys, since their agents have stopped.
	departed *atomic.Pointer[[]ticket.EndpointKey]
	// inFlight is the number of requests that traffic goroutines serve.
	inFlight *atomic.Int64
	// instruments is set before the control goroutine starts.
	instruments *instruments
}

func newAdmission(s *settings.Settings, log *event.Log, p *published, peers *handover.Client) *admissionState {
	now := time.Now()
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	logViolation := func(v admission.Violation) {
		log.Emit(EventInvariantBroken, event.Fields{"invariant": v.Invariant, "request": v.Request})
	}
	self := ticket.EndpointKeyOf(s.Agent.Service, s.Agent.Endpoint)
	return &admissionState{
		self:         self,
		queue:        admission.NewState(now, admission.Limits{}, random, logViolation),
		keys:         admission.NewKeyTable(now, self),
		replies:      make(map[admission.RequestID]chan<- admission.Decision),
		slotRequests: make(map[admission.SlotRequestID]chan<- admission.Grant),
		peers:        peers,
		agents:       make(frontend.Addresses),
		departed:     &p.departed,
		inFlight:     &p.inFlight,
	}
}

// idle reports whether no request is in progress, here or forwarded to a peer.
func (a *admissionState) idle() bool { return a.inFlight.Load() == 0 }

// handleAdmission applies one message of the admission slice.
func (s *state) handleAdmission(now time.Time, message control.Message) {
	a := s.admission
	switch m := message.(type) {
	case admission.Arrived:
		a.replies[m.ID] = m.Reply
		a.apply(now, a.queue.Arrive(now, m.Request))
	case admission.Finished:
		a.backendUnreachable(now, m.BackendUnreachable)
		a.apply(now, a.queue.Finish(now, m.ID))
	case admission.Returned:
		a.replies[m.ID] = m.Reply
		a.backendUnreachable(now, m.BackendUnreachable)
		a.apply(now, a.queue.Return(now, m.ID, m.Attempt))
	case admission.RetryRequested:
		a.replies[m.ID] = m.Reply
		a.backendUnreachable(now, m.BackendUnreachable)
		a.apply(now, a.queue.Retry(now, m.ID))
	case admission.RequestCancelled:
		a.apply(now, a.queue.Cancel(now, m.ID))
		delete(a.replies, m.ID)
	default:
		a.handleSlots(now, message)
		a.handleKeys(now, message)
	}
}

func (a *admissionState) backendUnreachable(now time.Time, backendUnreachable bool) {
	if backendUnreachable {
		a.queue.BackendUnreachable(now)
	}
}

func (a *admissionState) handleSlots(now time.Time, message control.Message) {
	switch m := message.(type) {
	case admission.SlotRequested:
		a.slotRequests[m.SlotRequest] = m.Reply
		a.apply(now, a.queue.SlotRequested(now, m.SlotRequest, m.Waited))
	case admission.SlotWithdrawn:
		delete(a.slotRequests, m.SlotRequest)
		a.queue.SlotWithdrawn(m.SlotRequest)
	case admission.ReservationDeclined:
		a.apply(now, a.queue.ReservationDeclined(now, m.Reservation))
	case admission.SlotOffered:
		out, used := a.queue.SlotOffered(now, m.Peer, m.Reservation)
		m.Reply <- used
		a.apply(now, out)
	case admission.SlotRequestEnded:
		a.apply(now, a.queue.SlotRequestEnded(m.Peer, m.Failed))
	}
}

func (a *admissionState) handleKeys(now time.Time, message control.Message) {
	switch m := message.(type) {
	case admission.Claimed:
		a.keys.RemoveForwarded(m.Key, m.ForwardID)
		m.Reply <- a.keys.Claim(now, m.Key, m.Fingerprint, m.Departing)
	case admission.RecallFinished:
		m.Reply <- a.keys.FinishRecall(now, m.Key, m.Statuses)
		a.answerOutcomeWaiters()
	case admission.OutcomeAwaited:
		a.outcomeWaiters = append(a.outcomeWaiters, m)
		a.answerOutcomeWaiters()
	case admission.OutcomeSettled:
		a.settle(now, m)
	case admission.ReplicaRequested:
		if m.Forwarded {
			m.Reply <- a.keys.AddForwarded(now, m.Key, m.Query)
		} else {
			m.Reply <- a.keys.AddReplica(now, m.Key, m.Query)
		}
	case admission.HandOverRequested:
		m.Reply <- a.keys.HandOver(now)
	case admission.DepartureReceived:
		accepted := a.keys.ReceiveDeparture(now, m.Departure)
		a.publishDeparted(now)
		m.Reply <- accepted
		a.answerOutcomeWaiters()
	}
}

func (a *admissionState) settle(now time.Time, m admission.OutcomeSettled) {
	if m.NotRun {
		a.keys.RecordNotRun(now, m.Key)
	} else {
		a.keys.RecordOutcome(now, m.Key, m.Answer)
	}
	a.answerOutcomeWaiters()
}

// answerOutcomeWaiters answers the waiting requests whose idempotency key's first
// request has ended.
func (a *admissionState) answerOutcomeWaiters() {
	a.outcomeWaiters = slices.DeleteFunc(a.outcomeWaiters, func(m admission.OutcomeAwaited) bool {
		claim, ended := a.keys.Outcome(m.Key, m.Fingerprint)
		if ended {
			m.Reply <- claim
		}
		return ended
	})
}

// apply sends decisions and grants to those that wait for them, and calls peers to
// request or withdraw slots.
func (a *admissionState) apply(now time.Time, out admission.Outputs) {
	for _, d := range out.Decisions {
		reply := a.replies[d.ID]
		delete(a.replies, d.ID)
		a.instruments.countDecision(d)
		if reply != nil {
			reply <- d
		}
	}
	for _, g := range out.Grants {
		if reply := a.slotRequests[g.SlotRequest]; reply != nil {
			reply <- g
		}
		delete(a.slotRequests, g.SlotRequest)
	}
	for _, peer := range out.WithdrawFrom {
		a.peers.Withdraw(peer)
	}
	for _, peer := range out.RequestFrom {
		a.peers.RequestSlot(peer, a.agents[peer], a.queue.OldestWait(now))
	}
}

func (a *admissionState) tick(now time.Time, gap time.Duration) {
	a.apply(now, a.queue.Tick(now, gap))
	a.instruments.observe(a.queue)
	a.keys.Tick(now, gap)
	a.publishDeparted(now)
}

func (a *admissionState) publishDeparted(now time.Time) {
	departed := a.keys.Departed(now)
	if known := a.departed.Load(); known == nil || !slices.Equal(*known, departed) {
		a.departed.Store(&departed)
	}
}

// drain makes the queue refuse new work, and answers peers that wait for a slot with
// an empty grant.
func (a *admissionState) drain(now time.Time) {
	a.apply(now, a.queue.Drain(now))
	for id, reply := range a.slotRequests {
		reply <- admission.Grant{SlotRequest: id}
		delete(a.slotRequests, id)
	}
}

// setTicket applies the service's ticket and returns the addresses of the service's
// agents.
func (a *admissionState) setTicket(now time.Time, t *ticket.Ticket) *frontend.Addresses {
	var peers []ticket.EndpointKey
	a.agents = maps.Clone(a.agents)
	for _, e := range t.Endpoints {
		key := ticket.EndpointKeyOf(t.Service, e.Name)
		a.agents[key] = e.Control
		if key != a.self && !e.Draining {
			peers = append(peers, key)
		}
	}
	a.keys.SetMembers(now, frontend.MembersOf(t))
	a.apply(now, a.queue.SetPeers(now, peers))
	a.apply(now, a.queue.SetLimits(now, limitsOf(t)))
	agents := a.agents
	return &agents
}

// newHandler returns the handler of callers' requests, the traffic side of the
// admission slice.
func newHandler(s *settings.Settings, loop *control.Loop, p *published, peers *http.Client) *frontend.Handler {
	return &frontend.Handler{
		Loop:     loop,
		Ticket:   &p.ticket,
		Agents:   &p.agents,
		Departed: &p.departed,
		InFlight: &p.inFlight,
		Backend:  s.Agent.Backend,
		Endpoint: s.Agent.Endpoint,
		Client:   frontend.NewBackendClient(),
		Peers:    peers,
		Hedging:  &p.hedging,
	}
}

// peerHandler serves calls of the service's other agents and passes all other
// requests to next. Forwarded requests bypass http.ServeMux, which would clean
// their paths.
func peerHandler(loop *control.Loop, handler *frontend.Handler, tracer *trace.Tracer, next http.Handler) http.Handler {
	path, exchange := handover.NewServer(loop).Handler()
	exchange = identity.Require(exchange, identity.Agent)
	copies := identity.Require(tracer.PeerRequests(http.HandlerFunc(handler.ServeCopy)), identity.Agent)
	forwarded := identity.Require(tracer.PeerRequests(http.HandlerFunc(handler.ServePeer)), identity.Agent)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case strings.HasPrefix(r.URL.Path, frontend.PeerPrefix+"/"):
			forwarded.ServeHTTP(w, r)
		case strings.HasPrefix(r.URL.Path, frontend.CopyPrefix+"/"):
			copies.ServeHTTP(w, r)
		case strings.HasPrefix(r.URL.Path, path):
			exchange.ServeHTTP(w, r)
		default:
			next.ServeHTTP(w, r)
		}
	})
}
