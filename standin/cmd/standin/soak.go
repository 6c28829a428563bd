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
	Seeds     uint64        `default:"10" help:"How many seeds."`
	Length    time.Duration `default:"12s" help:"How long faults come, in each run."`
	Balancers int           `default:"3"`
	Endpoints int           `default:"7"`
	Planned   bool          `help:"Planned work alone: nothing may break."`
	Plan      string        `type:"existingfile" help:"Play this plan instead of seeds."`
	Keep      string        `type:"existingdir" default:"." help:"Where the plan, settings and logs of a run that breaks a promise go."`
	Shrink    time.Duration `help:"How long to look for a smaller plan that breaks a promise too."`
}

// BrokenError reports how many runs broke a promise.
type BrokenError struct{ Runs int }

func (e *BrokenError) Error() string { return fmt.Sprintf("runs that broke a promise: %d", e.Runs) }

// Run plays the seeds one after another.
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
	broken := 0
	for _, plan := range plans {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		failed, err := c.play(ctx, plan, binary)
		if err != nil {
			return err
		}
		if failed {
			broken++
		}
	}
	if broken > 0 {
		return &BrokenError{Runs: broken}
	}
	return nil
}

func (c *soakCommand) plans() ([]soak.Plan, error) {
	if c.Plan != "" {
		plan, err := soak.LoadPlan(c.Plan)
		return []soak.Plan{plan}, err
	}
	size := soak.Size{Balancers: c.Balancers, Endpoints: c.Endpoints, Length: c.Length, PlannedOnly: c.Planned}
	var plans []soak.Plan
	for seed := c.First; seed < c.First+c.Seeds; seed++ {
		plans = append(plans, soak.Draw(seed, size))
	}
	return plans, nil
}

// play plays one plan, and keeps its folder when it breaks a promise.
func (c *soakCommand) play(ctx context.Context, plan soak.Plan, binary string) (broken bool, err error) {
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

// shrink saves the plan, and a smaller one where there is time to look for it.
func (c *soakCommand) shrink(ctx context.Context, plan soak.Plan, dir, binary string) error {
	if err := plan.Save(filepath.Join(dir, "plan.json")); err != nil || c.Shrink == 0 {
		return err
	}
	still := func(smaller soak.Plan) bool {
		again, err := os.MkdirTemp(dir, "smaller-")
		if err != nil {
			return false
		}
		result, err := soak.Run(ctx, smaller, again, binary)
		return err == nil && len(result.Violations) > 0
	}
	smaller := soak.Shrink(plan, still, time.Now().Add(c.Shrink))
	fmt.Printf("  shrunk: %d of %d faults\n", len(smaller.Faults), len(plan.Faults))
	return smaller.Save(filepath.Join(dir, "smaller.json"))
}
