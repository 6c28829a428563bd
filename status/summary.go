package status

import (
	"cmp"
	"fmt"
	"slices"

	"cactustray/membership"
)

// Summary counts the nodes, and the lines that need an operator's attention.
type Summary struct {
	Nodes       int
	Unreachable int
	Behind      int
	Conflicts   int
	Refused     int
}

func (s Summary) String() string {
	return fmt.Sprintf("nodes: %d, unreachable: %d, behind: %d, conflicts: %d, refused: %d",
		s.Nodes, s.Unreachable, s.Behind, s.Conflicts, s.Refused)
}

// Summarise returns the summary of lines.
func Summarise(lines []Line) Summary {
	var s Summary
	nodes := make(map[string]bool)
	for _, line := range lines {
		nodes[line.Answer.Address] = true
		count(&s.Unreachable, line.Answer.Report == nil)
		count(&s.Behind, line.Behind)
		count(&s.Conflicts, line.Conflicts > 0 || line.Conflicting)
		count(&s.Refused, line.Refused != "")
	}
	s.Nodes = len(nodes)
	return s
}

// count increments n if yes is true.
func count(n *int, yes bool) {
	if yes {
		*n++
	}
}

// Reachable returns the fleet without the nodes that did not answer.
func (f Fleet) Reachable() Fleet {
	unreachable := func(a Answer) bool { return a.Report == nil }
	return Fleet{Answers: slices.DeleteFunc(slices.Clone(f.Answers), unreachable)}
}

// Agents returns the answers of the agents, ordered by name, including agents that
// are known but did not answer.
func (f Fleet) Agents() []Answer {
	other := func(a Answer) bool { return a.role() != membership.RoleAgent }
	agents := slices.DeleteFunc(slices.Clone(f.Answers), other)
	slices.SortFunc(agents, func(a, b Answer) int { return cmp.Compare(a.Name(), b.Name()) })
	return agents
}

// Service returns the service of an agent: the one other nodes know, else that of its
// ticket, else empty.
func (a Answer) Service() string {
	if a.Known.Service == "" && a.Report != nil && len(a.Report.Tickets) > 0 {
		return a.Report.Tickets[0].Service
	}
	return a.Known.Service
}
