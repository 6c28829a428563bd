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

// Help is the command's page.
func (*settingsCheckCommand) Help() string {
	return `Shows every problem at once: file, key, value, what is allowed. Secrets are not shown.

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

// settingsChecked is the outcome of a check of settings.
type settingsChecked struct {
	Valid    bool               `json:"valid"`
	Problems []document.Problem `json:"problems"`
}

func settingsDocument(err error) settingsChecked {
	result := settingsChecked{Valid: err == nil, Problems: []document.Problem{}}
	var check *settings.CheckError
	if errors.As(err, &check) {
		result.Problems = check.Problems
	}
	return result
}
