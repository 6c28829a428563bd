package status

import (
	"testing"

	"cactustray/membership"
	"cactustray/ticket"

	"github.com/shoenig/test/must"
)

func answer(name, role string, tickets ...InForce) Answer {
	return Answer{Address: name, Report: &Report{Node: name, Role: role, Tickets: tickets}}
}

func orders(number ticket.Number, content uint64, sealed bool) InForce {
	return InForce{Service: "orders", Number: number, Content: content, Sealed: sealed}
}

var target = Target{Service: "orders", Number: 7, Content: 70}

func TestProgressVerdicts(t *testing.T) {
	done := answer("done", membership.RoleBalancer, orders(7, 70, true))
	refused := orders(6, 60, true)
	refused.Refused = "no JSON"
	drawings := InForce{Service: "drawings", Number: 1}
	cases := []struct {
		name    string
		answers []Answer
		want    Verdict
		reason  string
	}{
		{"no nodes", nil, NotYet, ""},
		{"everywhere", []Answer{done, done}, Accepted, ""},
		{"not accepted", []Answer{done, answer("b", membership.RoleBalancer, orders(7, 70, false))}, NotYet, "in force, not yet accepted"},
		{"behind", []Answer{done, answer("b", membership.RoleBalancer, orders(6, 60, true))}, NotYet, "behind"},
		{"refused text", []Answer{done, answer("b", membership.RoleBalancer, refused)}, NotYet, "behind; last refusal: no JSON"},
		{"empty", []Answer{done, answer("b", membership.RoleBalancer)}, NotYet, "no ticket"},
		{"conflicting content", []Answer{done, answer("b", membership.RoleBalancer, orders(7, 71, false))}, NotYet, "other content is in force under this number"},
		{"accepted conflicting content", []Answer{done, answer("b", membership.RoleBalancer, orders(7, 71, true))}, Refused, "other content is accepted under this number"},
		{"newer", []Answer{done, answer("b", membership.RoleBalancer, orders(8, 80, false))}, Refused, "a newer ticket is in force"},
		{"unreachable", []Answer{done, {Address: "b"}}, NotYet, "unreachable"},
		{"leaving", []Answer{done, {Address: "b", Known: KnownNode{Leaving: true}}}, Accepted, ""},
		{"other service's agent", []Answer{done, answer("b", membership.RoleAgent, drawings)}, Accepted, ""},
		{"own agent", []Answer{done, answer("b", membership.RoleAgent, orders(6, 60, true))}, NotYet, "behind"},
	}
	for _, c := range cases {
		progress := Fleet{Answers: c.answers}.Progress(target)
		must.EqOp(t, c.want, progress.Verdict, must.Sprint(c.name))
		if c.reason != "" {
			must.EqOp(t, c.reason, progress.Waiting()[0].Reason, must.Sprint(c.name))
		}
	}
}

// A ticket is in force before it is accepted, which takes seconds longer, so
// Progress.InForce must not wait for acceptance.
func TestInForceDoesNotRequireAcceptance(t *testing.T) {
	hasTarget := answer("b", membership.RoleBalancer, orders(7, 70, false))
	behind := answer("c", membership.RoleBalancer, orders(6, 60, true))
	conflicting := answer("d", membership.RoleBalancer, orders(7, 71, false))
	for _, c := range []struct {
		answers []Answer
		want    bool
	}{
		{nil, false},
		{[]Answer{hasTarget, hasTarget}, true},
		{[]Answer{hasTarget, behind}, false},
		{[]Answer{hasTarget, conflicting}, false},
		{[]Answer{hasTarget, {Address: "e"}}, false},
	} {
		must.EqOp(t, c.want, Fleet{Answers: c.answers}.Progress(target).InForce())
	}
}

// A node that has the target in force but has seen a conflicting ticket counts too.
func TestProgressCountsConflicts(t *testing.T) {
	accepted := orders(7, 70, true)
	accepted.Conflicts = 1
	conflicting := orders(7, 71, false)
	progress := Fleet{Answers: []Answer{
		answer("b1", membership.RoleBalancer, accepted),
		answer("b2", membership.RoleBalancer, conflicting),
		answer("b3", membership.RoleBalancer, orders(7, 70, true)),
	}}.Progress(target)
	must.EqOp(t, 2, progress.Conflicts)
}

func TestLinesMarkBehindAndConflictingNodes(t *testing.T) {
	fleet := Fleet{Answers: []Answer{
		answer("b2", membership.RoleBalancer, orders(6, 60, true)),
		answer("a1", membership.RoleAgent, orders(7, 71, false)),
		answer("b1", membership.RoleBalancer, orders(7, 70, true)),
		{Address: "192.0.2.1:1"},
	}}
	lines := fleet.Lines()
	must.EqOp(t, "b1", lines[0].Answer.Name())
	must.True(t, lines[1].Behind)
	must.True(t, lines[2].Conflicting)
	must.EqOp(t, Summary{Nodes: 4, Unreachable: 1, Behind: 1, Conflicts: 1}, Summarise(lines))
}
