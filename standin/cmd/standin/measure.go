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
	File    string        `help:"JSON file to store the figures in and to compare them with the earlier ones there."`
	Service []string      `help:"Measure only these services."`
}

// Run takes the measurements, prints the report and stores it in the file, if one is named.
func (c *measureCommand) Run() error {
	report := measure.RunServices(c.Seed, c.Length, c.Service)
	if c.File != "" {
		earlier, err := measure.Load(c.File)
		if err != nil {
			return err
		}
		report.Previous = earlier
	}
	fmt.Print(report.Text())
	if c.File == "" {
		return nil
	}
	return report.Save(c.File, os.Getenv("MEASURED_AT"))
}
