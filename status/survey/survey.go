// Package survey queries many nodes for their reports, in parallel and with a limit
// on concurrent calls.
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

// maxCalls is the maximum number of concurrent calls.
const maxCalls = 64

// Surveyor queries nodes. It is safe for concurrent use.
type Surveyor struct {
	// Client makes the calls with the operator's certificate.
	Client *http.Client
	// Timeout is the timeout of each call.
	Timeout time.Duration
}

// Scope selects the nodes to query and the services to report.
type Scope struct {
	// Seeds are control addresses; the other nodes are discovered through them.
	Seeds []string
	// Known are nodes to query even if no seed knows them.
	Known []status.KnownNode
	// Services limits the reports, and the agents that are queried, to these
	// services; empty means all.
	Services []string
	// SeedsOnly restricts the query to the seeds.
	SeedsOnly bool
}

// QueryNodes queries the seeds, then every node that they know. The result includes
// nodes that did not answer, with the failure.
func (s *Surveyor) QueryNodes(ctx context.Context, scope Scope) status.Fleet {
	var seeds []status.KnownNode
	for _, address := range scope.Seeds {
		seeds = append(seeds, status.KnownNode{Control: address})
	}
	q := query.Query{Services: scope.Services, OmitNodes: scope.SeedsOnly}
	answers := s.queryAll(ctx, seeds, q)
	if scope.SeedsOnly {
		return status.Fleet{Answers: answers}
	}
	others := discovered(answers, scope.Known)
	q.OmitNodes = true
	return status.Fleet{Answers: append(answers, s.queryAll(ctx, others, q)...)}
}

// discovered returns the nodes in the answers' reports, and those in more, that have
// not been queried yet, each once. It sets Known of the answers to what other nodes
// know of them.
func discovered(answers []status.Answer, more []status.KnownNode) []status.KnownNode {
	queried := make(map[string]*status.Answer, len(answers))
	for i := range answers {
		queried[answers[i].Address] = &answers[i]
	}
	var others []status.KnownNode
	added := make(map[string]bool)
	consider := func(n status.KnownNode) {
		if answer := queried[n.Control]; answer != nil {
			answer.Known = n
			return
		}
		if !added[n.Control] {
			added[n.Control] = true
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

// queryAll queries nodes in parallel and returns the answers in the nodes' order.
func (s *Surveyor) queryAll(ctx context.Context, nodes []status.KnownNode, q query.Query) []status.Answer {
	answers := make([]status.Answer, len(nodes))
	var group errgroup.Group
	group.SetLimit(maxCalls)
	for i, node := range nodes {
		group.Go(func() error {
			answers[i] = s.queryNode(ctx, node, q)
			return nil
		})
	}
	_ = group.Wait()
	return answers
}

func (s *Surveyor) queryNode(ctx context.Context, node status.KnownNode, q query.Query) status.Answer {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	report, err := query.NewClient(s.Client, rpc.BaseURL(node.Control)).Report(ctx, q)
	return status.Answer{Address: node.Control, Known: node, Report: report, Failure: err}
}

// NoTicketError reports that none of the queried nodes returned a ticket for a
// service.
type NoTicketError struct {
	Service string
	// Cause is the last failure of a node to answer, or nil if all answered.
	Cause error
}

func (e *NoTicketError) Error() string {
	if e.Cause != nil {
		return "no node returned a ticket for service " + e.Service + ": " + e.Cause.Error()
	}
	return "no ticket is in force for service " + e.Service
}

// Unwrap returns the cause.
func (e *NoTicketError) Unwrap() error { return e.Cause }

// Ticket returns the document of the ticket in force on the first node that has one.
// It fails with *NoTicketError.
func (s *Surveyor) Ticket(ctx context.Context, nodes []string, service string) ([]byte, error) {
	var last error
	for _, node := range nodes {
		document, err := s.fetchTicket(ctx, node, service)
		if err == nil && len(document) > 0 {
			return document, nil
		}
		if err != nil {
			last = err
		}
	}
	return nil, &NoTicketError{Service: service, Cause: last}
}

func (s *Surveyor) fetchTicket(ctx context.Context, node, service string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	return query.NewClient(s.Client, rpc.BaseURL(node)).Ticket(ctx, service)
}
