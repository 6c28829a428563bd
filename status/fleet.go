package status

import (
	"cmp"
	"slices"

	"cactustray/membership"
	"cactustray/ticket"
)

// Answer is what one node answered, or why it did not.
type Answer struct {
	// Address is the control address asked.
	Address string
	// Known is what others say of the node; empty for one named by hand.
	Known Known
	// Report is nil when the node did not answer.
	Report *Report
	// Failure is why the node did not answer, or nil.
	Failure error
}

// Name returns the node's own name, the one others know, or its address.
func (a Answer) Name() string {
	if a.Report != nil {
		return a.Report.Node
	}
	return cmp.Or(a.Known.Name, a.Address)
}

// Fleet is what the nodes answered together.
type Fleet struct{ Answers []Answer }

// Line is the standing of one service on one node. Service is empty for a node
// that has no ticket.
type Line struct {
	Answer Answer
	InForce
	// Behind tells that another node has a newer ticket in force.
	Behind bool
	// Rival tells that another node has other content in force under the
	// same number.
	Rival bool
}

// Lines returns one line a node and service, ordered by role, name and service.
func (f Fleet) Lines() []Line {
	newest := f.newest()
	var lines []Line
	for _, answer := range f.Answers {
		if answer.Report == nil || len(answer.Report.Tickets) == 0 {
			lines = append(lines, Line{Answer: answer})
			continue
		}
		for _, t := range answer.Report.Tickets {
			top := newest[t.Service]
			lines = append(lines, Line{
				Answer:  answer,
				InForce: t,
				Behind:  t.Number < top.Number,
				Rival:   t.Number == top.Number && t.Content != top.Content,
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

// newest returns, for each service, the ticket with the highest number; of
// rivals the accepted one.
func (f Fleet) newest() map[string]InForce {
	newest := make(map[string]InForce)
	for _, answer := range f.Answers {
		if answer.Report == nil {
			continue
		}
		for _, t := range answer.Report.Tickets {
			top := newest[t.Service]
			if t.Number > top.Number || t.Number == top.Number && t.Sealed && !top.Sealed {
				newest[t.Service] = t
			}
		}
	}
	return newest
}

// Target is a ticket that is to be in force everywhere.
type Target struct {
	Service string
	Number  ticket.Number
	Content uint64
}

// Verdict is how far a target has come.
type Verdict int

const (
	// NotYet: some node does not have the target in force and accepted.
	NotYet Verdict = iota
	// Everywhere: every node concerned has the target in force and accepted.
	Everywhere
	// Refused: some node never will take the target.
	Refused
)

var verdictNames = [...]string{"not_yet", "in_force", "refused"}

func (v Verdict) String() string { return verdictNames[v] }

// Standing is how far a target has come on one node.
type Standing struct {
	Node    string
	Verdict Verdict
	// Reason says why the target is not in force or not accepted, or is empty.
	Reason string
	// InForce tells that the node goes by the target, accepted or not yet.
	InForce bool
}

// Progress is how far a target has come on every node concerned.
type Progress struct {
	Verdict   Verdict
	Standings []Standing
	// Conflicts is how many nodes have seen other content under the target's
	// number.
	Conflicts int
}

// InForce tells whether every node concerned goes by the target.
func (p Progress) InForce() bool {
	waits := func(s Standing) bool { return !s.InForce }
	return len(p.Standings) > 0 && !slices.ContainsFunc(p.Standings, waits)
}

// Waiting returns the standings that are not in force.
func (p Progress) Waiting() []Standing {
	return slices.DeleteFunc(slices.Clone(p.Standings), func(s Standing) bool { return s.Verdict == Everywhere })
}

// Follow tells how far a target has come. Balancers and the service's agents
// are concerned; nodes that are leaving and do not answer are not.
func (f Fleet) Follow(target Target) Progress {
	var p Progress
	for _, answer := range f.Answers {
		if answer.concerns(target.Service) {
			p.Standings = append(p.Standings, answer.standing(target))
			count(&p.Conflicts, answer.conflicts(target))
		}
	}
	p.Verdict = verdictOf(p.Standings)
	return p
}

func verdictOf(standings []Standing) Verdict {
	verdict := Everywhere
	for _, s := range standings {
		if s.Verdict == Refused {
			return Refused
		}
		if s.Verdict == NotYet {
			verdict = NotYet
		}
	}
	if len(standings) == 0 {
		return NotYet
	}
	return verdict
}

func (a Answer) concerns(service string) bool {
	if a.Report == nil {
		return !a.Known.Leaving
	}
	if a.Report.Role != membership.RoleAgent {
		return true
	}
	return a.Known.Service == service || a.inForce(service) != nil
}

func (a Answer) inForce(service string) *InForce {
	for i := range a.Report.Tickets {
		if a.Report.Tickets[i].Service == service {
			return &a.Report.Tickets[i]
		}
	}
	return nil
}

func (a Answer) conflicts(target Target) bool {
	if a.Report == nil {
		return false
	}
	held := a.inForce(target.Service)
	return held != nil && held.Number == target.Number && (held.Conflicts > 0 || held.Content != target.Content)
}

func (a Answer) standing(target Target) Standing {
	verdict, reason := a.judge(target)
	return Standing{Node: a.Name(), Verdict: verdict, Reason: reason, InForce: a.goesBy(target)}
}

func (a Answer) goesBy(target Target) bool {
	if a.Report == nil {
		return false
	}
	held := a.inForce(target.Service)
	return held != nil && held.Number == target.Number && held.Content == target.Content
}

func (a Answer) judge(target Target) (Verdict, string) {
	if a.Report == nil {
		return NotYet, "unreachable"
	}
	held := a.inForce(target.Service)
	switch {
	case held == nil:
		return NotYet, "no ticket"
	case held.Number > target.Number:
		return Refused, "a newer ticket is in force"
	case held.Number < target.Number && held.Refused != "":
		return NotYet, "behind; last refusal: " + held.Refused
	case held.Number < target.Number:
		return NotYet, "behind"
	case held.Content != target.Content && held.Sealed:
		return Refused, "other content is accepted under this number"
	case held.Content != target.Content:
		return NotYet, "other content is in force under this number"
	case !held.Sealed:
		return NotYet, "in force, not yet accepted"
	}
	return Everywhere, ""
}
