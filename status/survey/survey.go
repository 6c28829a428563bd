// Package survey asks many nodes how they stand, at the same time and with a
// bound on the calls in progress.
package survey

import (
	"context"
	"net/http"
	"time"

	"cactustray/control/rpc"
	"cactustray/status"
	"cactustray/status/query"

	"golang.org/x/sync/errgroup"
)

// maxCalls is how many calls are in progress at once.
const maxCalls = 64

// Surveyor asks nodes. It is safe for concurrent use.
type Surveyor struct {
	// Client makes the calls with the operator's certificate.
	Client *http.Client
	// Timeout bounds each call.
	Timeout time.Duration
}

// Scope says which nodes are asked for what.
type Scope struct {
	// Seeds are control addresses; the other nodes are learned from them.
	Seeds []string
	// Known are nodes to ask whether or not a seed knows them.
	Known []status.Known
	// Services limits the reports, and the agents asked; empty means all.
	Services []string
	// SeedsOnly asks nobody but the seeds.
	SeedsOnly bool
}

// Ask asks the seeds, then every node they know. A node that does not answer is
// in the result with its failure.
func (s *Surveyor) Ask(ctx context.Context, scope Scope) status.Fleet {
	var seeds []status.Known
	for _, address := range scope.Seeds {
		seeds = append(seeds, status.Known{Control: address})
	}
	q := query.Query{Services: scope.Services, OmitNodes: scope.SeedsOnly}
	answers := s.askAll(ctx, seeds, q)
	if scope.SeedsOnly {
		return status.Fleet{Answers: answers}
	}
	others := discovered(answers, scope.Known)
	q.OmitNodes = true
	return status.Fleet{Answers: append(answers, s.askAll(ctx, others, q)...)}
}

// discovered returns the nodes that the answers name and that were not asked,
// and gives each answer what others know of it.
func discovered(answers []status.Answer, more []status.Known) []status.Known {
	asked := make(map[string]*status.Answer, len(answers))
	for i := range answers {
		asked[answers[i].Address] = &answers[i]
	}
	var others []status.Known
	seen := make(map[string]bool)
	consider := func(n status.Known) {
		if answer := asked[n.Control]; answer != nil {
			answer.Known = n
			return
		}
		if !seen[n.Control] {
			seen[n.Control] = true
			others = append(others, n)
		}
	}
	for _, answer := range answers {
		if answer.Report == nil {
			continue
		}
		for _, n := range answer.Report.Nodes {
			consider(n)
		}
	}
	for _, n := range more {
		consider(n)
	}
	return others
}

func (s *Surveyor) askAll(ctx context.Context, nodes []status.Known, q query.Query) []status.Answer {
	answers := make([]status.Answer, len(nodes))
	var group errgroup.Group
	group.SetLimit(maxCalls)
	for i, node := range nodes {
		group.Go(func() error {
			answers[i] = s.ask(ctx, node, q)
			return nil
		})
	}
	_ = group.Wait()
	return answers
}

func (s *Surveyor) ask(ctx context.Context, node status.Known, q query.Query) status.Answer {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	report, err := query.NewClient(s.Client, rpc.Base(node.Control)).Report(ctx, q)
	return status.Answer{Address: node.Control, Known: node, Report: report, Failure: err}
}

// NoTicketError reports that no node asked has a ticket for a service.
type NoTicketError struct {
	Service string
	// Cause is why the last node did not answer, or nil.
	Cause error
}

func (e *NoTicketError) Error() string {
	if e.Cause != nil {
		return "no node answered about service " + e.Service + ": " + e.Cause.Error()
	}
	return "no ticket is in force for service " + e.Service
}

// Unwrap returns the cause.
func (e *NoTicketError) Unwrap() error { return e.Cause }

// Ticket returns the text of the ticket in force on the first node that has
// one. It fails with *NoTicketError.
func (s *Surveyor) Ticket(ctx context.Context, nodes []string, service string) ([]byte, error) {
	var last error
	for _, node := range nodes {
		document, err := s.ticketOf(ctx, node, service)
		if err == nil && len(document) > 0 {
			return document, nil
		}
		if err != nil {
			last = err
		}
	}
	return nil, &NoTicketError{Service: service, Cause: last}
}

func (s *Surveyor) ticketOf(ctx context.Context, node, service string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	return query.NewClient(s.Client, rpc.Base(node)).Ticket(ctx, service)
}
