package agent

import (
	"context"
	"net/http"
	"net/netip"

	"cactustray/control"
	"cactustray/control/rpc"
	"cactustray/liveness/heartbeat"
	"cactustray/ticket"
	"cactustray/ticket/exchange"

	"golang.org/x/sync/errgroup"
)

// maxHeartbeats bounds the heartbeats under way, so that a silent balancer
// does not delay the reports to others.
const maxHeartbeats = 12

// reporter carries the agent's heartbeats, and fetches its ticket when a
// balancer holds a newer one.
type reporter struct {
	node    string
	service ticket.ServiceKey
	client  *http.Client
	loop    *control.Loop
}

// run sends the reports that the control goroutine hands over until the
// context ends.
func (r *reporter) run(ctx context.Context, reports <-chan report) error {
	var group errgroup.Group
	group.SetLimit(maxHeartbeats)
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case next := <-reports:
			r.send(ctx, &group, next)
		}
	}
}

func (r *reporter) send(ctx context.Context, group *errgroup.Group, next report) {
	for _, balancer := range next.targets {
		group.Go(func() error { return r.reportTo(ctx, balancer, next) })
	}
	farewell := next.Report
	farewell.Last = true
	for _, balancer := range next.last {
		group.Go(func() error { return r.takeLeave(ctx, balancer, farewell) })
	}
}

// reportTo sends one heartbeat; the control goroutine learns how it went.
func (r *reporter) reportTo(ctx context.Context, balancer netip.AddrPort, next report) error {
	limited, cancel := context.WithTimeout(ctx, rpc.CallTimeout)
	defer cancel()
	base := rpc.Base(balancer.String())
	answer, err := heartbeat.NewClient(r.client, base).Send(limited, next.Report)
	_ = r.loop.Send(ctx, answered{from: balancer, answer: answer, cause: err})
	if err != nil || !wants(next.digests, answer) {
		return nil
	}
	offered, err := exchange.NewClient(r.client, base).Fetch(limited, r.node, next.digests, []ticket.ServiceKey{r.service})
	if err == nil {
		_ = r.loop.Send(ctx, offered)
	}
	return nil
}

// wants tells whether a balancer's answer calls for its ticket: it has a newer
// one, another content, or may know that the one held here is sealed.
func wants(digests []ticket.Digest, answer heartbeat.Answer) bool {
	if len(digests) == 0 {
		return answer.Ticket > 0
	}
	held := digests[0]
	if answer.Ticket != held.Number {
		return answer.Ticket > held.Number
	}
	return answer.Content != held.Content || !held.Sealed
}

// takeLeave tells a balancer that others watch this agent from now on. One
// that cannot be told suspects the agent, which then refutes it.
func (r *reporter) takeLeave(ctx context.Context, balancer netip.AddrPort, farewell heartbeat.Report) error {
	limited, cancel := context.WithTimeout(ctx, rpc.CallTimeout)
	defer cancel()
	_, _ = heartbeat.NewClient(r.client, rpc.Base(balancer.String())).Send(limited, farewell)
	return nil
}
