package agent

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"cactustray/control"
	"cactustray/control/rpc"
	"cactustray/event"
	"cactustray/liveness"
	"cactustray/liveness/heartbeat"
	"cactustray/ticket"
	"cactustray/ticket/exchange"

	"golang.org/x/sync/errgroup"
)

// reporter carries the agent's heartbeats, and fetches its ticket when a
// balancer holds a newer one.
type reporter struct {
	node      string
	service   ticket.ServiceKey
	balancers []netip.AddrPort
	client    *http.Client
	loop      *control.Loop
	log       *event.Log
}

// run reports each heartbeat interval until the context ends; a change of the
// fact is reported at once.
func (r *reporter) run(ctx context.Context, reports <-chan report) error {
	var last time.Time
	var version uint32
	for {
		select {
		case <-ctx.Done():
			return nil
		case next := <-reports:
			if time.Since(last) < liveness.HeartbeatInterval && next.fact.Version == version {
				continue
			}
			last, version = time.Now(), next.fact.Version
			r.reportAll(ctx, next)
		}
	}
}

func (r *reporter) reportAll(ctx context.Context, next report) {
	ctx, cancel := context.WithTimeout(ctx, rpc.CallTimeout)
	defer cancel()
	var group errgroup.Group
	for _, balancer := range r.balancers {
		group.Go(func() error {
			if err := r.reportTo(ctx, balancer, next); err != nil {
				r.log.Emit(EventBalancerSilent, event.Fields{"balancer": balancer, "cause": err})
			}
			return nil
		})
	}
	_ = group.Wait()
}

func (r *reporter) reportTo(ctx context.Context, balancer netip.AddrPort, next report) error {
	base := rpc.Base(balancer.String())
	var number ticket.Number
	if len(next.digests) > 0 {
		number = next.digests[0].Number
	}
	answer, err := heartbeat.NewClient(r.client, base).Send(ctx, r.node, r.service, number, next.fact)
	if err != nil {
		return err
	}
	if err := r.loop.Send(ctx, answered{answer: answer}); err != nil {
		return err
	}
	if answer.Ticket <= number {
		return nil
	}
	offered, err := exchange.NewClient(r.client, base).Fetch(ctx, r.node, next.digests, []ticket.ServiceKey{r.service})
	if err != nil {
		return err
	}
	return r.loop.Send(ctx, offered)
}
