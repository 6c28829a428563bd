package wire_test

import (
	"testing"
	"time"

	"cactustray/flow"
	"cactustray/flow/wire"

	"github.com/shoenig/test/must"
)

// A class that is lost or shortened on the way makes an agent order requests wrongly.
func TestClassFollowsOpeningPacket(t *testing.T) {
	packet := append(make([]byte, wire.EnvelopeSize), "packet"...)
	wire.PutEnvelope(packet, wire.Forward, wire.Envelope{StatedService: flow.StatedService{Tag: 7}})
	class := flow.Class{Priority: 1, Repeatable: true, Goal: 300 * time.Millisecond, Limit: 1500 * time.Millisecond}
	datagram := wire.AppendClass(packet, class)
	must.Eq(t, wire.ForwardClass, wire.KindOf(datagram))

	rest, decoded, err := wire.SplitClass(datagram)
	must.NoError(t, err)
	must.Eq(t, class, decoded)
	envelope, payload, err := wire.OpenEnvelope(rest)
	must.NoError(t, err)
	must.Eq(t, uint16(7), envelope.Tag)
	must.Eq(t, "packet", string(payload))
}

// A truncated datagram must be refused, not read beyond its end.
func TestTruncatedClassIsRefused(t *testing.T) {
	_, _, err := wire.SplitClass(make([]byte, wire.EnvelopeSize+3))
	must.Error(t, err)
}

// A limit above 65 s must not wrap around to a short one.
func TestLongLimitIsCapped(t *testing.T) {
	datagram := wire.AppendClass(make([]byte, wire.EnvelopeSize), flow.Class{Goal: time.Second, Limit: 5 * time.Minute})
	_, decoded, err := wire.SplitClass(datagram)
	must.NoError(t, err)
	must.Eq(t, 65535*time.Millisecond, decoded.Limit)
}
