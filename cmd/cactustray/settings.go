package main

import (
	"errors"
	"fmt"
	"io"

	"cactustray/document"
	"cactustray/settings"
)

type settingsCommands struct {
	Check settingsCheckCommand `cmd:"" help:"Check a daemon's settings file as the daemon does before it starts."`
}

type settingsCheckCommand struct {
	JSON bool   `name:"json" help:"Write JSON."`
	File string `arg:"" type:"existingfile" help:"The settings."`
}

// Help returns the detailed help of the command.
func (*settingsCheckCommand) Help() string {
	return `Shows all problems at once: file, key, value and allowed values. Secrets are not shown.

Exit codes: 0 the settings are valid, 1 they are not.`
}

// Run checks settings as the daemon does before it starts.
func (c *settingsCheckCommand) Run(out io.Writer) error {
	_, err := settings.Load(c.File)
	if c.JSON {
		return errors.Join(writeJSON(out, settingsDocument(err)), err)
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, "settings are valid")
	return err
}

// settingsCheckResult is the output of `settings check --json`.
type settingsCheckResult struct {
	Valid    bool               `json:"valid"`
	Problems []document.Problem `json:"problems"`
}

func settingsDocument(err error) settingsCheckResult {
	result := settingsCheckResult{Valid: err == nil, Problems: []document.Problem{}}
	var check *settings.CheckError
	if errors.As(err, &check) {
		result.Problems = check.Problems
	}
	return result
}
