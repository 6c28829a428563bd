package agent

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"cactustray/admission"
	"cactustray/admission/handover"
	"cactustray/control"
	"cactustray/event"
	"cactustray/ticket"

	"golang.org/x/sync/errgroup"
)

// handOverTimeout bounds how long a planned stop waits for the other agents to take
// the records of keys over.
const handOverTimeout = 5 * time.Second

// handOverRecords hands the records of keys over to the service's other agents, so that
// they need not query this one about a key. Those that do not take them over answer
// requests with such a key with an unknown outcome, until a ticket removes this endpoint.
func (p *process) handOverRecords(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	handOver, err := control.Call(ctx, p.loop, func(reply chan<- admission.HandOver) control.Message {
		return admission.HandOverRequested{Reply: reply}
	})
	if err != nil {
		p.log.Emit(EventRecordsNotHandedOver, event.Fields{"cause": err})
		return
	}
	departure := handover.Departure{
		Endpoint: ticket.EndpointKeyOf(p.settings.Agent.Service, p.settings.Agent.Endpoint),
		ID:       admission.DepartureID(rand.Uint64()), HandOver: handOver,
	}
	var accepted atomic.Int64
	var group errgroup.Group
	for _, receiver := range handOver.Receivers {
		address := (*p.snapshots.agents.Load())[receiver]
		group.Go(func() error {
			if err := departure.Send(ctx, p.peers, receiver, address); err != nil {
				p.log.Emit(EventRecordsNotHandedOver, event.Fields{"agent": address, "cause": err})
				return nil // the other agents take their records over all the same
			}
			accepted.Add(1)
			return nil
		})
	}
	_ = group.Wait() // no function returns an error
	p.log.Emit(EventRecordsHandedOver, event.Fields{"agents": accepted.Load()})
}
