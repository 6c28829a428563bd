package datagram

import (
	"net/netip"
	"testing"
	"time"

	"cactustray/placement"
	"cactustray/steering"
	"cactustray/steering/steeringpb"
	"cactustray/ticket"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func drawEnvelope(t *rapid.T) Envelope {
	bytes := rapid.SliceOfN(rapid.Byte(), 0, 40)
	e := Envelope{
		Service:   ticket.ServiceKey(rapid.Uint64().Draw(t, "service")),
		Endpoint:  ticket.EndpointKey(rapid.Uint64().Draw(t, "endpoint")),
		Ticket:    ticket.Number(rapid.Uint64().Draw(t, "ticket")),
		HandedOn:  uint64(rapid.Uint32().Draw(t, "handed on")),
		OwnerGone: rapid.Bool().Draw(t, "gone"),
		Payload:   bytes.Draw(t, "payload"),
		Trace:     bytes.Draw(t, "trace"),
		IsBehind:  rapid.Bool().Draw(t, "is behind"),
		IsLoad:    rapid.Bool().Draw(t, "is load"),
	}
	port := rapid.Uint16().Draw(t, "port")
	if rapid.Bool().Draw(t, "ipv4") {
		e.Caller = netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, rapid.Byte().Draw(t, "ip")}), port)
	} else {
		e.Caller = netip.AddrPortFrom(netip.AddrFrom16([16]byte{0: 0x20, 15: rapid.Byte().Draw(t, "ip")}), port)
	}
	if e.IsBehind {
		e.Behind = ticket.Number(rapid.Uint64().Draw(t, "behind"))
	}
	if e.IsLoad {
		e.Load = placement.Load{
			Incarnation:  steering.Incarnation(rapid.Uint32().Draw(t, "incarnation")),
			Sequence:     rapid.Uint32().Draw(t, "sequence"),
			Slots:        4,
			Running:      3,
			Queued:       rapid.Uint32().Draw(t, "queued"),
			Connections:  7,
			Ramp:         placement.FullRamp,
			Leaving:      rapid.Bool().Draw(t, "leaving"),
			ExpectedWait: time.Duration(rapid.Uint32().Draw(t, "wait")) * time.Millisecond,
		}
	}
	return e
}

// The envelope on the wire is the protobuf message of the schema.
func TestEnvelopeMatchesProtobufSchema(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := drawEnvelope(t)
		raw := e.Append(nil)
		message := new(steeringpb.Envelope)
		must.NoError(t, proto.Unmarshal(raw, message))
		again, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
		must.NoError(t, err)
		must.Eq(t, raw, again)
		var parsed Envelope
		must.True(t, parsed.Parse(raw))
		must.Eq(t, raw, parsed.Append(nil))
		must.EqOp(t, e.Caller, parsed.Caller)
		if e.IsLoad {
			e.Load.Endpoint = e.Endpoint
			must.Eq(t, e.Load, parsed.Load)
		}
	})
}

func FuzzEnvelope(f *testing.F) {
	full := Envelope{Service: 1, Endpoint: 2, Ticket: 3, Caller: callerAddress, Payload: []byte("x"), IsLoad: true, IsBehind: true}
	raw := full.Append(nil)
	f.Add(raw)
	f.Add(raw[:len(raw)-1])
	f.Fuzz(func(t *testing.T, raw []byte) {
		var e Envelope
		if !e.Parse(raw) {
			return
		}
		must.NoError(t, proto.Unmarshal(raw, new(steeringpb.Envelope)), must.Sprint("accepted an invalid protobuf message"))
		var again Envelope
		must.True(t, again.Parse(e.Append(nil)))
	})
}

// The cache returns what the library returns for each header, also when it
// holds more headers than fit into one generation.
func TestHeaderCache(t *testing.T) {
	var cache headerCache
	for i := range 3 * cacheGenerationSize {
		proxyHeader := ProxyHeader{Source: netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(i >> 8), byte(i)}), uint16(i%9+1)), Destination: serviceAddress}
		for range 2 {
			header, err := cache.format(proxyHeader)
			must.NoError(t, err)
			parsed, payload, ok := cache.parse(append(header[:len(header):len(header)], "payload"...))
			must.True(t, ok)
			must.EqOp(t, proxyHeader, parsed)
			must.EqOp(t, "payload", string(payload))
		}
	}
	must.LessEq(t, cacheGenerationSize, len(cache.parsed.current))
	must.LessEq(t, cacheGenerationSize, len(cache.formatted.previous))
}
