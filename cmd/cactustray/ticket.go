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
	Submit ticketSubmitCommand `cmd:"" help:"Hand a ticket over and follow it until it is in force everywhere."`
}

type ticketCheckCommand struct {
	connectionFlags
	JSON bool   `name:"json" help:"Write JSON."`
	File string `arg:"" type:"existingfile" help:"The ticket."`
}

// Help is the command's page.
func (*ticketCheckCommand) Help() string {
	return `Shows every problem of the ticket at once: field, value, what is allowed.
With --nodes it also shows what the ticket would change against the one in force.

Exit codes: 0 the ticket is valid, 2 it would be refused, 1 other failure.`
}

// checked is the outcome of a check.
type checked struct {
	File     string             `json:"file"`
	Service  string             `json:"service,omitempty"`
	Number   ticket.Number      `json:"number,omitempty"`
	Problems []document.Problem `json:"problems,omitempty"`
	// InForce is the number in force, 0 when there is none or no node was
	// asked.
	InForce ticket.Number   `json:"in_force,omitempty"`
	Changes []ticket.Change `json:"changes,omitempty"`
	// Compared tells that a node was asked.
	Compared bool `json:"compared"`
}

// Run checks a ticket and shows what it says.
func (c *ticketCheckCommand) Run(ctx context.Context, out io.Writer) error {
	result := checked{File: c.File}
	held, err := readTicket(c.File)
	var invalid *ticket.CheckError
	if errors.As(err, &invalid) {
		result.Service = invalid.Service
		result.Problems = invalid.Problems
		return errors.Join(writeChecked(out, result, c.JSON), &RefusedError{Service: invalid.Service, Reason: "the ticket is not valid"})
	}
	if err != nil {
		return err
	}
	result.Service = held.Ticket.Service
	result.Number = held.Ticket.Number
	if !c.given() {
		return writeChecked(out, result, c.JSON)
	}
	inForce, err := c.inForce(ctx, result.Service)
	if err != nil {
		return err
	}
	result.Compared = true
	result.Changes = ticket.Changes(ticketOf(inForce), held.Ticket)
	if inForce != nil {
		result.InForce = inForce.Ticket.Number
	}
	return errors.Join(writeChecked(out, result, c.JSON), refusal(inForce, held))
}

// inForce returns what a node has in force, or nil. It fails when no node
// answers.
func (c *connectionFlags) inForce(ctx context.Context, service string) (*ticket.Held, error) {
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
	held, err := ticket.NewHeld(text, 0, false)
	return &held, err
}

func readTicket(file string) (ticket.Held, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return ticket.Held{}, err
	}
	return ticket.NewHeld(text, 0, false)
}

func ticketOf(held *ticket.Held) *ticket.Ticket {
	if held == nil {
		return nil
	}
	return held.Ticket
}

// refusal tells why a ticket would not come into force beside the one that is,
// or nil.
func refusal(inForce *ticket.Held, next ticket.Held) error {
	if inForce == nil {
		return nil
	}
	service := next.Ticket.Service
	switch {
	case next.Ticket.Number < inForce.Ticket.Number:
		return &RefusedError{Service: service, Reason: "a newer ticket is in force"}
	case next.Ticket.Number == inForce.Ticket.Number && next.Content != inForce.Content:
		return &RefusedError{Service: service, Reason: "its number is in force with other content; use the next number"}
	}
	return nil
}
