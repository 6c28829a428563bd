package agent

import (
	"context"

	"cactustray/control/rpc"
	"cactustray/liveness"

	"golang.org/x/sync/errgroup"
)

// sayGone tells the balancers that this process has ended, after its last
// connection: flows that it held are reset from then on. The control goroutine
// has ended, so its state is read here.
func (r *reporter) sayGone(s *state) {
	ctx, cancel := context.WithTimeout(context.Background(), rpc.CallTimeout)
	defer cancel()
	s.reporting.self.SetState(liveness.Gone)
	last := s.nextReport(s.reporting.targets)
	var group errgroup.Group
	for _, balancer := range last.targets {
		group.Go(func() error { return r.takeLeave(ctx, balancer, last.Report) })
	}
	_ = group.Wait() // a balancer that does not hear it hears it from others
}
