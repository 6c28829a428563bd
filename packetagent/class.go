package packetagent

import (
	"time"

	"cactustray/control/clock"
	"cactustray/event"
	"cactustray/flow"
	"cactustray/flow/wire"
	"cactustray/metrics"
)

// refusalsEndAfter is how long no waiting opening was refused before that is logged.
const refusalsEndAfter = 5 * time.Second

// openingForwarded handles an opening packet with the class of its requests.
func (f *forwarder) openingForwarded(buffer []byte) {
	rest, class, err := wire.SplitClass(buffer)
	if err != nil {
		f.counters.CountMalformed(f.log, clock.Now(), err)
		return
	}
	f.packetForwarded(rest, class)
}

// withClass returns a datagram to another agent with the class of the requests, if it is known:
// then the other agent reads it.
func withClass(datagram []byte, class flow.Class) []byte {
	if !class.IsKnown() {
		return datagram
	}
	return wire.AppendClass(datagram, class)
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
