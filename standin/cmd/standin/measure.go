package main

import (
	"fmt"
	"os"
	"time"

	"cactustray/standin/measure"
)

type measureCommand struct {
	Seed    uint64        `default:"1"`
	Length  time.Duration `default:"300s" help:"Virtual time of the steady scenarios."`
	File    string        `help:"Keep the figures here as JSON and compare with those kept before."`
	Service []string      `help:"Measure only these services."`
}

// Run measures and prints.
func (c *measureCommand) Run() error {
	report := measure.Take(c.Seed, c.Length, c.Service)
	if c.File != "" {
		earlier, err := measure.Load(c.File)
		if err != nil {
			return err
		}
		report.Earlier = earlier
	}
	fmt.Print(report.Text())
	if c.File == "" {
		return nil
	}
	return report.Keep(c.File, os.Getenv("MEASURED_AT"))
}
