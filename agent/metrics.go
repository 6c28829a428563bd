package agent

import (
	"cactustray/admission"
	"cactustray/metrics"
)

// instruments counts the control goroutine's decisions on requests. A nil
// instruments counts nothing.
type instruments struct {
	registry   *metrics.Registry
	dispatched *metrics.Counter
	handedOver *metrics.Counter
	running    *metrics.Gauge
	queued     *metrics.Gauge
}

func newInstruments(registry *metrics.Registry) *instruments {
	return &instruments{
		registry:   registry,
		dispatched: registry.Counter("admission.dispatched"),
		handedOver: registry.Counter("admission.handed_over"),
		running:    registry.Gauge("admission.running"),
		queued:     registry.Gauge("admission.queued"),
	}
}

func (i *instruments) countDecision(d admission.Decision) {
	switch {
	case i == nil:
	case d.Refusal != admission.None:
		i.registry.Counter("admission.refused." + d.Refusal.String()).Add(1)
	case d.Peer != 0:
		i.handedOver.Add(1)
	default:
		i.dispatched.Add(1)
	}
}

func (i *instruments) observe(queue *admission.State) {
	if i == nil {
		return
	}
	i.running.Set(int64(queue.Running()))
	i.queued.Set(int64(queue.Queued()))
}
