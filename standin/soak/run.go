package soak

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Result is what came of a run.
type Result struct {
	Plan       Plan
	Violations []Violation
	// Attempts counts requests by their outcome.
	Attempts map[Outcome]int
}

// String sums the result up in a line, and one for each violation.
func (r Result) String() string {
	text := fmt.Sprintf("seed %d: %d faults, %d requests answered", r.Plan.Seed, len(r.Plan.Faults), r.Attempts[Answered])
	for o := RefusedOpening; o <= SilentOpen; o++ {
		if r.Attempts[o] > 0 {
			text += fmt.Sprintf(", %d %v", r.Attempts[o], o)
		}
	}
	for _, v := range r.Violations {
		text += "\n  broken: " + v.String()
	}
	return text
}

// Run carries a plan out in a folder, which keeps settings and logs. It fails when the
// deployment does not start or a fault cannot be carried out.
func Run(ctx context.Context, plan Plan, dir, binary string) (Result, error) {
	result := Result{Plan: plan, Attempts: make(map[Outcome]int)}
	w, err := newWorld(plan, dir, binary)
	if err != nil {
		return result, err
	}
	defer w.close()
	if err := w.play(ctx); err != nil {
		return result, err
	}
	h := w.history.whole(plan)
	result.Violations = Check(h)
	for _, a := range h.Attempts {
		result.Attempts[a.Outcome]++
	}
	return result, nil
}

// play runs the load and the faults, and after them what must work again.
func (w *world) play(ctx context.Context) error {
	loading, stop := context.WithCancel(ctx)
	defer stop()
	checks, stopChecks := context.WithCancel(ctx)
	defer stopChecks()
	go w.router.Run(checks)
	w.history.begin()
	l := &load{world: w}
	l.begin(loading)
	err := w.injectAll(ctx)
	sleep(ctx, recoverTime)
	stop()
	l.finish()
	return err
}

// injectAll carries every fault out at its time and waits for their ends.
func (w *world) injectAll(ctx context.Context) error {
	var group sync.WaitGroup
	failed := make([]error, len(w.plan.Faults))
	for i, fault := range w.plan.Faults {
		sleep(ctx, fault.At-w.history.now())
		if ctx.Err() != nil {
			break
		}
		group.Go(func() { failed[i] = w.inject(fault) })
	}
	group.Wait()
	for _, err := range failed {
		if err != nil {
			return err
		}
	}
	return ctx.Err()
}

// Shrink leaves faults out of a plan that broke a promise while it still does, and
// returns the smaller plan. Each fault costs a run.
func Shrink(plan Plan, broken func(Plan) bool, until time.Time) Plan {
	for i := 0; i < len(plan.Faults) && time.Now().Before(until); {
		smaller := plan
		smaller.Faults = append(append([]Fault(nil), plan.Faults[:i]...), plan.Faults[i+1:]...)
		if broken(smaller) {
			plan = smaller
			continue
		}
		i++
	}
	return plan
}
