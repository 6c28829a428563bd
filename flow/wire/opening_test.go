package wire_test

import (
	"strings"
	"testing"
	"time"

	"cactustray/flow"
	"cactustray/flow/wire"

	"github.com/shoenig/test/must"
)

// A name or class that is lost on the way, or left in the packet, opens a flow at another service
// or sends the endpoint what the caller did not write.
func TestNameFollowsOpeningPacket(t *testing.T) {
	class := flow.Class{Priority: 1, Repeatable: true, Goal: 300 * time.Millisecond, Limit: 1500 * time.Millisecond}
	for _, name := range []string{"", "orders", flow.StatedName(strings.Repeat("x", 1000))} {
		for _, class := range []flow.Class{{}, class} {
			for _, alternate := range []flow.Naming{flow.ByName, flow.NameOmitted} {
				datagram := append(make([]byte, wire.EnvelopeSize), "packet"...)
				wire.PutEnvelope(datagram, wire.Forward, wire.Envelope{StatedService: flow.StatedService{Tag: 7}})
				if class.IsKnown() {
					datagram = wire.AppendClass(datagram, class)
				}
				datagram = wire.AppendName(datagram, name, alternate)
				must.EqOp(t, wire.ForwardNamed, wire.KindOf(datagram))

				e, rest, err := wire.OpenForward(datagram)
				must.NoError(t, err)
				must.Eq(t, flow.StatedService{Naming: flow.ByName, Name: name, Tag: 7}, e.StatedService)
				must.Eq(t, class, e.Class)
				must.EqOp(t, alternate, e.AlternateNaming)
				must.EqOp(t, "packet", string(rest[wire.EnvelopeSize:]))
			}
		}
	}
}

// Datagrams without a name keep the meaning that older builds give them.
func TestPacketWithoutNameIsStatedByTag(t *testing.T) {
	for _, naming := range []flow.Naming{flow.ByTag, flow.NameOmitted} {
		datagram := append(make([]byte, wire.EnvelopeSize), "packet"...)
		wire.PutEnvelope(datagram, wire.Forward, wire.Envelope{StatedService: flow.StatedService{Naming: naming, Tag: 7}, Delivery: flow.Delivery{Hops: 5}})
		e, rest, err := wire.OpenForward(datagram)
		must.NoError(t, err)
		must.Eq(t, flow.StatedService{Naming: naming, Tag: 7}, e.StatedService)
		must.EqOp(t, flow.ByTag, e.AlternateNaming)
		must.EqOp(t, 5, e.Hops)
		must.False(t, e.NameRequired)
		must.EqOp(t, "packet", string(rest[wire.EnvelopeSize:]))
	}
}

// A truncated datagram must be refused, not read beyond its end.
func TestTruncatedNameIsRefused(t *testing.T) {
	whole := wire.AppendName(append(make([]byte, wire.EnvelopeSize), "packet"...), "orders", flow.ByName)
	whole[len(whole)-1] = 200
	for _, datagram := range [][]byte{whole, whole[:wire.EnvelopeSize+1], whole[:1]} {
		_, _, err := wire.OpenForward(datagram)
		must.Error(t, err)
	}
}
