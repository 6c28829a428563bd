package packetagent

import (
	"time"

	"cactustray/event"
	"cactustray/flow"
	"cactustray/metrics"
)

// refusalsEndAfter is how long no waiting opening was refused before that is logged.
const refusalsEndAfter = 5 * time.Second

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
