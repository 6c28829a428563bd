package packetagent

import (
	"time"

	"cactustray/event"
	"cactustray/flow"
	"cactustray/flow/wire"
	"cactustray/metrics"
)

// refusalsEndAfter is how long no waiting opening was refused before that is logged.
const refusalsEndAfter = 5 * time.Second

// encodeForward returns the datagram that forwards the packet in buffer, after space for an
// envelope, to another agent. It states the service, since the other agent's address may meanwhile
// belong to another one, and the class of the requests if it is known: then that agent reads it.
func (f *forwarder) encodeForward(buffer []byte, v flow.Verdict, balancer flow.Address) []byte {
	stated := f.service.Stated(v.Naming)
	wire.PutEnvelope(buffer, wire.Forward, wire.Envelope{StatedService: stated, Delivery: flow.Delivery{Balancer: balancer, Hops: v.Hops}})
	if v.Class.IsKnown() {
		buffer = wire.AppendClass(buffer, v.Class)
	}
	if v.Naming == flow.ByName {
		buffer = wire.AppendName(buffer, stated.Name, flow.ByName)
	}
	return buffer
}

func (f *forwarder) overload() flow.Overload {
	return withFlows(f, func(t *flow.AgentTable) flow.Overload { return t.Overload() })
}

// refusedOpenings returns how many waiting openings were refused.
func (f *forwarder) refusedOpenings() (sum int64) {
	for _, refused := range f.overload().Refused {
		sum += refused
	}
	return sum
}

// newRefusals returns the episode in which waiting openings are refused.
func newRefusals() event.Episode {
	return event.Episode{Begins: EventRefusalsBegin, Ends: EventRefusalsEnd, Counted: "openings", Quiet: refusalsEndAfter}
}

// registerOverload registers the counts of waiting and refused openings as metrics.
func registerOverload(f *forwarder, registry *metrics.Registry) {
	for band := range flow.Band(flow.BandCount) {
		registry.GaugeFunc("openings.waiting."+band.String(), func() int64 { return f.overload().Waiting[band] })
		registry.GaugeFunc("openings.refused."+band.String(), func() int64 { return f.overload().Refused[band] })
	}
}
