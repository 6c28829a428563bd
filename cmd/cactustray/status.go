package main

import (
	"context"
	"errors"
	"io"
	"strings"

	"cactustray/status"
	"cactustray/status/survey"
)

type statusCommand struct {
	connectionFlags
	Service   []string `short:"s" help:"Only these services."`
	SeedsOnly bool     `help:"Ask only the nodes named, not those they know."`
	JSON      bool     `name:"json" help:"Write JSON."`
}

// Help is the command's page.
func (*statusCommand) Help() string {
	return `One line a node and service. AGE is how long the ticket has been in force on the
node. ACCEPTED tells that the ticket will not be displaced by a rival of its number.
NOTE says who is behind, what conflicts, what was refused and who did not answer.
CONTROL and CORE are what the node spends on control, against its budget.`
}

// Run prints one line for each service on each node.
func (c *statusCommand) Run(ctx context.Context, out io.Writer) error {
	fleet, err := c.ask(ctx, survey.Scope{Services: c.Service, SeedsOnly: c.SeedsOnly})
	if err != nil {
		return err
	}
	lines := fleet.Lines()
	if c.JSON {
		err = writeJSON(out, statusDocument(lines))
	} else {
		err = writeStatus(out, lines)
	}
	return errors.Join(err, c.unanswered(fleet))
}

// NoAnswerError reports that no node answered.
type NoAnswerError struct{ Nodes []string }

func (e *NoAnswerError) Error() string { return "no node answered: " + strings.Join(e.Nodes, ", ") }

func (c *connectionFlags) unanswered(fleet status.Fleet) error {
	if len(fleet.Reachable().Answers) == 0 {
		return &NoAnswerError{Nodes: c.Nodes}
	}
	return nil
}

func (c *connectionFlags) ask(ctx context.Context, scope survey.Scope) (status.Fleet, error) {
	surveyor, err := c.surveyor()
	if err != nil {
		return status.Fleet{}, err
	}
	scope.Seeds = c.Nodes
	return surveyor.Ask(ctx, scope), nil
}

type flowsCommand struct {
	connectionFlags
	Service []string `short:"s" help:"Only agents of these services."`
	JSON    bool     `name:"json" help:"Write JSON."`
}

// Help is the command's page.
func (*flowsCommand) Help() string {
	return `One line an agent: callers' connections open, requests running on the backend
server, and requests waiting for a slot. Balancers keep no flows, so they are left out.`
}

// Run prints one line for each agent.
func (c *flowsCommand) Run(ctx context.Context, out io.Writer) error {
	fleet, err := c.ask(ctx, survey.Scope{Services: c.Service})
	if err != nil {
		return err
	}
	agents := fleet.Agents()
	if c.JSON {
		err = writeJSON(out, flowsDocument(agents))
	} else {
		err = writeFlows(out, agents)
	}
	return errors.Join(err, c.unanswered(fleet))
}
