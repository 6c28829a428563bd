package agent

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cactustray/control"
	"cactustray/event"
	"cactustray/liveness"
	"cactustray/ticket"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"golang.org/x/sync/errgroup"
)

const (
	// defaultDrainTime is how long open feeds may continue during a drain if the
	// ticket sets no limit.
	defaultDrainTime = 30 * time.Second
	// closeGracePeriod is how long callers may take, after the last request has
	// ended, to close their connections themselves.
	closeGracePeriod = time.Second
)

// stopRequested notifies the control goroutine that the process stops as planned.
// drained is closed when the drain is complete or has expired.
type stopRequested struct{ drained chan<- struct{} }

// draining is the control goroutine's state of the agent's drain.
type draining struct {
	drain   liveness.Drain
	phase   liveness.Phase
	drained chan<- struct{}
	// phases sends the newest phase to the goroutine that serves callers.
	phases chan liveness.Phase
}

func newDraining() *draining {
	return &draining{phases: make(chan liveness.Phase, 1)}
}

func (s *state) requestStop(now time.Time, m stopRequested) {
	s.draining.drained = m.drained
	s.admission.keys.Depart()
	s.setDrain(now, liveness.CauseStop, true)
}

// setDrain records whether a cause of leaving holds. If the agent thereby begins or
// cancels a drain, it notifies the balancers at once.
func (s *state) setDrain(now time.Time, cause liveness.Cause, holds bool) {
	if !s.draining.drain.Set(now, cause, holds) {
		return
	}
	state := liveness.Ready
	if s.draining.drain.Leaving() {
		state = liveness.Leaving
		s.log.Emit(EventAgentDraining, event.Fields{"cause": cause.String()})
	} else {
		s.log.Emit(EventDrainCancelled, event.Fields{"cause": cause.String()})
	}
	s.reporting.self.SetState(state)
	s.reporting.dirty = true
	s.tickReports(now, 0)
}

// drainByTicket drains the endpoint if its ticket drains, removes or no longer
// names it.
func (s *state) drainByTicket(now time.Time, t *ticket.Ticket) {
	s.setDrain(now, liveness.CauseTicket, !t.AcceptsNew(s.settings.Agent.Endpoint))
}

func (s *state) drainTime() time.Duration {
	entry := s.tickets.Entry(s.service)
	if entry == nil || entry.Ticket.Limits.DrainSeconds == 0 {
		return defaultDrainTime
	}
	return time.Duration(entry.Ticket.Limits.DrainSeconds) * time.Second
}

// tickDrain enters the drain phase that is due, and completes a planned stop when
// all requests have ended or the drain has expired.
func (s *state) tickDrain(now time.Time) {
	d := s.draining
	if phase := d.drain.Phase(now, s.drainTime()); phase != d.phase {
		s.enterPhase(now, phase)
	}
	if d.drained == nil || d.phase < liveness.Draining {
		return
	}
	if s.admission.idle() || d.phase == liveness.Expired {
		close(d.drained)
		d.drained = nil
	}
}

func (s *state) enterPhase(now time.Time, phase liveness.Phase) {
	s.draining.phase = phase
	switch phase {
	case liveness.Serving:
		s.admission.queue.Resume()
	case liveness.Draining, liveness.Expired:
		s.admission.drain(now)
	}
	// Replaces a phase that was not received yet: only the newest one matters.
	select {
	case <-s.draining.phases:
	default:
	}
	s.draining.phases <- phase
}

// stopAsPlanned waits for the end of ctx, then drains the agent, hands its records of
// keys over and gives callers closeGracePeriod to close their connections.
func (p *process) stopAsPlanned(ctx, running context.Context) {
	select {
	case <-running.Done():
		return
	case <-ctx.Done():
	}
	drained := make(chan struct{})
	if err := p.loop.Send(running, stopRequested{drained: drained}); err != nil {
		return
	}
	select {
	case <-drained:
	case <-running.Done():
		return
	}
	p.handOverRecords(running)
	control.Sleep(running, closeGracePeriod)
}

// generation is the HTTP/3 server of the connections accepted between two drains.
// A drain shuts the server down gracefully, which asks its callers to reconnect
// elsewhere; a new generation serves connections that still arrive.
type generation struct {
	server *http3.Server
	expire context.CancelFunc
}

// serve serves callers' connections until the context ends.
func (c *callerServer) serve(ctx context.Context, phases <-chan liveness.Phase) error {
	defer c.close()
	failed := make(chan error, 1)
	current := c.begin(failed)
	var retired []*generation
	for {
		select {
		case <-ctx.Done():
			closeAll(append(retired, current))
			return nil
		case err := <-failed:
			return err
		case phase := <-phases:
			if phase == liveness.Draining || phase == liveness.Expired {
				retired = append(retired, c.retire(ctx, current))
				current = c.begin(failed)
			}
			if phase == liveness.Expired {
				expireAll(retired)
				retired = nil
			}
		}
	}
}

// begin starts a generation that serves the listener's next connections. An error
// of its server is sent to failed.
func (c *callerServer) begin(failed chan<- error) *generation {
	g := &generation{server: &http3.Server{Handler: c.handler}}
	go func() {
		err := g.server.ServeListener(c.listener)
		if errors.Is(err, http.ErrServerClosed) || errors.Is(err, quic.ErrServerClosed) {
			return
		}
		select {
		case failed <- err:
		default:
		}
	}()
	return g
}

// retire asks the callers of a generation to reconnect elsewhere. Open requests
// continue until the generation expires.
func (c *callerServer) retire(ctx context.Context, g *generation) *generation {
	limited, expire := context.WithCancel(ctx)
	g.expire = expire
	go func() { _ = g.server.Shutdown(limited) }()
	return g
}

func expireAll(generations []*generation) {
	for _, g := range generations {
		g.expire()
	}
}

// closeAll closes the connections of all generations. It returns after
// closeGracePeriod at the latest.
func closeAll(generations []*generation) {
	var group errgroup.Group
	for _, g := range generations {
		group.Go(g.server.Close)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = group.Wait()
	}()
	timer := time.NewTimer(closeGracePeriod)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

func (c *callerServer) close() {
	_ = c.listener.Close()
	_ = c.transport.Close()
}
