package flow

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Fractions of a flow do not count, products of fractions are not rounded down by mistake, and
// numbers that make no sense limit nothing.
func TestColdLimitFlows(t *testing.T) {
	for _, c := range []struct {
		limit   ColdLimit
		flows   int
		limited bool
	}{
		{ColdLimit{Rate: 10, Excess: 1.25, Slack: 2}, 14, true},
		{ColdLimit{Rate: 0.5, Excess: 1.5, Slack: 2}, 2, true},
		{ColdLimit{Rate: 0.3, Excess: 10}, 3, true},
		{ColdLimit{Rate: 1.1, Excess: 10, Slack: 1}, 12, true},
		{ColdLimit{Rate: 0.5, Excess: 1, Slack: 0.25}, 0, true},
		{ColdLimit{Rate: 0, Excess: 1.5, Slack: 2}, 0, false},
		{ColdLimit{Rate: 10, Excess: 0, Slack: 2}, 0, false},
		{ColdLimit{Rate: -1, Excess: 1.5, Slack: 2}, 0, false},
		{ColdLimit{Rate: math.NaN(), Excess: 1, Slack: 2}, 0, false},
		{ColdLimit{Rate: math.Inf(1), Excess: 1, Slack: 2}, 0, false},
		{ColdLimit{Rate: 1e9, Excess: 1, Slack: 2}, 0, false},
	} {
		flows, limited := c.limit.Flows()
		must.EqOp(t, c.limited, limited, must.Sprint(c.limit))
		must.EqOp(t, c.flows, flows, must.Sprint(c.limit))
	}
}

// coldAgent returns the table of an agent beside a cold endpoint with many slots.
func coldAgent(now Timestamp, limit ColdLimit, complete bool) *AgentTable {
	agent := NewAgentTable(now, 1000, simFlowLifetime, complete)
	agent.SetColdLimit(limit)
	agent.SetCold(limit.Rate, now+10*time.Second)
	return agent
}

func openAt(agent *AgentTable, now Timestamp, i int, d Delivery) Verdict {
	return agent.FromBalancer(now, Packet{Flow: callerKey(i), Opening: true}, d, []byte{byte(i)})
}

// In no window of a second does a cold endpoint get more new flows than the limit, however
// they arrive, wait and are delivered later, and whatever balancers state meanwhile.
func TestColdEndpointGetsLimitedFlows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := ColdLimit{
			Rate:   rapid.Float64Range(0.1, 20).Draw(t, "rate"),
			Excess: rapid.Float64Range(0.5, 3).Draw(t, "excess"), Slack: rapid.Float64Range(0, 4).Draw(t, "slack"),
		}
		now := time.Second
		agent := coldAgent(now, limit, true)
		var delivered []Timestamp
		caller := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
			for range rapid.IntRange(0, 9).Draw(t, "openings") {
				caller++
				if openAt(agent, now, caller, Delivery{}).Action == Deliver {
					delivered = append(delivered, now)
				}
			}
			for range agent.AdmitWaiting(now) {
				delivered = append(delivered, now)
			}
			agent.SetCold(limit.Rate, now+10*time.Second)
		}
		flows, _ := limit.Flows()
		for i, first := range delivered {
			inWindow := 0
			for _, at := range delivered[i:] {
				if at-first <= time.Second {
					inWindow++
				}
			}
			if inWindow > flows {
				t.Fatalf("%d flows within a second from %v, limit %d", inWindow, first, flows)
			}
		}
	})
}

// Opening packets beyond the limit go to the alternate, or wait until the window has room, or the
// endpoint is warm. Copies of one that the endpoint has do not count.
func TestOpeningsBeyondColdLimit(t *testing.T) {
	now := time.Second
	agent := coldAgent(now, ColdLimit{Rate: 1, Excess: 1, Slack: 1}, true)
	for i := range 2 {
		must.EqOp(t, Opened, openAt(agent, now, i, Delivery{}).Reason)
		must.EqOp(t, Repeated, openAt(agent, now, i, Delivery{}).Reason)
	}
	v := openAt(agent, now, 2, Delivery{Alternate: agentAt(7)})
	must.EqOp(t, ForwardToAgent, v.Action)
	must.EqOp(t, EndpointCold, v.Reason)
	must.EqOp(t, OpeningWaits, openAt(agent, now, 3, Delivery{Hops: 1}).Reason)
	must.SliceEmpty(t, agent.AdmitWaiting(now+coldWindow))
	must.Len(t, 1, agent.AdmitWaiting(now+coldWindow+1))
	// Only one of two more fits into the window with the last.
	now += coldWindow + 2
	must.EqOp(t, Opened, openAt(agent, now, 4, Delivery{}).Reason)
	must.EqOp(t, OpeningWaits, openAt(agent, now, 5, Delivery{}).Reason)
	// Once the endpoint is warm, nothing waits.
	agent.SetCold(1, now)
	must.Len(t, 1, agent.AdmitWaiting(now))
}

