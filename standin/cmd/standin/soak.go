package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"cactustray/standin/process"
	"cactustray/standin/soak"
)

type soakCommand struct {
	First     uint64        `default:"1" help:"The first seed."`
	Seeds     uint64        `default:"10" help:"Number of seeds."`
	Length    time.Duration `default:"12s" help:"Time during which faults begin, in each run."`
	Balancers int           `default:"3"`
	Endpoints int           `default:"7"`
	Planned   bool          `help:"Draw planned work alone, under which no request may fail."`
	Restores  bool          `help:"Add restores of the store from copies of some seconds before."`
	Evacuate  bool          `help:"Evacuate a failure domain and return it to service."`
	Moves     bool          `help:"Add moves of a route, restarts in turn and kills of all balancers."`
	Plan      string        `type:"existingfile" help:"Run this plan instead of drawing plans from seeds."`
	Keep      string        `type:"existingdir" default:"." help:"Folder for the plan, settings and logs of a run with violations."`
	Shrink    time.Duration `help:"Time limit of the search for a smaller plan that also has violations."`
}

// ViolationError reports how many runs had violations.
type ViolationError struct{ Runs int }

func (e *ViolationError) Error() string { return fmt.Sprintf("runs with violations: %d", e.Runs) }

// Run runs the plans one after another. It fails with *ViolationError if any had violations.
func (c *soakCommand) Run(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "cactustray-soak")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	binary, err := process.BuildDaemon(dir)
	if err != nil {
		return err
	}
	plans, err := c.plans()
	if err != nil {
		return err
	}
	runsWithViolations := 0
	for _, plan := range plans {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		hasViolations, err := c.runPlan(ctx, plan, binary)
		if err != nil {
			return err
		}
		if hasViolations {
			runsWithViolations++
		}
	}
	if runsWithViolations > 0 {
		return &ViolationError{Runs: runsWithViolations}
	}
	return nil
}

func (c *soakCommand) plans() ([]soak.Plan, error) {
	if c.Plan != "" {
		plan, err := soak.LoadPlan(c.Plan)
		return []soak.Plan{plan}, err
	}
	size := soak.Size{Balancers: c.Balancers, Endpoints: c.Endpoints, Length: c.Length, PlannedOnly: c.Planned, Restores: c.Restores, Moves: c.Moves, Evacuations: c.Evacuate}
	var plans []soak.Plan
	for seed := c.First; seed < c.First+c.Seeds; seed++ {
		plans = append(plans, soak.Draw(seed, size))
	}
	return plans, nil
}

// runPlan runs one plan and reports whether it had violations. In that case its folder is not
// removed.
func (c *soakCommand) runPlan(ctx context.Context, plan soak.Plan, binary string) (hasViolations bool, err error) {
	dir, err := os.MkdirTemp(c.Keep, fmt.Sprintf("soak-%d-", plan.Seed))
	if err != nil {
		return false, err
	}
	result, err := soak.Run(ctx, plan, dir, binary)
	if err != nil {
		return false, err
	}
	fmt.Println(result)
	if len(result.Violations) == 0 {
		return false, os.RemoveAll(dir)
	}
	fmt.Println("  kept:", dir)
	return true, c.shrink(ctx, plan, dir, binary)
}

// shrink saves the plan and, if c.Shrink is set, the smallest plan with violations that it
// finds in that time.
func (c *soakCommand) shrink(ctx context.Context, plan soak.Plan, dir, binary string) error {
	if err := plan.Save(filepath.Join(dir, "plan.json")); err != nil || c.Shrink == 0 {
		return err
	}
	hasViolations := func(smaller soak.Plan) bool {
		runDir, err := os.MkdirTemp(dir, "smaller-")
		if err != nil {
			return false
		}
		result, err := soak.Run(ctx, smaller, runDir, binary)
		return err == nil && len(result.Violations) > 0
	}
	smaller := soak.Shrink(plan, hasViolations, time.Now().Add(c.Shrink))
	fmt.Printf("  shrunk: %d of %d faults\n", len(smaller.Faults), len(plan.Faults))
	return smaller.Save(filepath.Join(dir, "smaller.json"))
}
