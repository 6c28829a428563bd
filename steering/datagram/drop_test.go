package datagram

import (
	"bytes"
	"context"
	"testing"
	"time"

	"cactustray/steering"
	"cactustray/ticket"

	"github.com/shoenig/test/must"
)

// stoppedAvailability is an Availability in which the processes of an endpoint
// up to an incarnation have stopped.
type stoppedAvailability struct {
	steering.AlwaysAvailable
	stopped map[ticket.EndpointKey]steering.Incarnation
}

func (a stoppedAvailability) StoppedThrough(key ticket.EndpointKey) steering.Incarnation {
	return a.stopped[key]
}

// A balancer drops bad input with the right reason and never forwards it.
func TestInboundDropsBadInput(t *testing.T) {
	sealer := newSealer(t, 1)
	f, _ := newForwarder(t, sealer, addressOf(bind(t)), tableOf(ordersTicket(1, callerAddress)))
	token := sealer.Seal(ownerOf(0, 1), 1)
	forged := token
	forged[5] ^= 1
	unlisted := token
	unlisted[0] = 9
	cut := shortHeader(token)[:10]
	otherService, err := FormatProxyHeader(ProxyHeader{Source: callerAddress, Destination: callerAddress})
	must.NoError(t, err)
	cases := []struct {
		name string
		raw  []byte
		want steering.Reason
	}{
		{"own token", fromFabric(t, shortHeader(token)), steering.Forwarded},
		{"opening", fromFabric(t, longHeader([]byte("12345678"))), steering.Forwarded},
		{"empty", nil, steering.Malformed},
		{"no header", shortHeader(token), steering.Malformed},
		{"truncated header", fromFabric(t, nil)[:20], steering.Malformed},
		{"no payload", fromFabric(t, nil), steering.Malformed},
		{"truncated payload", fromFabric(t, cut), steering.Malformed},
		{"connection id too long", fromFabric(t, longHeader(make([]byte, 21))), steering.Malformed},
		{"forged token", fromFabric(t, shortHeader(forged)), steering.UnknownOwner},
		{"token of an unknown key", fromFabric(t, shortHeader(unlisted)), steering.NoOwner},
		{"token of an unknown endpoint", fromFabric(t, shortHeader(sealer.Seal(steering.Owner{Endpoint: 99}, 1))), steering.UnknownOwner},
		{"unknown service", append(otherService, shortHeader(token)...), steering.UnknownService},
	}
	in := f.newInbound()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			encoded, _, reason := in.forward(c.raw)
			must.EqOp(t, c.want, reason)
			must.EqOp(t, c.want == steering.Forwarded, encoded != nil)
		})
	}
	f.Table.Store(nil)
	_, _, reason := in.forward(fromFabric(t, shortHeader(token)))
	must.EqOp(t, steering.NoTable, reason)
}

// A balancer relays only for endpoints in its table.
func TestOutboundDropsUnknownSenders(t *testing.T) {
	endpoint, stranger := callerAddress, serviceAddress
	f, offered := newForwarder(t, newSealer(t, 1), endpoint, tableOf(ordersTicket(1, endpoint)))
	reply := Envelope{Service: ticket.ServiceKeyOf("orders"), Endpoint: ownerOf(0, 1).Endpoint, Caller: callerAddress, Payload: []byte("reply")}
	foreign, unknown, empty, behind := reply, reply, reply, reply
	foreign.Service++
	unknown.Endpoint++
	empty.Payload = nil
	behind.IsBehind, behind.Behind, behind.Payload = true, 2, nil
	out := f.newOutbound()
	for want, raw := range map[steering.Reason][]byte{
		steering.ForeignOwner: foreign.Append(nil),
		steering.Stranger:     unknown.Append(nil),
		steering.Malformed:    empty.Append(nil),
		steering.Reported:     behind.Append(nil),
		steering.Forwarded:    reply.Append(nil),
	} {
		datagram, reason := out.forward(raw, endpoint)
		must.EqOp(t, want, reason)
		must.EqOp(t, want == steering.Forwarded, datagram != nil)
		datagram, reason = out.forward(raw, stranger)
		must.NotEq(t, steering.Forwarded, reason)
		must.Nil(t, datagram)
	}
	must.EqOp(t, 1, len(offered), must.Sprint("a notice from an unknown sender is dropped"))
	must.Eq(t, any(steering.NewerTicket{Service: ticket.ServiceKeyOf("orders"), Ticket: 2}), <-offered)
}

func FuzzInbound(f *testing.F) {
	sealer := newSealer(f, 1)
	forwarder, _ := newForwarder(f, sealer, callerAddress, tableOf(ordersTicket(1, callerAddress)))
	f.Add(fromFabric(f, shortHeader(sealer.Seal(ownerOf(0, 1), 1))))
	f.Add(fromFabric(f, longHeader([]byte("12345678"))))
	f.Add(fromFabric(f, nil))
	in := forwarder.newInbound()
	f.Fuzz(func(t *testing.T, raw []byte) {
		encoded, _, reason := in.forward(raw)
		must.EqOp(t, reason == steering.Forwarded, encoded != nil)
		if encoded == nil {
			return
		}
		var e Envelope
		must.True(t, e.Parse(encoded))
		must.True(t, bytes.HasSuffix(raw, e.Payload))
		must.EqOp(t, ownerOf(0, 1).Endpoint, e.Endpoint)
	})
}

func FuzzOutbound(f *testing.F) {
	forwarder, _ := newForwarder(f, newSealer(f, 1), callerAddress, tableOf(ordersTicket(1, callerAddress)))
	reply := Envelope{Service: ticket.ServiceKeyOf("orders"), Endpoint: ownerOf(0, 1).Endpoint, Caller: callerAddress, Payload: []byte("reply")}
	f.Add(reply.Append(nil))
	out := forwarder.newOutbound()
	f.Fuzz(func(t *testing.T, raw []byte) {
		_, reason := out.forward(raw, serviceAddress)
		must.NotEq(t, steering.Forwarded, reason)
		out.forward(raw, callerAddress)
	})
}

func FuzzReceive(f *testing.F) {
	sealer := newSealer(f, 1)
	conn, _ := newAgent(f, sealer, bind(f), ownerOf(0, 7), ordersTicket(1, callerAddress))
	own := Envelope{Service: ticket.ServiceKeyOf("orders"), Endpoint: ownerOf(0, 7).Endpoint, Ticket: 1, Caller: callerAddress}
	own.Payload = shortHeader(sealer.Seal(ownerOf(0, 7), 1))
	f.Add(own.Append(nil))
	own.Payload = longHeader([]byte("12345678"))
	f.Add(own.Append(nil))
	own.Payload, own.IsLoad = nil, true
	f.Add(own.Append(nil))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if !conn.receiver.receive(start, raw, callerAddress) {
			return
		}
		e := conn.receiver.envelope
		must.EqOp(t, ticket.ServiceKeyOf("orders"), e.Service)
		must.EqOp(t, ownerOf(0, 7).Endpoint, e.Endpoint)
		must.Positive(t, len(e.Payload))
	})
}

// An error of a socket ends neither the forwarder nor the agent's connection.
func TestSocketErrorEndsNothing(t *testing.T) {
	sealer := newSealer(t, 1)
	f, _ := newForwarder(t, sealer, callerAddress, steering.NewState().Table())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx, 1) }()
	must.NoError(t, f.Edge.SetReadDeadline(time.Now()))
	select {
	case err := <-done:
		t.Fatalf("the forwarder ended: %v", err)
	case <-time.After(3 * errorPause):
	}
	cancel()
	must.NoError(t, <-done)
}
