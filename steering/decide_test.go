package steering

import (
	"testing"

	"cactustray/ticket"

	"github.com/shoenig/test/must"
)

func TestDecide(t *testing.T) {
	register := ticket.NewRegister()
	join(register, ticketOf(0, 1, 100, 100), ticketOf(1, 1, 100))
	view := standing{gone: map[ticket.EndpointKey]Incarnation{keyOf(0, 1): 5}}
	table := NewState().Update(start, register, view)
	owned := func(service, i int, incarnation Incarnation) Packet {
		return Packet{Address: address(10, 0), HasOwner: true, Owner: Owner{Endpoint: keyOf(service, i), Incarnation: incarnation}}
	}
	cases := []struct {
		name   string
		packet Packet
		want   Reason
	}{
		{"owner", owned(0, 0, 7), Forwarded},
		{"owner that ended", owned(0, 1, 5), OwnerGone},
		{"owner after one that ended", owned(0, 1, 6), Forwarded},
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

// residence is endpoint 0's of service 0, first by a ticket with endpoints 0
// and 1, then by one with endpoints 0 and 2.
func residence() *Residence {
	r := &Residence{Owner: Owner{Endpoint: keyOf(0, 0), Incarnation: 7}, Service: ticketOf(0, 1).Key()}
	return r.Next(ticketOf(0, 1, 100, 100)).Next(ticketOf(0, 2, 100, 0, 100))
}

// flowOf returns a flow that a service gives to one of its endpoints.
func flowOf(s *Service, key ticket.EndpointKey) FlowKey {
	for i := uint64(0); ; i++ {
		if s.Home(FlowKey(i)).Key == key {
			return FlowKey(i)
		}
	}
}

func TestReceive(t *testing.T) {
	r := residence()
	here := flowOf(r.Current, keyOf(0, 0))
	elsewhere := flowOf(r.Current, keyOf(0, 2))
	cases := []struct {
		name   string
		change func(*Arrival)
		action Action
		reason Reason
	}{
		{"own flow", func(a *Arrival) {}, Deliver, Forwarded},
		{"another service", func(a *Arrival) { a.Service++ }, Drop, UnknownService},
		{"another endpoint", func(a *Arrival) { a.Endpoint++ }, Drop, WrongEndpoint},
		{"ended process", func(a *Arrival) { a.Packet.Owner.Incarnation = 6 }, Deliver, StaleIncarnation},
		{"handshake of an ended process", func(a *Arrival) {
			a.Packet.Owner.Incarnation, a.Packet.Opening = 6, true
		}, Drop, StaleIncarnation},
		{"another owner", func(a *Arrival) { a.Packet.Owner.Endpoint = keyOf(0, 2) }, Drop, ForeignOwner},
		{"another owner that ended", func(a *Arrival) {
			a.Packet.Owner.Endpoint, a.OwnerGone = keyOf(0, 1), true
		}, Deliver, OwnerGone},
		{"own flow wrongly called ended", func(a *Arrival) { a.OwnerGone = true }, Deliver, Forwarded},
		{"no token", func(a *Arrival) { a.Packet.HasOwner = false }, Drop, NoOwner},
		{"opening", func(a *Arrival) { a.Packet = Packet{Opening: true, Flow: here} }, Place, Forwarded},
		{"opening with another's token", func(a *Arrival) {
			a.Packet.Opening, a.Packet.Owner.Endpoint = true, keyOf(0, 2)
		}, Drop, ForeignOwner},
		{"tokenless, open here", func(a *Arrival) { a.Packet, a.Known = Packet{Tokenless: true}, true }, Deliver, Forwarded},
		{"tokenless, open at its home before", func(a *Arrival) {
			a.Packet = Packet{Tokenless: true, Flow: flowOf(r.Previous, keyOf(0, 1))}
		}, Pass, PassedOn},
		{"tokenless, passed on already", func(a *Arrival) {
			a.Packet, a.HandedOn = Packet{Tokenless: true, Flow: flowOf(r.Previous, keyOf(0, 1))}, true
		}, Drop, NoOwner},
		{"tokenless, open nowhere", func(a *Arrival) {
			a.Packet = Packet{Tokenless: true, Flow: flowOf(r.Previous, keyOf(0, 0))}
		}, Drop, NoOwner},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := Arrival{Service: r.Service, Endpoint: r.Owner.Endpoint, Ticket: 2, Packet: Packet{HasOwner: true, Owner: r.Owner}}
			c.change(&a)
			got := r.Receive(a)
			must.EqOp(t, c.action, got.Action)
			must.EqOp(t, c.reason, got.Reason)
		})
	}
	opening := Arrival{Service: r.Service, Endpoint: r.Owner.Endpoint, Ticket: 1, Packet: Packet{Opening: true, Flow: elsewhere}}
	must.EqOp(t, keyOf(0, 2), r.Receive(opening).Endpoint.Key, must.Sprint("an older ticket is corrected"))
	opening.HandedOn = true
	must.Nil(t, r.Receive(opening).Endpoint, must.Sprint("once"))
	opening.HandedOn, opening.Ticket = false, 2
	must.Nil(t, r.Receive(opening).Endpoint)
	sender, self := r.Behind(Arrival{Ticket: 1})
	must.True(t, sender && !self)
	sender, self = r.Behind(Arrival{Ticket: 3})
	must.True(t, self && !sender)
}
