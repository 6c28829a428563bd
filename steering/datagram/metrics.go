package datagram

import (
	"cactustray/metrics"
	"cactustray/steering"
)

// RegisterCounters registers the counters as gauges named
// steering.packets.REASON and steering.replies.
func RegisterCounters(r *metrics.Registry, counters *steering.Counters) {
	for reason := range steering.Reasons {
		r.GaugeFunc("steering.packets."+reason.String(), func() int64 { return counters.Of(reason) })
	}
	r.GaugeFunc("steering.replies", counters.Replies)
}
