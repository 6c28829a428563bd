package main

import (
	"context"
	"errors"
	"io"
	"time"

	"cactustray/membership"
	"cactustray/status"
	"cactustray/status/survey"
	"cactustray/ticket"
)

// pollInterval is the interval at which the nodes are queried.
const pollInterval = 250 * time.Millisecond

type ticketSubmitCommand struct {
	connectionFlags
	Publish           string        `placeholder:"URL" env:"CACTUSTRAY_PUBLISH" help:"URL of the platform for the ticket's PUT; {service} is replaced by the service's name. Without it, only follow."`
	Token             string        `env:"CACTUSTRAY_PUBLISH_TOKEN" placeholder:"TOKEN" help:"Bearer token for the platform."`
	Deadline          time.Duration `default:"30s" help:"How long to follow the ticket."`
	IgnoreUnreachable bool          `help:"Don't wait for nodes that do not answer."`
	JSON              bool          `name:"json" help:"Write JSON."`
	File              string        `arg:"" type:"existingfile" help:"The ticket."`
}

// Help returns the detailed help of the command.
func (*ticketSubmitCommand) Help() string {
	return `Checks the ticket, compares it with the one in force, publishes it with the
operator's own credentials and follows it until every balancer and every agent of the
service has it in force and accepted. Nodes of the system never write to the platform.
If tickets are published by other means, leave --publish out and start the command
after publishing: it then only follows the ticket.

A number that is in force with other content is refused before anything is published.

Exit codes: 0 in force and accepted everywhere, 2 refused, 3 not yet at the deadline
(it may still come into force; the nodes that it waits for are listed), 1 other failure.`
}

// submitResult is the result of a submission.
type submitResult struct {
	Service string        `json:"service"`
	Number  ticket.Number `json:"number"`
	Verdict string        `json:"verdict"`
	Nodes   int           `json:"nodes"`
	// InForceAfter is the time from the first poll until the ticket was first in force
	// on every node, accepted or not; 0 if it never was.
	InForceAfter time.Duration   `json:"in_force_after_ns"`
	After        time.Duration   `json:"after_ns"`
	Changes      []ticket.Change `json:"changes,omitempty"`
	Waiting      []waitingNode   `json:"waiting,omitempty"`
	// Conflicts is the number of nodes that saw other content under the ticket's
	// number.
	Conflicts int `json:"conflicts"`
}

// Run publishes the ticket and follows it until it is in force everywhere.
func (c *ticketSubmitCommand) Run(ctx context.Context, out io.Writer) error {
	record, err := readTicket(c.File)
	var invalid *ticket.CheckError
	if errors.As(err, &invalid) {
		return &RefusedError{Service: invalid.Service, Reason: invalid.Error()}
	}
	if err != nil {
		return err
	}
	inForce, err := c.inForce(ctx, record.Ticket.Service)
	if err != nil {
		return err
	}
	if err := refusal(inForce, record); err != nil {
		return err
	}
	if c.Publish != "" {
		if err := publish(ctx, c.Publish, c.Token, record); err != nil {
			return err
		}
	}
	surveyor, err := c.surveyor()
	if err != nil {
		return err
	}
	started := time.Now()
	var inForceAfter time.Duration
	progress := c.follow(ctx, surveyor, record, func(p status.Progress) {
		if inForceAfter == 0 && p.InForce() {
			inForceAfter = time.Since(started)
		}
	})
	outcome := submitResult{
		Service:      record.Ticket.Service,
		Number:       record.Ticket.Number,
		Verdict:      progress.Verdict.String(),
		Nodes:        len(progress.Nodes),
		InForceAfter: inForceAfter,
		After:        time.Since(started),
		Changes:      ticket.Changes(ticketOf(inForce), record.Ticket),
		Waiting:      waitingNodes(progress),
		Conflicts:    progress.Conflicts,
	}
	if err := writeSubmitResult(out, outcome, c.JSON); err != nil {
		return err
	}
	return failureOf(outcome, progress)
}

// follow queries the nodes until the verdict is final or the deadline passes, and
// calls onProgress with the result of each poll.
func (c *ticketSubmitCommand) follow(ctx context.Context, surveyor *survey.Surveyor, record ticket.Record, onProgress func(status.Progress)) status.Progress {
	ctx, cancel := context.WithTimeout(ctx, c.Deadline)
	defer cancel()
	target := status.Target{Service: record.Ticket.Service, Number: record.Ticket.Number, Content: record.Content}
	scope := survey.Scope{Seeds: c.Nodes, Known: agentsOf(record.Ticket), Services: []string{target.Service}}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var last status.Progress
	for {
		fleet := surveyor.QueryNodes(ctx, scope)
		if ctx.Err() != nil && len(last.Nodes) > 0 {
			return last // the deadline passed during this poll, so its answers are incomplete
		}
		if c.IgnoreUnreachable {
			fleet = fleet.Reachable()
		}
		last = fleet.Progress(target)
		onProgress(last)
		if last.Verdict != status.NotYet {
			return last
		}
		select {
		case <-ctx.Done():
			return last
		case <-ticker.C:
		}
	}
}

// agentsOf returns the agents of a ticket's endpoints.
func agentsOf(t *ticket.Ticket) []status.KnownNode {
	var known []status.KnownNode
	for _, e := range t.Endpoints {
		known = append(known, status.KnownNode{Name: e.Name, Role: membership.RoleAgent, Control: e.Control.String(), Service: t.Service})
	}
	return known
}

// failureOf returns the error of a submission that did not come into force
// everywhere, else nil.
func failureOf(outcome submitResult, progress status.Progress) error {
	switch progress.Verdict {
	case status.Accepted:
		return nil
	case status.Refused:
		return &RefusedError{Service: outcome.Service, Reason: refusedReason(progress)}
	}
	return &NotYetError{Service: outcome.Service, Waiting: progress.Waiting()}
}

func refusedReason(progress status.Progress) string {
	for _, n := range progress.Nodes {
		if n.Verdict == status.Refused {
			return n.Reason + " on " + n.Node
		}
	}
	return ""
}
