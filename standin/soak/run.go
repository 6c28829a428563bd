package soak

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Result holds what a run of a plan showed.
type Result struct {
	Plan       Plan
	Violations []Violation
	// Attempts counts attempts by their outcome.
	Attempts map[Outcome]int
}

// String returns a line of counts, and a line for each violation.
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

// Run carries out a plan; settings and logs are written to dir. It fails if the deployment
// does not start or a fault cannot be carried out.
func Run(ctx context.Context, plan Plan, dir, binary string) (Result, error) {
	result := Result{Plan: plan, Attempts: make(map[Outcome]int)}
	c, err := newCluster(plan, dir, binary)
	if err != nil {
		return result, err
	}
	defer c.close()
	if err := c.runPlan(ctx); err != nil {
		return result, err
	}
	h := c.history.snapshot(plan)
	result.Violations = Check(h)
	for _, a := range h.Attempts {
		result.Attempts[a.Outcome]++
	}
	return result, nil
}

// runPlan runs the load and the faults, and after recoveryTime the requests that must succeed.
func (c *cluster) runPlan(ctx context.Context) error {
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	routerCtx, stopRouter := context.WithCancel(ctx)
	defer stopRouter()
	go c.router.Run(routerCtx)
	c.history.start()
	l := &load{cluster: c}
	l.start(loadCtx)
	err := c.injectAll(ctx)
	sleep(ctx, recoveryTime)
	stopLoad()
	l.finish()
	return err
}

// injectAll carries out every fault at its time and waits for the end of all.
func (c *cluster) injectAll(ctx context.Context) error {
	var group sync.WaitGroup
	errs := make([]error, len(c.plan.Faults))
	for i, fault := range c.plan.Faults {
		sleep(ctx, fault.At-c.history.now())
		if ctx.Err() != nil {
			break
		}
		group.Go(func() { errs[i] = c.inject(fault) })
	}
	group.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return ctx.Err()
}

// Shrink tries to remove each fault from a plan, leaves out those without which the plan is
// still reported to have violations, and returns the smallest plan found before the deadline.
// Each try costs a run.
func Shrink(plan Plan, hasViolations func(Plan) bool, deadline time.Time) Plan {
	for i := 0; i < len(plan.Faults) && time.Now().Before(deadline); {
		smaller := plan
		smaller.Faults = append(append([]Fault(nil), plan.Faults[:i]...), plan.Faults[i+1:]...)
		if hasViolations(smaller) {
			plan = smaller
			continue
		}
		i++
	}
	return plan
}
