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

// The admission slice's events; docs/EVENTS.md explains each.
var (
	EventInvariantBroken = event.Define(1501, logrus.ErrorLevel, "admission invariant broken")
)

func limitsOf(t *ticket.Ticket) admission.Limits {
	return admission.Limits{
		Slots:     int(t.Limits.Slots),
		QueueTime: time.Duration(t.Limits.QueueMillis) * time.Millisecond,
		Feeds:     int(t.Limits.Connections),
		RampTime:  coldTime,
	}
}

// admissionState is the admission slice's part of the control state.
type admissionState struct {
	self    ticket.EndpointKey
	queue   *admission.State
	keeper  *admission.Keeper
	replies map[admission.RequestID]chan<- admission.Decision
	asks    map[admission.AskID]chan<- admission.Granted
	awaited []admission.OutcomeAwaited
	peers   *handover.Client
	agents  frontend.Addresses
	// open counts the requests that traffic goroutines serve.
	open *atomic.Int64
	// instruments are set before the control goroutine begins.
	instruments *instruments
}

func newAdmission(s *settings.Settings, log *event.Log, open *atomic.Int64, peers *handover.Client) *admissionState {
	now := time.Now()
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	broken := func(v admission.Violation) {
		log.Emit(EventInvariantBroken, event.Fields{"invariant": v.Invariant, "request": v.Request})
	}
	self := ticket.EndpointKeyOf(s.Agent.Service, s.Agent.Endpoint)
	return &admissionState{
		self:    self,
		queue:   admission.NewState(now, admission.Limits{}, random, broken),
		keeper:  admission.NewKeeper(now, self),
		replies: make(map[admission.RequestID]chan<- admission.Decision),
		asks:    make(map[admission.AskID]chan<- admission.Granted),
		peers:   peers,
		agents:  make(frontend.Addresses),
		open:    open,
	}
}

// idle tells whether no request is in progress, here or at a peer.
func (a *admissionState) idle() bool { return a.open.Load() == 0 }

// handleAdmission applies one message of the admission slice.
func (s *state) handleAdmission(now time.Time, message control.Message) {
	a := s.admission
	switch m := message.(type) {
	case admission.Arrived:
		a.replies[m.ID] = m.Reply
		a.apply(now, a.queue.Arrive(now, m.Request))
	case admission.Finished:
		a.unreached(now, m.Unreached)
		a.apply(now, a.queue.Finish(now, m.ID))
	case admission.Returned:
		a.replies[m.ID] = m.Reply
		a.unreached(now, m.Unreached)
		a.apply(now, a.queue.Return(now, m.ID, m.Attempt))
	case admission.Retried:
		a.replies[m.ID] = m.Reply
		a.apply(now, a.queue.Retry(now, m.ID))
	case admission.Gone:
		a.apply(now, a.queue.Leave(now, m.ID))
		delete(a.replies, m.ID)
	default:
		a.handleExchange(now, message)
		a.handleKeeper(now, message)
	}
}

func (a *admissionState) unreached(now time.Time, unreached bool) {
	if unreached {
		a.queue.Unreached(now)
	}
}

func (a *admissionState) handleExchange(now time.Time, message control.Message) {
	switch m := message.(type) {
	case admission.SlotAsked:
		a.asks[m.Ask] = m.Reply
		a.apply(now, a.queue.SlotAsked(now, m.Ask, m.Waited))
	case admission.SlotWithdrawn:
		delete(a.asks, m.Ask)
		a.queue.SlotWithdrawn(m.Ask)
	case admission.ReservationDeclined:
		a.apply(now, a.queue.ReservationDeclined(now, m.Reservation))
	case admission.SlotOffered:
		out, used := a.queue.SlotOffered(now, m.Peer, m.Reservation)
		m.Reply <- used
		a.apply(now, out)
	case admission.AskEnded:
		a.apply(now, a.queue.AskEnded(m.Peer, m.Failed))
	}
}

