package status

import (
	"cmp"
	"slices"

	"cactustray/membership"
	"cactustray/ticket"
)

// Answer is the report of one node, or the reason why it did not answer.
type Answer struct {
	// Address is the control address that was queried.
	Address string
	// Known is what other nodes know of the node; empty for a node that only the
	// operator named.
	Known KnownNode
	// Report is nil if the node did not answer.
	Report *Report
	// Failure is why the node did not answer, or nil.
	Failure error
}

// Name returns the name that the node reports, else the name that other nodes know,
// else the address.
func (a Answer) Name() string {
	if a.Report != nil {
		return a.Report.Node
	}
	return cmp.Or(a.Known.Name, a.Address)
}

// Fleet holds the answers of all nodes that were queried.
type Fleet struct{ Answers []Answer }

// Line is the state of one service on one node. Service is empty for a node that has
// no ticket.
type Line struct {
	Answer Answer
	InForce
	// Behind is true if another node has a newer ticket in force.
	Behind bool
	// Conflicting is true if another node has a conflicting ticket in force: other
	// content under the same number.
	Conflicting bool
}

// Lines returns one line for each node and service, ordered by role, with balancers
// first, then by name and service.
func (f Fleet) Lines() []Line {
	newest := f.newest()
	var lines []Line
	for _, answer := range f.Answers {
		if answer.Report == nil || len(answer.Report.Tickets) == 0 {
			lines = append(lines, Line{Answer: answer})
			continue
		}
		for _, t := range answer.Report.Tickets {
			highest := newest[t.Service]
			lines = append(lines, Line{
				Answer:      answer,
				InForce:     t,
				Behind:      t.Number < highest.Number,
				Conflicting: t.Number == highest.Number && t.Content != highest.Content,
			})
		}
	}
	slices.SortStableFunc(lines, compareLines)
	return lines
}

func compareLines(a, b Line) int {
	return cmp.Or(
		cmp.Compare(b.Answer.role(), a.Answer.role()),
		cmp.Compare(a.Answer.Name(), b.Answer.Name()),
		cmp.Compare(a.Service, b.Service),
	)
}

func (a Answer) role() string {
	if a.Report != nil {
		return a.Report.Role
	}
	return a.Known.Role
}

// newest returns for each service the ticket with the highest number. Of conflicting
// tickets it returns the accepted one.
func (f Fleet) newest() map[string]InForce {
	newest := make(map[string]InForce)
	for _, answer := range f.Answers {
		if answer.Report == nil {
			continue
		}
		for _, t := range answer.Report.Tickets {
			highest := newest[t.Service]
			if t.Number > highest.Number || t.Number == highest.Number && t.Sealed && !highest.Sealed {
				newest[t.Service] = t
			}
		}
	}
	return newest
}

// Target is a ticket that shall be in force on every node concerned.
type Target struct {
	Service string
	Number  ticket.Number
	Content uint64
}

// Verdict is the state of a target, on one node or on all nodes concerned.
type Verdict int

const (
	// NotYet means that some node does not have the target in force and accepted.
	NotYet Verdict = iota
	// Accepted means that every node concerned has the target in force and
	// accepted.
	Accepted
	// Refused means that some node will never have the target in force.
	Refused
)

var verdictNames = [...]string{"not_yet", "in_force", "refused"}

func (v Verdict) String() string { return verdictNames[v] }

// NodeProgress is the progress of a target on one node.
type NodeProgress struct {
	Node    string
	Verdict Verdict
	// Reason is why the target is not in force or not accepted, or empty.
	Reason string
	// InForce is true if the target is in force on the node, accepted or not.
	InForce bool
}

// Progress is the progress of a target on all nodes concerned.
type Progress struct {
	Verdict Verdict
	Nodes   []NodeProgress
	// Conflicts is the number of nodes that have seen other content under the
	// target's number.
	Conflicts int
}

// InForce reports whether the target is in force on every node concerned, accepted or
// not.
func (p Progress) InForce() bool {
	notInForce := func(n NodeProgress) bool { return !n.InForce }
	return len(p.Nodes) > 0 && !slices.ContainsFunc(p.Nodes, notInForce)
}

// Waiting returns the nodes on which the target is not in force and accepted.
func (p Progress) Waiting() []NodeProgress {
	return slices.DeleteFunc(slices.Clone(p.Nodes), func(n NodeProgress) bool { return n.Verdict == Accepted })
}

// Progress returns the progress of a target. Balancers and the service's agents are
// concerned, except nodes that are leaving and do not answer.
func (f Fleet) Progress(target Target) Progress {
	var p Progress
	for _, answer := range f.Answers {
		if answer.concerns(target.Service) {
			p.Nodes = append(p.Nodes, answer.nodeProgress(target))
			count(&p.Conflicts, answer.conflicts(target))
		}
	}
	p.Verdict = verdictOf(p.Nodes)
	return p
}

// verdictOf returns the verdict on all nodes: Refused if any node refused, and NotYet
// if there is no node.
func verdictOf(nodes []NodeProgress) Verdict {
	verdict := Accepted
	for _, n := range nodes {
		if n.Verdict == Refused {
			return Refused
		}
		if n.Verdict == NotYet {
			verdict = NotYet
		}
	}
	if len(nodes) == 0 {
		return NotYet
	}
	return verdict
}

// concerns reports whether the node shall have the service's ticket in force. A node
// that did not answer counts, unless it is leaving.
func (a Answer) concerns(service string) bool {
	if a.Report == nil {
		return !a.Known.Leaving
	}
	if a.Report.Role != membership.RoleAgent {
		return true
	}
	return a.Known.Service == service || a.inForce(service) != nil
}

// inForce returns the service's ticket in force on the node, or nil.
func (a Answer) inForce(service string) *InForce {
	for i := range a.Report.Tickets {
		if a.Report.Tickets[i].Service == service {
			return &a.Report.Tickets[i]
		}
	}
	return nil
}

// conflicts reports whether the node has seen other content under the target's number.
func (a Answer) conflicts(target Target) bool {
	if a.Report == nil {
		return false
	}
	current := a.inForce(target.Service)
	return current != nil && current.Number == target.Number && (current.Conflicts > 0 || current.Content != target.Content)
}

func (a Answer) nodeProgress(target Target) NodeProgress {
	verdict, reason := a.evaluate(target)
	return NodeProgress{Node: a.Name(), Verdict: verdict, Reason: reason, InForce: a.hasTarget(target)}
}

// hasTarget reports whether the target is in force on the node, accepted or not.
func (a Answer) hasTarget(target Target) bool {
	if a.Report == nil {
		return false
	}
	current := a.inForce(target.Service)
	return current != nil && current.Number == target.Number && current.Content == target.Content
}

// evaluate returns the target's verdict on one node, and the reason if the target is
// not in force and accepted.
func (a Answer) evaluate(target Target) (Verdict, string) {
	if a.Report == nil {
		return NotYet, "unreachable"
	}
	current := a.inForce(target.Service)
	switch {
	case current == nil:
		return NotYet, "no ticket"
	case current.Number > target.Number:
		return Refused, "a newer ticket is in force"
	case current.Number < target.Number && current.Refused != "":
		return NotYet, "behind; last refusal: " + current.Refused
	case current.Number < target.Number:
		return NotYet, "behind"
	case current.Content != target.Content && current.Sealed:
		return Refused, "other content is accepted under this number"
	case current.Content != target.Content:
		return NotYet, "other content is in force under this number"
	case !current.Sealed:
		return NotYet, "in force, not yet accepted"
	}
	return Accepted, ""
}