// When too many opening packets wait, the next goes back to its balancer.
func TestOpeningGoesBackIfTooManyWait(t *testing.T) {
	now, balancer := time.Second, Address{IP: [4]byte{10, 0, 0, 9}, Port: 1}
	agent := coldAgent(now, ColdLimit{Rate: 1, Excess: 1}, true)
	must.EqOp(t, Opened, openAt(agent, now, 0, Delivery{Balancer: balancer}).Reason)
	for i := range maxWaitingOpenings {
		must.EqOp(t, OpeningWaits, openAt(agent, now, 1+i, Delivery{Balancer: balancer}).Reason)
	}
	v := openAt(agent, now, 1+maxWaitingOpenings, Delivery{Balancer: balancer})
	must.Eq(t, Verdict{Action: Return, To: balancer, Reason: EndpointCold, Hops: 1}, v)
}

// An agent that starts beside a cold endpoint does not know what the endpoint got before: for a
// second it gets nothing, unless the agent knows all its flows, as after a start of both.
func TestRestartedAgentAssumesLimitIsUsedUp(t *testing.T) {
	limit := ColdLimit{Rate: 5, Excess: 1}
	restarted := coldAgent(time.Second, limit, false)
	must.EqOp(t, OpeningWaits, openAt(restarted, time.Second, 1, Delivery{}).Reason)
	must.SliceEmpty(t, restarted.AdmitWaiting(2*time.Second))
	must.Len(t, 1, restarted.AdmitWaiting(time.Second+coldWindow))
	both := coldAgent(time.Second, limit, false)
	must.EqOp(t, OpeningWaits, openAt(both, time.Second, 1, Delivery{}).Reason)
	both.ConfirmComplete(1)
	must.Len(t, 1, both.AdmitWaiting(time.Second))
}

// Until the first statement, the endpoint may be cold: opening packets wait for it, for a short
// time after the first, however long ago the agent started. What was delivered before a statement
// counts.
func TestOpeningsWaitForFirstStatement(t *testing.T) {
	now := time.Second
	agent := NewAgentTable(now, 1000, simFlowLifetime, true)
	agent.SetColdLimit(ColdLimit{Excess: 1, Slack: 1})
	now += time.Second
	must.EqOp(t, OpeningWaits, openAt(agent, now, 1, Delivery{}).Reason)
	must.Len(t, 1, agent.AdmitWaiting(now+statementTimeout))
	must.EqOp(t, Opened, openAt(agent, now+statementTimeout, 2, Delivery{}).Reason)
	agent.SetCold(1, now+10*time.Second)
	must.EqOp(t, OpeningWaits, openAt(agent, now+statementTimeout, 3, Delivery{}).Reason)
}

// Without the setting, or with a rate of 0, a cold endpoint is served as before.
func TestNoColdLimitWithoutSettingOrRate(t *testing.T) {
	for _, limit := range []ColdLimit{{Rate: 5}, {Rate: 5, Slack: 2}, {Excess: 1, Slack: 2}} {
		agent := coldAgent(time.Second, limit, false)
		for i := range 200 {
			must.EqOp(t, Opened, openAt(agent, time.Second, i, Delivery{Alternate: agentAt(7)}).Reason, must.Sprint(limit))
		}
	}
	agent := NewAgentTable(time.Second, 1000, simFlowLifetime, false)
	must.EqOp(t, Opened, openAt(agent, time.Second, 1, Delivery{}).Reason)
	must.SliceEmpty(t, agent.cold.delivered)
}
