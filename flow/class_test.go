package flow

import (
	"testing"
	"time"

	"cactustray/placement"

	"github.com/shoenig/test/must"
)

// An agent refuses waiting openings whose class it knows. If another agent may have the same
// packet, its endpoint may have accepted the flow, which then must not be reset.
func TestClassIsStatedOnlyToTheOnlyAgentWithThePacket(t *testing.T) {
	now := time.Second
	routing, _, service := domainTable(3, 0, placement.Usage{})
	for _, endpoint := range service.Accepting {
		endpoint.AgentLoad.SetReadsClass(true)
	}
	opening := Packet{Flow: callerKey(1), Opening: true}
	a := newTestAssignments()
	d := a.FromCaller(now, opening, routing, nil)
	must.True(t, d.StatesClass)
	returned := a.Returned(now, opening, d.To, Delivery{Hops: 1, Silent: true}, routing, nil)
	must.EqOp(t, Opened, returned.Reason)
	must.False(t, returned.StatesClass, must.Sprint("the silent endpoint may still accept the flow"))

	// The opening is offered to other agents once they report.
	late := now + 10*time.Second
	d = newTestAssignments().FromCaller(late, opening, routing, nil)
	must.EqOp(t, Opened, d.Reason)
	must.False(t, d.StatesClass)

	// The endpoint has not answered for AnswerTimeout, and may still do so.
	agent := NewAgentTable(now, 3, time.Minute, true)
	agent.FromBalancer(now, opening, Delivery{Class: testClass, Balancer: agentAt(99), Alternate: agentAt(2)}, nil)
	overdue := agent.Tick(now + AnswerTimeout)
	must.Len(t, 1, overdue)
	must.EqOp(t, ForwardToAgent, overdue[0].Verdict.Action)
	must.False(t, overdue[0].Verdict.Class.IsKnown())
}