func (a *admissionState) handleKeeper(now time.Time, message control.Message) {
	switch m := message.(type) {
	case admission.Claimed:
		a.keeper.CameBack(m.Key, m.Pass)
		m.Reply <- a.keeper.Claim(now, m.Key, m.Fingerprint)
	case admission.Recollected:
		m.Reply <- a.keeper.Recalled(now, m.Key, m.Memories)
		a.answerAwaited()
	case admission.OutcomeAwaited:
		a.awaited = append(a.awaited, m)
		a.answerAwaited()
	case admission.OutcomeSettled:
		a.settle(now, m)
	case admission.Witnessed:
		m.Reply <- a.keeper.PassOn(now, m.Key, m.Pass)
	}
}

func (a *admissionState) settle(now time.Time, m admission.OutcomeSettled) {
	if m.NotRun {
		a.keeper.Dropped(now, m.Key)
	} else {
		a.keeper.Settled(now, m.Key, m.Answer)
	}
	a.answerAwaited()
}

// answerAwaited answers those whose key's first request has ended.
func (a *admissionState) answerAwaited() {
	a.awaited = slices.DeleteFunc(a.awaited, func(m admission.OutcomeAwaited) bool {
		claim, ended := a.keeper.Await(m.Key, m.Fingerprint)
		if ended {
			m.Reply <- claim
		}
		return ended
	})
}

// apply carries out what a decision brings about.
func (a *admissionState) apply(now time.Time, out admission.Outputs) {
	for _, d := range out.Decisions {
		reply := a.replies[d.ID]
		delete(a.replies, d.ID)
		a.instruments.decided(d)
		if reply != nil {
			reply <- d
		}
	}
	for _, g := range out.Granted {
		if reply := a.asks[g.Ask]; reply != nil {
			reply <- g
		}
		delete(a.asks, g.Ask)
	}
	for _, peer := range out.Withdraw {
		a.peers.Withdraw(peer)
	}
	for _, peer := range out.Ask {
		a.peers.Ask(peer, a.agents[peer], a.queue.Waited(now))
	}
}

func (a *admissionState) tick(now time.Time, gap time.Duration) {
	a.apply(now, a.queue.Tick(now, gap))
	a.instruments.observe(a.queue)
	a.keeper.Tick(now, gap)
}

// drain refuses new work and tells peers that ask that there is no slot.
func (a *admissionState) drain(now time.Time) {
	a.apply(now, a.queue.Drain(now))
	for ask, reply := range a.asks {
		reply <- admission.Granted{Ask: ask}
		delete(a.asks, ask)
	}
}

// setTicket takes the service's ticket in and returns where its agents are.
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
	a.keeper.SetMembers(now, frontend.MembersOf(t))
	a.apply(now, a.queue.SetPeers(now, peers))
	a.apply(now, a.queue.SetLimits(now, limitsOf(t)))
	agents := a.agents
	return &agents
}

// newHandler returns the traffic side of the admission slice.
func newHandler(s *settings.Settings, loop *control.Loop, p *published, peers *http.Client) *frontend.Handler {
	return &frontend.Handler{
		Loop:     loop,
		Ticket:   &p.ticket,
		Agents:   &p.agents,
		Open:     &p.open,
		Backend:  s.Agent.Backend,
		Endpoint: s.Agent.Endpoint,
		Clients:  frontend.NewBackendClients(),
		Peers:    peers,
	}
}

// peerHandler serves the other agents of the service, and next everything
// else. Forwarded paths go around http.ServeMux, which would clean them.
func peerHandler(loop *control.Loop, handler *frontend.Handler, tracer *trace.Tracer, next http.Handler) http.Handler {
	path, exchange := handover.NewServer(loop).Handler()
	exchange = identity.Require(exchange, identity.Agent)
	forwarded := identity.Require(tracer.HandedOver(http.HandlerFunc(handler.ServePeer)), identity.Agent)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case strings.HasPrefix(r.URL.Path, frontend.PeerPrefix+"/"):
			forwarded.ServeHTTP(w, r)
		case strings.HasPrefix(r.URL.Path, path):
			exchange.ServeHTTP(w, r)
		default:
			next.ServeHTTP(w, r)
		}
	})
}
