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

// maxHeartbeats bounds the heartbeats in flight. It leaves room for reports to
// other balancers while calls to an unresponsive one wait for their timeout.
const maxHeartbeats = 12

// reporter sends the agent's heartbeats, and fetches the service's ticket from a
// balancer that has a newer one.
type reporter struct {
	node    string
	service ticket.ServiceKey
	client  *http.Client
	loop    *control.Loop
}

// run sends the reports that it receives from the control goroutine until the
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
	final := next.Report
	final.Last = true
	for _, balancer := range next.former {
		group.Go(func() error { return r.sendFinalReport(ctx, balancer, final) })
	}
}

// reportTo sends one heartbeat, and its result to the control goroutine. It then
// fetches the balancer's ticket if the agent needs it.
func (r *reporter) reportTo(ctx context.Context, balancer netip.AddrPort, next report) error {
	limited, cancel := context.WithTimeout(ctx, rpc.CallTimeout)
	defer cancel()
	base := rpc.BaseURL(balancer.String())
	answer, err := heartbeat.NewClient(r.client, base).Send(limited, next.Report)
	_ = r.loop.Send(ctx, heartbeatDone{from: balancer, answer: answer, cause: err})
	if err != nil || !needsTicket(next.digests, answer) {
		return nil
	}
	update, err := exchange.NewClient(r.client, base).Fetch(limited, r.node, next.digests, []ticket.ServiceKey{r.service})
	if err == nil {
		_ = r.loop.Send(ctx, update)
	}
	return nil
}

// needsTicket reports whether the agent should fetch the balancer's ticket: it is
// newer, it has other content under the same number, or the agent's own ticket is not
// yet known here to be sealed (final), which the balancer may know.
func needsTicket(digests []ticket.Digest, answer heartbeat.Answer) bool {
	if len(digests) == 0 {
		return answer.Ticket > 0
	}
	digest := digests[0]
	if answer.Ticket != digest.Number {
		return answer.Ticket > digest.Number
	}
	return answer.Content != digest.Content || !digest.Sealed
}

// sendFinalReport sends a balancer the last heartbeat that it gets from this agent.
// If the call fails, the balancer later suspects the agent, which then refutes the
// suspicion.
func (r *reporter) sendFinalReport(ctx context.Context, balancer netip.AddrPort, final heartbeat.Report) error {
	limited, cancel := context.WithTimeout(ctx, rpc.CallTimeout)
	defer cancel()
	_, _ = heartbeat.NewClient(r.client, rpc.BaseURL(balancer.String())).Send(limited, final)
	return nil
}
