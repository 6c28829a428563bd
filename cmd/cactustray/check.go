package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"cactustray/check"
)

// Exit codes of the check command.
const (
	exitFindings   = 1
	exitUnreadable = 2
)

type checkCommand struct {
	JSON    bool   `name:"json" help:"Write JSON."`
	InForce string `help:"The version in force, to compare with." placeholder:"FILE"`
	File    string `arg:"" help:"A ticket, or a desired state of the packet roles."`
}

// Help returns the detailed help of the command.
func (*checkCommand) Help() string {
	return `Checks a configuration offline before it is published. Shows file, line, field and value of
each problem: values for which nodes refuse the document, values that they do not use, entries that
never match, and values that contradict each other. With --in-force it also shows the differences.

Exit codes: 0 no findings, 1 findings, 2 a file cannot be read.`
}

// FindingsError reports that a check had findings.
type FindingsError struct{ Count int }

func (e *FindingsError) Error() string { return fmt.Sprintf("%d findings", e.Count) }

// ExitCode returns exitFindings.
func (*FindingsError) ExitCode() int { return exitFindings }

// UnreadableFileError reports a file that cannot be read or is no configuration.
type UnreadableFileError struct{ Cause error }

func (e *UnreadableFileError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnreadableFileError) Unwrap() error { return e.Cause }

// ExitCode returns exitUnreadable.
func (*UnreadableFileError) ExitCode() int { return exitUnreadable }

// Run checks a file and writes the findings.
func (c *checkCommand) Run(out io.Writer) error {
	next, err := readFile(c.File)
	if err != nil {
		return err
	}
	var inForce *check.File
	if c.InForce != "" {
		if inForce, err = readFile(c.InForce); err != nil {
			return err
		}
	}
	result, err := check.Check(*next, inForce)
	if err != nil {
		return &UnreadableFileError{Cause: err}
	}
	if err := writeFindings(out, result, c.JSON); err != nil {
		return err
	}
	if len(result.Findings) > 0 {
		return &FindingsError{Count: len(result.Findings)}
	}
	return nil
}

func readFile(name string) (*check.File, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, &UnreadableFileError{Cause: err}
	}
	return &check.File{Name: name, Text: text}, nil
}

func writeFindings(out io.Writer, result *check.Result, asJSON bool) error {
	if asJSON {
		return writeJSON(out, result)
	}
	var failed error
	line := func(format string, args ...any) {
		_, err := fmt.Fprintf(out, format+"\n", args...)
		failed = errors.Join(failed, err)
	}
	for _, f := range result.Findings {
		line("%s", f)
	}
	for _, change := range result.Changes {
		line("  %s  %s  %s -> %s", change.Action, change.Part, change.Before, change.After)
	}
	if len(result.Findings) == 0 {
		line("%s: no findings", result.File)
	}
	if result.Compared && len(result.Changes) == 0 {
		line("no difference from the version in force")
	}
	return failed
}
