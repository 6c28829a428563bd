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
	SeedsOnly bool     `help:"Query only the nodes given, not the nodes that they know."`
	JSON      bool     `name:"json" help:"Write JSON."`
}

// Help returns the detailed help of the command.
func (*statusCommand) Help() string {
	return `One line for each node and service. AGE is how long the ticket has been in force on
the node. ACCEPTED is yes if no ticket with the same number and other content can replace
it. NOTE shows nodes that are behind or did not answer, conflicts and refused tickets.
CONTROL and CORE are the node's control traffic and CPU time, against its budget.`
}

// Run prints one line for each service on each node.
func (c *statusCommand) Run(ctx context.Context, out io.Writer) error {
	fleet, err := c.queryNodes(ctx, survey.Scope{Services: c.Service, SeedsOnly: c.SeedsOnly})
	if err != nil {
		return err
	}
	lines := fleet.Lines()
	if c.JSON {
		err = writeJSON(out, statusDocument(lines))
	} else {
		err = writeStatus(out, lines)
	}
	return errors.Join(err, c.requireAnswer(fleet))
}

// NoAnswerError reports that no node answered.
type NoAnswerError struct{ Nodes []string }

func (e *NoAnswerError) Error() string { return "no node answered: " + strings.Join(e.Nodes, ", ") }

// requireAnswer returns *NoAnswerError if no node answered.
func (c *connectionFlags) requireAnswer(fleet status.Fleet) error {
	if len(fleet.Reachable().Answers) == 0 {
		return &NoAnswerError{Nodes: c.Nodes}
	}
	return nil
}

// queryNodes queries the nodes of --nodes and, unless scope.SeedsOnly is set, the nodes
// that they know.
func (c *connectionFlags) queryNodes(ctx context.Context, scope survey.Scope) (status.Fleet, error) {
	surveyor, err := c.surveyor()
	if err != nil {
		return status.Fleet{}, err
	}
	scope.Seeds = c.Nodes
	return surveyor.QueryNodes(ctx, scope), nil
}

type flowsCommand struct {
	connectionFlags
	Service []string `short:"s" help:"Only agents of these services."`
	JSON    bool     `name:"json" help:"Write JSON."`
}

// Help returns the detailed help of the command.
func (*flowsCommand) Help() string {
	return `One line for each agent: callers' open connections, requests running on the backend
server, and requests waiting for a slot. Balancers have no flows, so they are left out.`
}

// Run prints one line for each agent.
func (c *flowsCommand) Run(ctx context.Context, out io.Writer) error {
	fleet, err := c.queryNodes(ctx, survey.Scope{Services: c.Service})
	if err != nil {
		return err
	}
	agents := fleet.Agents()
	if c.JSON {
		err = writeJSON(out, flowsDocument(agents))
	} else {
		err = writeFlows(out, agents)
	}
	return errors.Join(err, c.requireAnswer(fleet))
}
