package main

import (
	"context"
	"errors"
	"io"
	"os"

	"cactustray/document"
	"cactustray/status/survey"
	"cactustray/ticket"
)

type ticketCommands struct {
	Check  ticketCheckCommand  `cmd:"" help:"Check a ticket and show what it would change."`
	Submit ticketSubmitCommand `cmd:"" help:"Publish a ticket and wait until it is in force everywhere."`
}

type ticketCheckCommand struct {
	connectionFlags
	JSON bool   `name:"json" help:"Write JSON."`
	File string `arg:"" type:"existingfile" help:"The ticket."`
}

// Help returns the detailed help of the command.
func (*ticketCheckCommand) Help() string {
	return `Shows all problems of the ticket at once: field, value and allowed values.
With --nodes it also shows the changes against the ticket in force.

Exit codes: 0 the ticket is valid, 2 it would be refused, 1 other failure.`
}

// checkResult is the result of a ticket check.
type checkResult struct {
	File     string             `json:"file"`
	Service  string             `json:"service,omitempty"`
	Number   ticket.Number      `json:"number,omitempty"`
	Problems []document.Problem `json:"problems,omitempty"`
	// InForce is the number of the ticket in force, 0 if there is none or no
	// node was queried.
	InForce ticket.Number   `json:"in_force,omitempty"`
	Changes []ticket.Change `json:"changes,omitempty"`
	// Compared is true if a node was queried for the ticket in force.
	Compared bool `json:"compared"`
}

// Run checks a ticket and shows its problems, or its changes against the ticket in
// force.
func (c *ticketCheckCommand) Run(ctx context.Context, out io.Writer) error {
	result := checkResult{File: c.File}
	record, err := readTicket(c.File)
	var invalid *ticket.CheckError
	if errors.As(err, &invalid) {
		result.Service = invalid.Service
		result.Problems = invalid.Problems
		return errors.Join(writeCheckResult(out, result, c.JSON), &RefusedError{Service: invalid.Service, Reason: "the ticket is not valid"})
	}
	if err != nil {
		return err
	}
	result.Service = record.Ticket.Service
	result.Number = record.Ticket.Number
	if !c.hasNodes() {
		return writeCheckResult(out, result, c.JSON)
	}
	inForce, err := c.inForce(ctx, result.Service)
	if err != nil {
		return err
	}
	result.Compared = true
	result.Changes = ticket.Changes(ticketOf(inForce), record.Ticket)
	if inForce != nil {
		result.InForce = inForce.Ticket.Number
	}
	return errors.Join(writeCheckResult(out, result, c.JSON), refusal(inForce, record))
}

// inForce returns the service's ticket in force on the first node that has one, or
// nil. It fails if no node returned a ticket and some node did not answer.
func (c *connectionFlags) inForce(ctx context.Context, service string) (*ticket.Record, error) {
	surveyor, err := c.surveyor()
	if err != nil {
		return nil, err
	}
	text, err := surveyor.Ticket(ctx, c.Nodes, service)
	var none *survey.NoTicketError
	if errors.As(err, &none) && none.Cause == nil {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	record, err := ticket.NewRecord(text, 0, false)
	return &record, err
}

// readTicket reads and checks a ticket file. It fails with *ticket.CheckError if the
// ticket is invalid.
func readTicket(file string) (ticket.Record, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return ticket.Record{}, err
	}
	return ticket.NewRecord(text, 0, false)
}

func ticketOf(record *ticket.Record) *ticket.Ticket {
	if record == nil {
		return nil
	}
	return record.Ticket
}

// refusal returns *RefusedError if the nodes would not replace the ticket in force by
// the next one, else nil.
func refusal(inForce *ticket.Record, next ticket.Record) error {
	if reason := ticket.NotReplacing(inForce, next); reason != "" {
		return &RefusedError{Service: next.Ticket.Service, Reason: reason}
	}
	return nil
}
