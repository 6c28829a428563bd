package steering

import (
	"testing"

	"cactustray/ticket"

	"github.com/shoenig/test/must"
)

func TestDecide(t *testing.T) {
	register := ticket.NewRegister()
	addTickets(register, ticketOf(0, 1, 100, 100), ticketOf(1, 1, 100))
	availability := fakeAvailability{stopped: map[ticket.EndpointKey]Incarnation{keyOf(0, 1): 5}}
	table := NewState().Update(start, register, availability)
	owned := func(service, i int, incarnation Incarnation) Packet {
		return Packet{Address: address(10, 0), HasOwner: true, Owner: Owner{Endpoint: keyOf(service, i), Incarnation: incarnation}}
	}
	cases := []struct {
		name   string
		packet Packet
		want   Reason
	}{
		{"owner", owned(0, 0, 7), Forwarded},
		{"stopped owner", owned(0, 1, 5), OwnerGone},
		{"owner after a stopped one", owned(0, 1, 6), Forwarded},
		{"owner of another service", owned(1, 0, 7), ForeignOwner},
		{"forged owner", owned(9, 9, 7), UnknownOwner},
		{"opening", Packet{Address: address(10, 0), Opening: true, Flow: 1}, Forwarded},
		{"no token", Packet{Address: address(10, 0)}, NoOwner},
		{"flow without tokens", Packet{Address: address(10, 0), Tokenless: true}, Forwarded},
		{"unknown address", Packet{Address: address(10, 7), Opening: true}, UnknownService},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			verdict := table.Decide(c.packet)
			must.EqOp(t, c.want, verdict.Reason)
			must.EqOp(t, c.want != Forwarded && c.want != OwnerGone, verdict.Dropped())
			if !verdict.Dropped() {
				must.EqOp(t, verdict.Service.Key, verdict.Endpoint.Service)
			}
		})
	}
}

// agentSnapshot returns the snapshot of endpoint 0 of service 0. Its previous
// ticket has endpoints 0 and 1, its current ticket endpoints 0 and 2.
func agentSnapshot() *AgentSnapshot {
	s := &AgentSnapshot{Owner: Owner{Endpoint: keyOf(0, 0), Incarnation: 7}, Service: ticketOf(0, 1).Key()}
	return s.WithTicket(ticketOf(0, 1, 100, 100)).WithTicket(ticketOf(0, 2, 100, 0, 100))
}

// flowHomedAt returns a flow whose home is the endpoint with the given key.
func flowHomedAt(s *Service, key ticket.EndpointKey) FlowKey {
	for i := uint64(0); ; i++ {
		if s.Home(FlowKey(i)).Key == key {
			return FlowKey(i)
		}
	}
}

func TestReceive(t *testing.T) {
	s := agentSnapshot()
	homedHere := flowHomedAt(s.Current, keyOf(0, 0))
	homedElsewhere := flowHomedAt(s.Current, keyOf(0, 2))
	cases := []struct {
		name   string
		change func(*Arrival)
		action Action
		reason Reason
	}{
		{"own flow", func(a *Arrival) {}, Deliver, Forwarded},
		{"another service", func(a *Arrival) { a.Service++ }, Drop, UnknownService},
		{"another endpoint", func(a *Arrival) { a.Endpoint++ }, Drop, WrongEndpoint},
		{"stopped process", func(a *Arrival) { a.Packet.Owner.Incarnation = 6 }, Deliver, StaleIncarnation},
		{"handshake with a token of a stopped process", func(a *Arrival) {
			a.Packet.Owner.Incarnation, a.Packet.Opening = 6, true
		}, Drop, StaleIncarnation},
		{"another owner", func(a *Arrival) { a.Packet.Owner.Endpoint = keyOf(0, 2) }, Drop, ForeignOwner},
		{"another owner that has stopped", func(a *Arrival) {
			a.Packet.Owner.Endpoint, a.OwnerGone = keyOf(0, 1), true
		}, Deliver, OwnerGone},
		{"own flow wrongly marked as one of a stopped owner", func(a *Arrival) { a.OwnerGone = true }, Deliver, Forwarded},
		{"no token", func(a *Arrival) { a.Packet.HasOwner = false }, Drop, NoOwner},
		{"opening", func(a *Arrival) { a.Packet = Packet{Opening: true, Flow: homedHere} }, Place, Forwarded},
		{"opening with another's token", func(a *Arrival) {
			a.Packet.Opening, a.Packet.Owner.Endpoint = true, keyOf(0, 2)
		}, Drop, ForeignOwner},
		{"tokenless, open at its previous home", func(a *Arrival) {
			a.Packet = Packet{Tokenless: true, Flow: flowHomedAt(s.Previous, keyOf(0, 1))}
		}, Forward, PassedOn},
		{"tokenless, already forwarded", func(a *Arrival) {
			a.Packet, a.HandedOn = Packet{Tokenless: true, Flow: flowHomedAt(s.Previous, keyOf(0, 1))}, true
		}, Drop, NoOwner},
		{"tokenless, open nowhere", func(a *Arrival) {
			a.Packet = Packet{Tokenless: true, Flow: flowHomedAt(s.Previous, keyOf(0, 0))}
		}, Drop, NoOwner},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := Arrival{Service: s.Service, Endpoint: s.Owner.Endpoint, Ticket: 2, Packet: Packet{HasOwner: true, Owner: s.Owner}}
			c.change(&a)
			got := s.Receive(a)
			must.EqOp(t, c.action, got.Action)
			must.EqOp(t, c.reason, got.Reason)
		})
	}
	opening := Arrival{Service: s.Service, Endpoint: s.Owner.Endpoint, Ticket: 1, Packet: Packet{Opening: true, Flow: homedElsewhere}}
	must.EqOp(t, keyOf(0, 2), s.Receive(opening).Endpoint.Key, must.Sprint("a flow routed by an older ticket is forwarded to its newer home"))
	opening.HandedOn = true
	must.Nil(t, s.Receive(opening).Endpoint, must.Sprint("a flow is forwarded at most once"))
	opening.HandedOn, opening.Ticket = false, 2
	must.Nil(t, s.Receive(opening).Endpoint)
	sender, self := s.Behind(Arrival{Ticket: 1})
	must.True(t, sender && !self)
	sender, self = s.Behind(Arrival{Ticket: 3})
	must.True(t, self && !sender)
}
