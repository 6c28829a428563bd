package agent

import (
	"context"

	"cactustray/control/rpc"
	"cactustray/liveness"

	"golang.org/x/sync/errgroup"
)

// reportStopped notifies the balancers that this process has stopped, after its
// last connection has closed; its remaining flows are reset from then on. It must
// only be called after the control goroutine has ended, since it uses its state.
func (r *reporter) reportStopped(s *state) {
	ctx, cancel := context.WithTimeout(context.Background(), rpc.CallTimeout)
	defer cancel()
	s.reporting.self.SetState(liveness.Stopped)
	final := s.nextReport(s.reporting.targets)
	var group errgroup.Group
	for _, balancer := range final.targets {
		group.Go(func() error { return r.sendFinalReport(ctx, balancer, final.Report) })
	}
	_ = group.Wait() // a balancer that this call does not reach receives the fact by gossip
}
